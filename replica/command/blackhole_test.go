package command

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// blackhole dials connections and can silently drop their data. When epoch is
// incremented, every connection that was opened in an earlier epoch drops all data
// from then on.
type blackhole struct{ epoch atomic.Int64 }

// blackholeConn discards writes and blocks reads once its epoch is over.
type blackholeConn struct {
	net.Conn
	owner  *blackhole
	epoch  int64
	closed chan struct{}
	once   sync.Once
}

func (c *blackholeConn) dropping() bool { return c.epoch != c.owner.epoch.Load() }

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.dropping() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *blackholeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.dropping() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *blackholeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (b *blackhole) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &blackholeConn{Conn: conn, owner: b, epoch: b.epoch.Load(), closed: make(chan struct{})}, nil
}

// Guards against a sender that keeps using a connection on which packets are
// silently dropped, although a new connection would work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	var b blackhole
	var site []*instance
	for _, settings := range siteSettings(t, 3) {
		settings.Dial = b.dial
		site = append(site, start(t, settings))
	}
	commit(t, site, 0, 10)
	for round := 1; round <= 3; round++ {
		b.epoch.Add(1)
		commit(t, site, 10*round, 10)
	}
	for _, r := range site {
		eventually(t, r.Replica, "all commands", func() bool { return applied(r) == 40 })
	}
	assert.Equal(t, b.epoch.Load(), int64(3))
}
