// Package admission decides which connections and unfinished requests a process can hold. It
// has no clock and no network: callers pass the time and close what it names.
package admission

import "time"

const (
	// ConnectionBytes is what an open connection holds: its buffers, its goroutine and one
	// small request.
	ConnectionBytes = 16 << 10
	// SmallBytes is the most that a request may hold to be admitted into the reserve.
	SmallBytes = 128 << 10
	// reserveShare is the reciprocal of the share of the bytes and of the connections that is
	// reserved: the bytes for small requests, the connections for essential listeners.
	reserveShare = 8
	// stallTime is how far a request must be behind the least rate, or for how long a
	// connection must be unused, before it may be evicted for others.
	stallTime = 500 * time.Millisecond
	// scanPause is the time after a search without a result until the next search.
	scanPause = 20 * time.Millisecond
)

// Budget is what a process may hold.
type Budget struct {
	Bytes       int64
	Connections int
}

// Limits apply to the requests of one listener. A limit of 0 is not enforced.
type Limits struct {
	HeadBytes int64
	BodyBytes int64
	HeadTime  time.Duration // from the first byte of a request to the end of its head
	IdleTime  time.Duration // without a request on an open connection
	// LagTime is how far a body or a response may fall behind MinRate.
	LagTime time.Duration
	MinRate int64 // bytes per second
}

// Listener is a listener whose accounts have the same limits.
type Listener struct {
	Limits Limits
	// Essential listeners may use the reserved connections.
	Essential bool
}

// Phase is what an account is doing.
type Phase uint8

// Phases of an account.
const (
	Silent  Phase = iota // connected, nothing received yet
	Idle                 // between two requests
	Head                 // reading the head of a request
	Body                 // reading the body of a request
	Running              // the request is complete and being handled
	Writing              // writing the response
)

// unfinished reports whether a request has begun but is not complete, or its response is not
// sent.
func (p Phase) unfinished() bool { return p == Head || p == Body || p == Writing }

// Account holds bytes for a connection, or for one of several requests on a connection.
type Account struct {
	Owner    any // for the caller of the table
	listener *Listener
	phase    Phase
	before   Phase     // phase before Writing
	since    time.Time // begin of the phase
	moved    int64     // bytes read or written in the phase
	held     int64
	base     int64 // part of held that is kept between requests
	open     bool
}

// Phase returns the phase of the account.
func (a *Account) Phase() Phase { return a.phase }

// Open reports whether the account still belongs to the table.
func (a *Account) Open() bool { return a.open }

// lag returns how far a request is behind the least rate, or how long the account has been
// in a phase without a rate.
func (a *Account) lag(now time.Time) time.Duration {
	lag := now.Sub(a.since)
	if rate := a.listener.Limits.MinRate; rate > 0 && (a.phase == Body || a.phase == Writing) {
		lag -= time.Duration(float64(a.moved) / float64(rate) * float64(time.Second))
	}
	return lag
}

// Table holds the accounts of a process. It is not safe for concurrent use.
type Table struct {
	budget      Budget
	accounts    map[*Account]struct{}
	used        int64
	connections int
	nextScan    time.Time
}

// NewTable returns a table without accounts.
func NewTable(b Budget) *Table { return &Table{budget: b, accounts: map[*Account]struct{}{}} }

// Used returns the bytes that all accounts hold.
func (t *Table) Used() int64 { return t.used }

// Largest returns the most that one account can hold.
func (t *Table) Largest() int64 { return t.budget.Bytes - t.budget.Bytes/reserveShare }

// Connections returns the number of open connections.
func (t *Table) Connections() int { return t.connections }

// Unfinished returns the number of requests that are being received, or whose response is
// being sent.
func (t *Table) Unfinished() (n int) {
	for a := range t.accounts {
		if a.phase.unfinished() {
			n++
		}
	}
	return n
}

// Connect opens the account of a new connection. It reports false if the budget does not allow it. The
// victims are closed already; the caller closes their connections.
func (t *Table) Connect(now time.Time, a *Account, l *Listener) (victims []*Account, ok bool) {
	limit := t.budget.Connections
	if !l.Essential {
		limit -= limit / reserveShare
	}
	if t.connections >= limit {
		if victim := t.oldest(now); victim != nil {
			t.Close(victim)
			victims = append(victims, victim)
		}
	}
	if t.connections >= limit {
		return victims, false
	}
	*a = Account{Owner: a.Owner, listener: l, phase: Silent, since: now, open: true, base: ConnectionBytes}
	more, ok := t.Take(now, a, ConnectionBytes)
	victims = append(victims, more...)
	if !ok {
		a.open = false
		return victims, false
	}
	t.accounts[a] = struct{}{}
	t.connections++
	return victims, true
}

// Request opens the account of one of several requests on a connection.
func (t *Table) Request(now time.Time, a *Account, l *Listener) {
	*a = Account{Owner: a.Owner, listener: l, phase: Body, since: now, open: true}
	t.accounts[a] = struct{}{}
}

// Close gives back everything that the account holds. It has no effect on a closed account.
func (t *Table) Close(a *Account) {
	if !a.open {
		return
	}
	a.open = false
	t.used -= a.held
	a.held = 0
	delete(t.accounts, a)
	if a.base > 0 {
		t.connections--
	}
}

// Take adds bytes to an account before they are allocated. It reports false if they do not
// fit into the budget. The victims are closed already; the caller closes their connections.
func (t *Table) Take(now time.Time, a *Account, n int64) (victims []*Account, ok bool) {
	if !a.open {
		return nil, false
	}
	limit := t.budget.Bytes
	if a.held+n > SmallBytes {
		limit = t.Largest()
	}
	if missing := t.used + n - limit; missing > 0 {
		victims = t.evictStalled(now, a, missing)
	}
	if t.used+n > limit {
		return victims, false
	}
	t.used += n
	a.held += n
	return victims, true
}

// Give gives back bytes of an account.
func (t *Table) Give(a *Account, n int64) {
	if a.open {
		t.used -= n
		a.held -= n
	}
}

// EndRequest gives back everything but the share of the connection itself, once the handler of
// the request has returned.
func (t *Table) EndRequest(a *Account) {
	if a.open {
		t.Give(a, a.held-a.base)
	}
}

// Fits reports whether the bytes would fit into the budget, counting what can be
// evicted.
func (t *Table) Fits(now time.Time, a *Account, n int64) bool {
	limit := t.Largest()
	if a.held+n <= SmallBytes {
		return true // the reserve is checked when the bytes are taken
	}
	missing := t.used + n - limit
	if missing <= 0 {
		return true
	}
	return t.stalledBytes(now, a) >= missing
}

// Begin starts a phase of the account. Between requests everything but the share of the
// connection itself is given back.
func (t *Table) Begin(now time.Time, a *Account, p Phase) {
	if p == Writing && a.phase != Writing {
		a.before = a.phase
	}
	a.phase, a.since, a.moved = p, now, 0
	if p == Idle {
		t.EndRequest(a)
	}
}

// EndWriting returns to the phase before the response was written.
func (t *Table) EndWriting(now time.Time, a *Account) {
	if a.phase == Writing {
		a.phase, a.since, a.moved = a.before, now, 0
	}
}

// Move counts bytes that were read or written in the present phase.
func (t *Table) Move(a *Account, n int64) { a.moved += n }
