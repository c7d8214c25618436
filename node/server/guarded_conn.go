package server

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"lacewingturn.example/node/server/admission"
)

const (
	// heldPerByte is what a byte of a request holds in memory: the buffer that it is read
	// into, and the growth of that buffer or the decoded form.
	heldPerByte = 2
	// coveredBytes is the part of a head and of a response that is covered by the share of
	// their connection.
	coveredBytes = 4 << 10
	// writePiece is the part of a response after which progress is recorded.
	writePiece = 64 << 10
	// lingerTime is how long a connection is read after a refusal, so that the client gets
	// the response before the connection is reset.
	lingerTime = 250 * time.Millisecond
	// refusalTimeout bounds the write of a refusal.
	refusalTimeout = 100 * time.Millisecond
)

// errRefused ends the reading of a request whose refusal has been sent. The HTTP server does
// not respond to an error of this type.
var errRefused = &net.OpError{Op: "read", Err: errors.New("the request was refused")}

// guardedListener opens an account for each connection and closes connections that the budget
// does not allow.
type guardedListener struct {
	net.Listener
	guard  *Guard
	limits *admission.Listener
	http2  bool // HTTP/2 is served
	tls    bool // the connections are encrypted
	// closing is set once the listener is closed. Connections do not linger after that.
	closing atomic.Bool
}

// Close implements net.Listener.
func (l *guardedListener) Close() error {
	l.closing.Store(true)
	return l.Listener.Close()
}

func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &guardedConn{Conn: inner, listener: l}
		c.account.Owner = inner
		if l.guard.connect(c) {
			if l.tls {
				c.multiplex()
			}
			return c, nil
		}
		_ = inner.Close()
	}
}

// guardedConn counts what a connection and its present request hold.
type guardedConn struct {
	net.Conn
	listener *guardedListener
	account  admission.Account
	body     guardedBody // of the present request
	head     int64       // bytes of the present head
	refused  atomic.Bool
	closed   atomic.Bool
	// multiplexed is set for connections of HTTP/2 and of TLS. The HTTP server bounds their
	// heads and idle times, and requests of HTTP/2 have accounts of their own.
	multiplexed atomic.Bool
}

// Read reads a head within the limit of its size. Bodies are counted by guardedBody.
func (c *guardedConn) Read(p []byte) (int, error) {
	if c.multiplexed.Load() {
		return c.Conn.Read(p)
	}
	room := int64(len(p))
	inHead := false
	c.listener.guard.update(func(t *admission.Table, now time.Time) {
		switch c.account.Phase() {
		case admission.Silent, admission.Idle:
			c.head = 0
		case admission.Head:
		default:
			return
		}
		inHead = true
		if limit := c.listener.limits.Limits.HeadBytes; limit > 0 {
			room = min(room, limit-c.head)
		}
	})
	if !inHead {
		return c.Conn.Read(p)
	}
	// While a request runs, the HTTP server waits with a buffer of one byte for the next one.
	if room <= 0 && len(p) > 1 {
		return 0, c.refuse(admission.HeadSize, http.StatusRequestHeaderFieldsTooLarge)
	}
	n, err := c.Conn.Read(p[:max(room, 1)])
	if n >= minPreface && c.head == 0 && c.listener.http2 && strings.HasPrefix(preface, string(p[:min(n, len(preface))])) {
		c.multiplex()
		return n, err
	}
	if n > 0 && len(p) > 1 && !c.receivedHead(n) {
		return 0, c.refuse(admission.Memory, http.StatusServiceUnavailable)
	}
	return n, err
}

// receivedHead counts n bytes of a head. It reports false if the budget does not allow them.
func (c *guardedConn) receivedHead(n int) bool {
	c.head += int64(n)
	c.listener.guard.update(func(t *admission.Table, now time.Time) {
		if p := c.account.Phase(); p == admission.Silent || p == admission.Idle {
			t.Begin(now, &c.account, admission.Head)
		}
	})
	return c.head <= coveredBytes || c.listener.guard.take(&c.account, int64(n)*heldPerByte)
}

// refuse sends a response to a request whose head has not been read completely, and returns
// the error that makes the HTTP server close the connection.
func (c *guardedConn) refuse(reason admission.Reason, status int) error {
	open := false
	c.listener.guard.update(func(*admission.Table, time.Time) { open = c.account.Open() })
	if !open {
		return net.ErrClosed
	}
	if reason != admission.Memory { // counted where the bytes were refused
		c.listener.guard.refuse(reason)
	}
	c.refused.Store(true)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, refusalHead(status)) // the client may have closed the connection
	return errRefused
}

func refusalHead(status int) string {
	head := "HTTP/1.1 " + statusLine(status) + "\r\nContent-Length: 0\r\nConnection: close\r\n"
	if status == http.StatusServiceUnavailable {
		head += "Retry-After: " + retryAfter + "\r\n"
	}
	return head + "\r\n"
}

// Write counts what a client has not read yet.
func (c *guardedConn) Write(p []byte) (written int, err error) {
	if c.multiplexed.Load() {
		return c.Conn.Write(p)
	}
	g := c.listener.guard
	extra := int64(max(0, len(p)-coveredBytes))
	if extra > 0 && !g.take(&c.account, extra) {
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	}
	g.update(func(t *admission.Table, now time.Time) { t.Begin(now, &c.account, admission.Writing) })
	for err == nil && written < len(p) {
		var n int
		n, err = c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		if written < len(p) {
			g.update(func(t *admission.Table, _ time.Time) { t.Move(&c.account, int64(n)) })
		}
	}
	g.update(func(t *admission.Table, now time.Time) {
		t.EndWriting(now, &c.account)
		t.Give(&c.account, extra)
	})
	return written, err
}

// Close gives back everything that the connection holds. After a refusal it first reads for a
// moment, because unread bytes would reset the connection before the client has the response.
func (c *guardedConn) Close() error {
	if c.closed.Swap(true) {
		return c.Conn.Close()
	}
	if c.refused.Load() && !c.listener.closing.Load() {
		c.idle()
		_ = c.CloseWrite()
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(discard{}, c.Conn) // ends with the deadline at the latest
	}
	c.listener.guard.update(func(t *admission.Table, _ time.Time) { t.Close(&c.account) })
	return c.Conn.Close()
}

// CloseWrite ends the response and leaves the connection open for reading, if the connection
// supports it. The HTTP server uses it so that clients get a response to a request that it
// has not read completely.
func (c *guardedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// discard drops what is written to it. Unlike io.Discard it uses a small buffer to read.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func (discard) ReadFrom(r io.Reader) (total int64, err error) {
	var buffer [2 << 10]byte
	for {
		n, err := r.Read(buffer[:])
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
}

// idle is called when a response has been sent and the connection waits for a request.
func (c *guardedConn) idle() {
	c.listener.guard.update(func(t *admission.Table, now time.Time) {
		t.Begin(now, &c.account, admission.Idle)
		if c.multiplexed.Load() {
			t.Begin(now, &c.account, admission.Running)
		}
	})
}

// multiplex marks the connection as one of HTTP/2 or TLS.
func (c *guardedConn) multiplex() {
	c.multiplexed.Store(true)
	c.idle()
}

// preface is the begin of an HTTP/2 connection in cleartext.
const preface = "PRI * HTTP/2.0"

// minPreface is the length of the part of the preface that no method of HTTP/1 begins with.
const minPreface = len("PRI")

// guardedConnOf returns the guarded connection below a connection of the HTTP server; nil if
// there is none.
func guardedConnOf(c net.Conn) *guardedConn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	g, _ := c.(*guardedConn)
	return g
}
