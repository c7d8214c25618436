package server

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Traffic counts the bytes that a process exchanges with other processes of the
// system. The budget is 7 KB/s per node.
type ByteCounter struct{ sent, received atomic.Uint64 }

// NewTraffic returns a Traffic whose counters are registered with r. It panics if r
// already has them.
func NewByteCounter(r prometheus.Registerer) *ByteCounter {
	t := &ByteCounter{}
	counter := func(name, help string, v *atomic.Uint64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(v.Load()) }))
	}
	counter("lacewingturn_internal_sent_bytes_total", "Bytes sent to other processes of the system.", &t.sent)
	counter("lacewingturn_internal_received_bytes_total", "Bytes received from other processes of the system.", &t.received)
	return t
}

// Dialer returns a function that opens connections with dial and counts their bytes.
func (t *ByteCounter) Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, traffic: t}, nil
	}
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *ByteCounter
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *ByteCounter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
