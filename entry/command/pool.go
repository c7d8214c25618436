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

// Limits of connections to one target. All entry instances together open at most
// 64: each may open 4, or fewer if there are more than 12 entry members, and one
// more for each slot that it holds. All entry instances together hold at most 8
// slots, and 8 connections remain for health checks.
const (
	maxConnections      = 64
	reservedConnections = 16                     // 8 for slots and 8 for health checks
	minMembers          = 12                     // entry members that baseShare assumes at least
	maxIdlePerTarget    = 12                     // 4, and one for each of 8 slots
	dialTimeout         = 600 * time.Millisecond // must be below credit.SettleTime
	idleConnTimeout     = 60 * time.Second
)

// errTooManyConnections means that a further connection would exceed this
// instance's limit for the target.
var errTooManyConnections = errors.New("entry: too many connections to the target")

// baseShare returns how many connections to a target one entry instance may open
// in addition to one for each slot that it holds.
func baseShare(members int) int {
	return (maxConnections - reservedConnections) / max(members, minMembers)
}

// targetPoolKey identifies one generation of a target at one address.
type targetPoolKey struct {
	id         model.TargetID
	generation uint64
	address    string
}

// targetPool holds the connections to one generation of a target.
type targetPool struct {
	transport *http.Transport
	open      atomic.Int32
	limit     atomic.Int32
}

// connPool holds the connections to all targets. It is traffic state: it is safe
// for concurrent use by traffic goroutines.
type connPool struct {
	targets sync.Map // targetPoolKey to *targetPool
	members atomic.Int32
}

func (p *connPool) forTarget(d destination) *targetPool {
	k := keyOf(d)
	if tp, ok := p.targets.Load(k); ok {
		return tp.(*targetPool)
	}
	tp, _ := p.targets.LoadOrStore(k, p.newTargetPool())
	return tp.(*targetPool)
}

func (p *connPool) newTargetPool() *targetPool {
	tp := &targetPool{}
	tp.limit.Store(int32(baseShare(int(p.members.Load()))))
	dialer := &net.Dialer{Timeout: dialTimeout}
	tp.transport = &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerTarget,
		IdleConnTimeout:     idleConnTimeout,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if tp.open.Add(1) > tp.limit.Load() {
				tp.open.Add(-1)
				return nil, errTooManyConnections
			}
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				tp.open.Add(-1)
				return nil, err
			}
			return &countedConn{Conn: conn, pool: tp}, nil
		},
	}
	return tp
}

// countedConn counts towards the connection limit of its pool and tracks whether
// any part of the current request has been written to it.
type countedConn struct {
	net.Conn
	pool   *targetPool
	closed atomic.Bool
	writes atomic.Int64                 // writes started
	marked atomic.Int64                 // value of writes at the start of the current request
	credit atomic.Pointer[creditExpiry] // of the slot of the current request
}

// errCreditExpired means that the credit ended before the request was written,
// because the process was paused or the connection took too long to open.
var errCreditExpired = errors.New("entry: the slot credit ended before the request was written")

// mark starts a new request whose slot is covered by the credit.
func (c *countedConn) mark(credit *creditExpiry) {
	c.credit.Store(credit)
	c.marked.Store(c.writes.Load())
}

// Write counts a write before it starts, so that unwritten never misses a write in
// progress. It does not start a request after its credit has expired: the slot may
// belong to another instance by then, and the target may have left.
func (c *countedConn) Write(p []byte) (int, error) {
	if c.writes.Load() == c.marked.Load() && c.credit.Load().expired(time.Now()) {
		return 0, errCreditExpired
	}
	c.writes.Add(1)
	return c.Conn.Write(p)
}

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		c.pool.open.Add(-1)
	}
	return err
}

// unwritten reports whether it is certain that nothing of the current request was
// or will be written: the connection is closed and no write was started.
func (c *countedConn) unwritten() bool {
	return c.closed.Load() && c.writes.Load() == c.marked.Load()
}
