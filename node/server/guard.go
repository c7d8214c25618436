package server

import (
	"cmp"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"lacewingturn.example/node/event"
	"lacewingturn.example/node/server/admission"
)

const (
	// memoryShare is the reciprocal of the share of the memory limit that connections and
	// unfinished requests may hold. The garbage collector needs about as much again.
	memoryShare = 4
	// reservedFiles is the number of descriptors that are not used for connections of clients:
	// files of the process and of its runtime, and its own connections.
	reservedFiles = 200
	// clientShare is the share of the other descriptors that connections of clients may use.
	clientShare = 0.75

	// expiryInterval is the interval at which limits of time are checked.
	expiryInterval = 500 * time.Millisecond
	// logInterval is the shortest time between two lines about refused requests.
	logInterval = 10 * time.Second
)

// Defaults of the limits. docs/operators.md lists them.
const (
	DefaultMemory    = 256 << 20 // bytes
	defaultHeadBytes = 64 << 10
	defaultHeadTime  = headerTimeout
	defaultIdleTime  = 2 * time.Minute
	defaultLagTime   = 10 * time.Second
	defaultMinRate   = 16 << 10 // bytes per second
)

// DefaultLimits returns the limits of a listener without limits of its own.
func DefaultLimits() admission.Limits {
	return admission.Limits{HeadBytes: defaultHeadBytes, HeadTime: defaultHeadTime, IdleTime: defaultIdleTime, LagTime: defaultLagTime, MinRate: defaultMinRate}
}

// NewBudget returns the budget of a process with a memory limit in bytes and a limit of
// descriptors. A limit of 0 selects DefaultMemory or the limit of the operating system.
func NewBudget(memory int64, descriptors int) admission.Budget {
	if descriptors == 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
			descriptors = int(min(limit.Cur, 1<<20))
		}
	}
	return admission.Budget{
		Bytes:       cmp.Or(memory, DefaultMemory) / memoryShare,
		Connections: max(1, int(float64(descriptors-min(reservedFiles, descriptors/2))*clientShare)),
	}
}

// Guard holds the budget of a process and applies the decisions of its admission table to the
// connections of all listeners.
type Guard struct {
	log     *zap.Logger
	refused *prometheus.CounterVec

	mu       sync.Mutex
	table    *admission.Table
	expiring bool                     // the timer of expire is set
	counts   map[admission.Reason]int // refusals since the last log line
	lastLine time.Time
}

// NewGuard returns a guard whose metrics are registered with r. It panics if r already has
// them.
func NewGuard(b admission.Budget, r prometheus.Registerer, log *zap.Logger) *Guard {
	g := &Guard{
		log: log, table: admission.NewTable(b), counts: map[admission.Reason]int{},
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lacewingturn_requests_refused_total", Help: "Requests refused and connections closed because of a limit."}, []string{"limit"}),
	}
	gauge := func(name, help string, read func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return read()
		})
	}
	r.MustRegister(
		g.refused,
		gauge("lacewingturn_client_connections", "Open connections to the listeners of the process.", func() float64 { return float64(g.table.Connections()) }),
		gauge("lacewingturn_unfinished_requests", "Requests that are being received or whose response is being sent.", func() float64 { return float64(g.table.Unfinished()) }),
		gauge("lacewingturn_request_bytes", "Bytes that connections and requests hold.", func() float64 { return float64(g.table.Used()) }),
	)
	return g
}

// SetLimits changes the limits of a listener. They also apply to its open connections.
func (g *Guard) SetLimits(l *admission.Listener, limits admission.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l.Limits = limits
}

// connect opens the account of a connection. It reports false if the budget does not allow it.
func (g *Guard) connect(c *guardedConn) bool {
	g.mu.Lock()
	victims, ok := g.table.Connect(time.Now(), &c.account, c.listener.limits)
	g.count(admission.Connections, len(victims))
	if !ok {
		g.count(admission.Connections, 1)
	}
	if ok && !g.expiring {
		g.expiring = true
		time.AfterFunc(expiryInterval, g.expire)
	}
	g.mu.Unlock()
	abort(victims)
	return ok
}

// take adds bytes to an account. It reports false if the budget does not allow them.
func (g *Guard) take(a *admission.Account, n int64) bool {
	g.mu.Lock()
	victims, ok := g.table.Take(time.Now(), a, n)
	g.count(admission.Memory, len(victims))
	if !ok && a.Open() {
		g.count(admission.Memory, 1)
	}
	g.mu.Unlock()
	abort(victims)
	return ok
}

// largest returns the most that one request can hold.
func (g *Guard) largest() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Largest()
}

// update changes accounts while the guard is locked.
func (g *Guard) update(change func(t *admission.Table, now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g.table, time.Now())
}

// refuse counts a refusal.
func (g *Guard) refuse(reason admission.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count(reason, 1)
}

// count counts refusals. The guard is locked.
func (g *Guard) count(reason admission.Reason, n int) {
	if n > 0 {
		g.counts[reason] += n
		g.refused.WithLabelValues(string(reason)).Add(float64(n))
	}
}

// expire closes connections that have exceeded a limit of time, and runs again while there
// are connections.
func (g *Guard) expire() {
	g.mu.Lock()
	now := time.Now()
	expired := g.table.Expire(now)
	victims := make([]*admission.Account, 0, len(expired))
	for _, e := range expired {
		victims = append(victims, e.Account)
		if e.Reason != admission.IdleTime {
			g.count(e.Reason, 1)
		}
	}
	g.logRefusals(now)
	g.expiring = g.table.Connections() > 0 || len(g.counts) > 0
	if g.expiring {
		time.AfterFunc(expiryInterval, g.expire)
	}
	g.mu.Unlock()
	abort(victims)
}

// logRefusals writes a line about the refusals since the last one, at most one in
// logInterval. The guard is locked.
func (g *Guard) logRefusals(now time.Time) {
	if len(g.counts) == 0 || now.Sub(g.lastLine) < logInterval {
		return
	}
	event.RequestsRefused.Log(g.log, zap.Any("limits", g.counts), zap.Int("connections", g.table.Connections()),
		zap.Int("unfinished", g.table.Unfinished()), zap.Int64("bytes", g.table.Used()))
	g.counts, g.lastLine = map[admission.Reason]int{}, now
}

// abort closes the connections of accounts that were evicted or have expired.
func abort(victims []*admission.Account) {
	for _, v := range victims {
		_ = v.Owner.(io.Closer).Close()
	}
}
