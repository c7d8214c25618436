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

// Listen opens the listener, so its address is known before the server is started.
// If tlsConfig is nil, connections are in cleartext.
func Listen(address string, handler http.Handler, tlsConfig *tls.Config) (*Server, error) {
	return ListenAndCount(address, handler, tlsConfig, nil)
}

// ListenAndCount is like Listen and counts the bytes of all connections in counter.
// If counter is nil, they are not counted.
func ListenAndCount(address string, handler http.Handler, tlsConfig *tls.Config, counter *ByteCounter) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s", address)
	}
	if counter != nil {
		listener = countedListener{listener, counter}
	}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{
		listener: listener,
		http:     &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: headerTimeout},
		done:     make(chan struct{}),
	}, nil
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
