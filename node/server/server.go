// Package server runs HTTP listeners that speak HTTP/1.1 and HTTP/2, in the
// clear or with mutual TLS, and stop gracefully.
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

// headerTimeout bounds reading the header of a request, against callers that
// open a connection and send nothing.
const headerTimeout = 10 * time.Second

// Server is one listener and its handler.
type Server struct {
	listener net.Listener
	http     *http.Server
	done     chan struct{}
	err      error // why serving ended; read after done
}

// Listen opens the listener, so that the address is known before serving. The
// TLS configuration may be nil.
func Listen(address string, handler http.Handler, tlsConfig *tls.Config) (*Server, error) {
	return ListenCounted(address, handler, tlsConfig, nil)
}

// ListenCounted is Listen with the bytes of all connections counted.
func ListenCounted(address string, handler http.Handler, tlsConfig *tls.Config, traffic *Traffic) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s", address)
	}
	if traffic != nil {
		listener = countedListener{listener, traffic}
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

// Address returns the address that the listener is bound to.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Start serves on a goroutine of its own.
func (s *Server) Start() {
	go func() {
		defer close(s.done)
		s.err = s.http.Serve(s.listener)
	}()
}

// Stop ends the listener after the requests in flight. Streams that are still
// open when ctx ends are closed.
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

// Kill closes the listener and every connection at once, as the end of the
// process would.
func (s *Server) Kill() {
	_ = s.http.Close()
	<-s.done
}

// dialTimeout bounds opening a connection to another process of the system.
const dialTimeout = time.Second

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens connections, with mutual TLS if the
// configuration is not nil. TLS is a matter of the connection only: the URLs
// between processes have the scheme http in both cases.
func Dialer(tlsConfig *tls.Config) DialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if tlsConfig == nil {
		return dialer.DialContext
	}
	return (&tls.Dialer{NetDialer: dialer, Config: tlsConfig}).DialContext
}

const (
	// pingAfter and pingTimeout replace a connection between processes that has
	// gone silent within 1.25 s, so that an entry instance whose connections to all
	// replicas went silent at once follows again before its state counts as stale
	// (2.5 s). With 1 s each it was stale in 2 of 4 runs.
	pingAfter   = 750 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
)

// NewClient returns a client for the processes of the system. Its connections
// carry many requests at once and are checked when they are silent, because a
// connection may go silent for good while new ones work.
func NewClient(dial DialFunc) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:   protocols,
		DialContext: dial,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}
