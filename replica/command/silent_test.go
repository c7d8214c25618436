package command

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// silence makes the connections that exist swallow everything from now on.
type silence struct{ epoch atomic.Int64 }

// silentConn swallows writes and blocks reads once its epoch has passed.
type silentConn struct {
	net.Conn
	from   *silence
	opened int64
	closed chan struct{}
	once   sync.Once
}

func (c *silentConn) silent() bool { return c.opened != c.from.epoch.Load() }

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (s *silence) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &silentConn{Conn: conn, from: s, opened: s.epoch.Load(), closed: make(chan struct{})}, nil
}

// Guards against a sender that keeps using a connection on which nothing
// arrives any more, although a new connection would work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	var s silence
	var site []*instance
	for _, settings := range siteSettings(t, 3) {
		settings.Dial = s.dial
		site = append(site, start(t, settings))
	}
	commit(t, site, 0, 10)
	for round := 1; round <= 3; round++ {
		s.epoch.Add(1)
		commit(t, site, 10*round, 10)
	}
	for _, r := range site {
		eventually(t, r.Replica, "all commands", func() bool { return applied(r) == 40 })
	}
	assert.Equal(t, s.epoch.Load(), int64(3))
}
