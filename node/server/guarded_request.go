package server

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lacewingturn.example/node/server/admission"
)

// retryAfter is the value of Retry-After, in seconds, of a refusal for want of room.
const retryAfter = "1"

// maxInternalBody bounds the body of a call between processes that is not a stream.
const maxInternalBody = 64 << 20

// maxDeclared bounds a declared length, so that products of it do not overflow.
const maxDeclared = 1 << 40

// readPiece is the part of a body for which room is taken at once.
const readPiece = 32 << 10

// ErrOverBudget is the error of reading a body that the budget of the process does not allow.
var ErrOverBudget = errors.New("the request body exceeds the memory budget of the process")

func statusLine(status int) string { return strconv.Itoa(status) + " " + http.StatusText(status) }

type connKey struct{}

// withConn makes the connection available to guardHandler.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if g := guardedConnOf(c); g != nil {
		return context.WithValue(ctx, connKey{}, g)
	}
	return ctx
}

// guardHandler counts the bodies of requests, and refuses those that are too long or that
// the budget does not allow, before the handler sees them.
func guardHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*guardedConn)
		switch {
		case c == nil:
			next.ServeHTTP(w, r)
		case r.ProtoMajor >= 2:
			serveMultiplexed(c, next, w, r)
		default:
			serveSingle(c, next, w, r)
		}
	})
}

// serveSingle serves a request of HTTP/1.1, which is the only one of its connection.
func serveSingle(c *guardedConn, next http.Handler, w http.ResponseWriter, r *http.Request) {
	hasBody := r.Body != nil && r.Body != http.NoBody
	open, fits := false, true
	limit := int64(0)
	c.listener.guard.update(func(t *admission.Table, now time.Time) {
		open = c.account.Open()
		limit = c.listener.limits.Limits.BodyBytes
		if !hasBody {
			t.Begin(now, &c.account, admission.Running)
			return
		}
		t.Begin(now, &c.account, admission.Body)
		fits = t.Fits(now, &c.account, min(r.ContentLength, maxDeclared)*heldPerByte)
	})
	switch {
	case !open:
		panic(http.ErrAbortHandler) // the connection was closed; the request must not run
	case limit > 0 && r.ContentLength > limit:
		c.refuseBody(w, admission.BodySize, http.StatusRequestEntityTooLarge)
		return
	case !fits:
		c.refuseBody(w, admission.Memory, http.StatusServiceUnavailable)
		return
	case hasBody:
		c.body = guardedBody{ReadCloser: r.Body, guard: c.listener.guard, account: &c.account, limit: limit}
		r.Body = &c.body
	}
	next.ServeHTTP(w, r)
	// The client gets the response next, and its following request may use another connection.
	c.listener.guard.update(func(t *admission.Table, _ time.Time) { t.EndRequest(&c.account) })
}

// refuseBody responds to a request whose body is not read.
func (c *guardedConn) refuseBody(w http.ResponseWriter, reason admission.Reason, status int) {
	c.listener.guard.refuse(reason)
	c.refused.Store(true)
	writeRefusal(w, status)
}

func writeRefusal(w http.ResponseWriter, status int) {
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
}

// serveMultiplexed serves a request of HTTP/2. Bodies of streams are not counted, because
// their messages are handled one after the other.
func serveMultiplexed(c *guardedConn, next http.Handler, w http.ResponseWriter, r *http.Request) {
	g := c.listener.guard
	if r.Body == nil || r.ContentLength == 0 || isStream(r) {
		next.ServeHTTP(w, r)
		return
	}
	body := &guardedBody{ReadCloser: http.MaxBytesReader(w, r.Body, maxInternalBody), guard: g, account: &admission.Account{Owner: r.Body}}
	g.update(func(t *admission.Table, now time.Time) { t.Request(now, body.account, c.listener.limits) })
	defer g.update(func(t *admission.Table, _ time.Time) { t.Close(body.account) })
	r.Body = body
	next.ServeHTTP(w, r)
}

