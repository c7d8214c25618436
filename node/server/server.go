// Package server provides HTTP servers and clients for HTTP/1.1 and HTTP/2, in
// cleartext or with mutual TLS. Servers can be stopped gracefully.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"lacewingturn.example/node/server/admission"
)

// headerTimeout is the time limit for reading the header of a request. It protects
// against callers that open a connection and send nothing.
const headerTimeout = 10 * time.Second

// Server serves one listener with one handler.
type Server struct {
	listener net.Listener
	http     *http.Server
	done     chan struct{}
	err      error // result of Serve; must be read only after done is closed
}

// Options are the optional settings of a server.
type Options struct {
	// TLS is the configuration of TLS; nil for cleartext.
	TLS *tls.Config
	// Counter counts the bytes of all connections; nil for none.
	Counter *ByteCounter
	// Guard bounds the connections and requests together with those of the other listeners of
	// the process; nil for no bounds.
	Guard *Guard
	// Limits of the requests, with a guard only; may be nil for DefaultLimits.
	Limits *admission.Listener
	// HTTP1Only turns HTTP/2 off.
	HTTP1Only bool
}

// Listen opens the listener, so its address is known before the server is started.
// If tlsConfig is nil, connections are in cleartext.
func Listen(address string, handler http.Handler, tlsConfig *tls.Config) (*Server, error) {
	return ListenWith(address, handler, Options{TLS: tlsConfig})
}

// ListenWith is like Listen with further options.
func ListenWith(address string, handler http.Handler, o Options) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s", address)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(!o.HTTP1Only)
	protocols.SetUnencryptedHTTP2(!o.HTTP1Only)
	s := &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: headerTimeout}
	if o.Counter != nil {
		listener = countedListener{listener, o.Counter}
	}
	if o.Guard != nil {
		listener = guard(s, listener, o)
	}
	if o.TLS != nil {
		listener = tls.NewListener(listener, o.TLS)
	}
	return &Server{listener: listener, http: s, done: make(chan struct{})}, nil
}

const (
	// maxStreams is the number of concurrent requests on an HTTP/2 connection.
	maxStreams = 128
	// maxFrameBytes is the longest frame of HTTP/2 that is read.
	maxFrameBytes = 64 << 10
)

// guard sets up a server and its listener so that their connections and requests are bounded.
func guard(s *http.Server, l net.Listener, o Options) net.Listener {
	limits := o.Limits
	if limits == nil {
		limits = &admission.Listener{Limits: DefaultLimits()}
	}
	if !o.HTTP1Only {
		s.MaxHeaderBytes = defaultHeadBytes
		s.IdleTimeout = defaultIdleTime
		s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReadFrameSize: maxFrameBytes}
	}
	s.Handler = guardHandler(s.Handler)
	s.ConnContext = withConn
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if g := guardedConnOf(c); g != nil && state == http.StateIdle {
			g.idle()
		}
	}
	return &guardedListener{Listener: l, guard: o.Guard, limits: limits, http2: !o.HTTP1Only, tls: o.TLS != nil}
}

// Address returns the address that the listener is bound to, as host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Start serves in a new goroutine.
func (s *Server) Start() {
	go func() {
		defer close(s.done)
		s.err = s.http.Serve(s.listener)
	}()
}

// Stop closes the listener and waits for the requests in flight. Connections that
// are still active when ctx ends are closed. It returns the error of serving or of
// closing, if any.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		err = s.http.Close()
	}
	<-s.done
	if !errors.Is(s.err, http.ErrServerClosed) {
		return trace.Wrap(s.err)
	}
	return trace.Wrap(err)
}

// Close closes the listener and all connections immediately, like the end of the
// process would.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// dialTimeout is the time limit for opening a connection to another process of the
// system.
const dialTimeout = time.Second

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens connections, with mutual TLS if tlsConfig is
// not nil. TLS is handled by the connection only: URLs of other processes have the
// scheme http in both cases.
func Dialer(tlsConfig *tls.Config) DialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if tlsConfig == nil {
		return dialer.DialContext
	}
	return (&tls.Dialer{NetDialer: dialer, Config: tlsConfig}).DialContext
}

const (
	// pingAfter and pingTimeout: a connection between processes that stops responding
	// is closed after 1.25 s. An entry instance whose connections to all replicas stop
	// responding at once can then reconnect before its state counts as stale (2.5 s).
	// With 1 s for each, the state became stale in 2 of 4 runs.
	pingAfter   = 750 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
)

// NewClient returns an HTTP/2 client for calls between the processes of the system.
// Its connections multiplex requests. A connection on which nothing is received is
// checked with pings, because it can stop responding for good while new ones work.
func NewClient(dial DialFunc) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:   protocols,
		DialContext: dial,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}
