package server

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// ByteCounter counts the bytes that a process exchanges with other processes of the
// system. The budget is 7 KB/s per node.
type ByteCounter struct{ sent, received atomic.Uint64 }

// NewByteCounter returns a ByteCounter whose metrics are registered with r. It
// panics if r already has them.
func NewByteCounter(r prometheus.Registerer) *ByteCounter {
	c := &ByteCounter{}
	counter := func(name, help string, v *atomic.Uint64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(v.Load()) }))
	}
	counter("lacewingturn_internal_sent_bytes_total", "Bytes sent to other processes of the system.", &c.sent)
	counter("lacewingturn_internal_received_bytes_total", "Bytes received from other processes of the system.", &c.received)
	return c
}

// Dialer returns a function that opens connections with dial and counts their bytes.
func (b *ByteCounter) Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, counter: b}, nil
	}
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	counter *ByteCounter
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, counter: l.counter}, nil
}

type countedConn struct {
	net.Conn
	counter *ByteCounter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(uint64(n))
	return n, err
}