// isStream reports whether the body is a sequence of messages of the RPC protocol.
func isStream(r *http.Request) bool {
	kind := r.Header.Get("Content-Type")
	return strings.HasPrefix(kind, "application/connect+") || strings.HasPrefix(kind, "application/grpc")
}

// guardedBody takes room for the bytes of a body before they are read.
type guardedBody struct {
	io.ReadCloser
	guard   *Guard
	account *admission.Account
	limit   int64 // bytes; 0 for none
	read    int64
}

// Read implements io.Reader. Its errors are ErrOverBudget, *http.MaxBytesError and those of the
// connection.
func (b *guardedBody) Read(p []byte) (int, error) {
	if b.limit > 0 && b.read > b.limit {
		return 0, b.tooLong()
	}
	p = p[:min(len(p), readPiece)]
	reserved := int64(len(p)) * heldPerByte
	if !b.guard.take(b.account, reserved) {
		return 0, ErrOverBudget
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	b.guard.update(func(t *admission.Table, now time.Time) {
		t.Give(b.account, reserved-int64(n)*heldPerByte)
		t.Move(b.account, int64(n))
		if err != nil && b.account.Phase() == admission.Body {
			t.Begin(now, b.account, admission.Running)
		}
	})
	if b.limit > 0 && b.read > b.limit {
		return 0, b.tooLong()
	}
	return n, err
}

func (b *guardedBody) tooLong() error { return &http.MaxBytesError{Limit: b.limit} }

// firstBuffer is the size of the buffer that is allocated before any byte of a body has come.
// It doubles when it is full, so that a declared length alone holds no memory.
const firstBuffer = 4 << 10

// ReadJSON reads a JSON body up to a limit in bytes and takes room for its decoded form. The
// error is one that BodyStatus knows.
func ReadJSON(r *http.Request, limit int64) ([]byte, error) {
	body, err := readBody(r, limit)
	if err != nil || len(body) <= firstBuffer {
		return body, err
	}
	guarded, ok := r.Body.(*guardedBody)
	if !ok {
		return body, nil
	}
	return body, guarded.takeDecoded(body)
}

// Estimates of what the parts of a JSON text hold when they are decoded.
const (
	objectBytes  = 256
	arrayBytes   = 64
	elementBytes = 16
)

// takeDecoded takes room for the decoded form of a JSON text. Its first len(text) bytes are
// covered by heldPerByte.
func (b *guardedBody) takeDecoded(text []byte) error {
	count := func(c byte) int64 { return int64(bytes.Count(text, []byte{c})) }
	extra := objectBytes*count('{') + arrayBytes*count('[') + elementBytes*count(',') - int64(len(text))
	switch {
	case extra <= 0 || b.guard.take(b.account, extra):
		return nil
	case extra > b.guard.largest():
		return &http.MaxBytesError{Limit: b.guard.largest()}
	default:
		return ErrOverBudget
	}
}

// readBody reads a body into a buffer that is at most twice as long as what has come.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	// One byte more than expected lets the loop see the end of the body.
	end := limit + 1
	if r.ContentLength > 0 {
		end = r.ContentLength + 1
	}
	buffer := make([]byte, 0, min(end, firstBuffer))
	for {
		n, err := r.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		case int64(len(buffer)) > limit:
			return nil, &http.MaxBytesError{Limit: limit}
		case len(buffer) == cap(buffer):
			buffer = append(make([]byte, 0, min(2*int64(cap(buffer)), end)), buffer...)
		}
	}
}

// BodyStatus returns the status of the response to a request whose body could not be read.
// The request has not run.
func BodyStatus(err error) int {
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrOverBudget):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// RefuseBody responds to a request whose body could not be read and closes its connection.
func RefuseBody(w http.ResponseWriter, r *http.Request, err error) {
	if c, ok := r.Context().Value(connKey{}).(*guardedConn); ok {
		c.refused.Store(true)
		if BodyStatus(err) == http.StatusRequestEntityTooLarge {
			c.listener.guard.refuse(admission.BodySize)
		}
	}
	writeRefusal(w, BodyStatus(err))
}
