package command

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lacewingturn.example/core/model"
)

// Limits of connections to one target. All entry instances together open at
// most 64: each may open 4, or fewer with more than 12 entry members, and one
// more for each slot that it holds. The slots of all instances are at most 8,
// and 8 connections are left for health checks.
const (
	maxConnections  = 64
	activeReserve   = 16
	leastMembers    = 12
	maxPerLane      = 12                     // 4 and one for each of 8 slots
	dialTimeout     = 600 * time.Millisecond // below credit.Settle
	idleConnTimeout = 60 * time.Second
)

// errTooManyConnections means that a connection would exceed the share of this instance.
var errTooManyConnections = errors.New("entry: too many connections to the target")

// baseShare returns how many connections one entry instance may open beyond its slots.
func baseShare(members int) int {
	return (maxConnections - activeReserve) / max(members, leastMembers)
}

// laneKey is one life of a target.
type laneKey struct {
	id         model.TargetID
	generation uint64
	address    string
}

// lane holds the connections to one life of a target.
type lane struct {
	transport *http.Transport
	open      atomic.Int32
	allowed   atomic.Int32
}

// pool holds the lanes of all targets. It is traffic state: traffic goroutines
// use it at the same time.
type pool struct {
	lanes   sync.Map // laneKey to *lane
	members atomic.Int32
}

func (p *pool) lane(d destination) *lane {
	k := keyOf(d)
	if l, ok := p.lanes.Load(k); ok {
		return l.(*lane)
	}
	l, _ := p.lanes.LoadOrStore(k, p.newLane())
	return l.(*lane)
}

func (p *pool) newLane() *lane {
	l := &lane{}
	l.allowed.Store(int32(baseShare(int(p.members.Load()))))
	dialer := &net.Dialer{Timeout: dialTimeout}
	l.transport = &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxPerLane,
		IdleConnTimeout:     idleConnTimeout,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if l.open.Add(1) > l.allowed.Load() {
				l.open.Add(-1)
				return nil, errTooManyConnections
			}
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				l.open.Add(-1)
				return nil, err
			}
			return &countedConn{Conn: conn, lane: l}, nil
		},
	}
	return l
}

// countedConn counts towards the limit of its lane and knows whether the
// current request has been written to it.
type countedConn struct {
	net.Conn
	lane   *lane
	closed atomic.Bool
	writes atomic.Int64
	marked atomic.Int64
	credit atomic.Pointer[creditEnd] // of the slot of the current request
}

// errCreditEnded means that the credit ended before the request was written,
// because the process stood still or the connection took long to open.
var errCreditEnded = errors.New("entry: the slot credit ended before the request was written")

// mark begins a request that uses a slot under the credit.
func (c *countedConn) mark(credit *creditEnd) {
	c.credit.Store(credit)
	c.marked.Store(c.writes.Load())
}

// Write counts before it writes, so that a write in progress is never missed. It
// begins no request after the end of its credit: the slot may be another
// instance's, and the target may have left.
func (c *countedConn) Write(p []byte) (int, error) {
	if c.writes.Load() == c.marked.Load() && c.credit.Load().passed(time.Now()) {
		return 0, errCreditEnded
	}
	c.writes.Add(1)
	return c.Conn.Write(p)
}

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		c.lane.open.Add(-1)
	}
	return err
}

// unwritten reports whether it is certain that nothing of the current request
// was or will be written: the connection is closed and no write was begun.
func (c *countedConn) unwritten() bool {
	return c.closed.Load() && c.writes.Load() == c.marked.Load()
}
