package command

import (
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/command/credit"
	"lacewingturn.example/core/command/dispatch"
	"lacewingturn.example/core/command/health"
	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
	corequery "lacewingturn.example/core/query"
	"lacewingturn.example/entry"
	"lacewingturn.example/entry/query"
	"lacewingturn.example/node/loop"
)

// housekeepingInterval is the time between two runs of housekeep.
const housekeepingInterval = time.Second

// effects is the interface through which the Machine acts on the network and the
// connections. Its methods return immediately; results come back as messages.
type effects interface {
	report(address string, r credit.Report)
	handOver(address string, list []credit.Handover)
	forward(address string, list []credit.Heartbeat)
	check(d destination)
	replaceConnections(d destination)
	propose(c model.Command)
	limitConnections(d destination, slots int)
	retain(targets map[model.TargetID]destination, members int)
}

// Machine is the control state of an entry instance: the traffic view, the
// queues, the requests in flight and the slot credits. Only the control loop
// calls its methods, so it needs no locks.
type Machine struct {
	id      model.EntryID
	log     *zap.Logger
	metrics *Metrics
	source  *query.Source
	effects effects
	policy  dispatch.Policy
	record  func(entry.TrafficRecord)

	traffic  corequery.Traffic
	services map[model.ServiceName]*service
	targets  map[model.TargetID]*target
	requests map[uint64]*request
	contact  time.Time // when the traffic view was last known to be current

	self       credit.Member
	leaseUntil time.Time
	lease      entry.LeaseRenewed // pending; applied once the traffic view has reached its index
	owner      *credit.Owner
	holder     *credit.Holder
	forwards   map[credit.Member][]credit.Heartbeat

	openClaims       int // admissions whose claim or outcome is not recorded yet
	budget           retryBudget
	drainDone        chan time.Time // not nil once draining has begun
	stopping         bool           // the instance reports itself as not ready
	ownershipEnded   bool           // ownership has ended and is not renewed
	dirty            bool           // the published view is out of date
	replan           bool           // the demand of some service may have changed
	syncNeeded       bool           // credit reports have to be checked before nextReport
	nextReport       time.Time
	nextHousekeeping time.Time
}

func newMachine(s Settings, e effects) *Machine {
	return &Machine{
		id: s.ID, log: s.Log, metrics: s.Metrics, source: s.Source, effects: e, policy: s.Policy, record: s.Record,
		services: map[model.ServiceName]*service{}, targets: map[model.TargetID]*target{}, requests: map[uint64]*request{},
		owner: credit.NewOwner(), holder: credit.NewHolder(), forwards: map[credit.Member][]credit.Heartbeat{}, dirty: true,
		budget: newRetryBudget(),
	}
}

// Handle implements loop.StateMachine: it applies one message.
func (m *Machine) Handle(now time.Time, msg loop.Message) {
	switch msg := msg.(type) {
	case arrival:
		m.handleArrival(now, msg)
	case admission:
		m.admitClaim(now, msg)
	case claimClosed:
		m.openClaims--
		m.endDrain(now)
	case cancellation:
		m.cancel(now, msg.id)
	case completion:
		m.complete(now, msg)
	case checkResult:
		m.handleCheck(now, msg)
	case entry.TrafficChanged:
		m.updateTraffic(now, msg.View)
	case entry.LeaseRenewed:
		m.lease = msg
		m.renew(now)
	case entry.ViewConfirmed:
		m.contact, m.dirty = msg.At, true
	case entry.ReportRequest:
		msg.Reply <- m.fleetReport(now)
	case withdrawReadiness:
		m.stopping, m.dirty = true, true
	case drain:
		m.drainDone, m.stopping, m.dirty = msg.done, true, true
		m.endDrain(now)
	default:
		m.handlePeer(now, msg)
	}
}

// Tick implements loop.StateMachine: it dispatches the queues and runs the housekeeping
// that are due now.
func (m *Machine) Tick(now time.Time) {
	for _, s := range m.services {
		if !s.dispatchAt.IsZero() && !s.dispatchAt.After(now) {
			m.dispatch(now, s)
		}
	}
	if !now.Before(m.nextHousekeeping) {
		m.nextHousekeeping = now.Add(housekeepingInterval)
		m.housekeep(now)
	}
}

// Deadline implements loop.StateMachine: it returns when Tick or Flush has work next.
func (m *Machine) Deadline() time.Time {
	at := compare.EarlierDeadline(m.nextHousekeeping, m.nextReport)
	for _, s := range m.services {
		at = compare.EarlierDeadline(at, compare.EarlierDeadline(s.dispatchAt, s.replanAt))
	}
	return at
}

// Flush implements loop.StateMachine: after a batch of messages it distributes demand,
// sends credit reports and forwarded heartbeats, and publishes the view if it
// has changed.
func (m *Machine) Flush(now time.Time) {
	if m.nextHousekeeping.IsZero() {
		m.nextHousekeeping = now.Add(housekeepingInterval)
	}
	m.plan(now)
	m.sync(now)
	for to, list := range m.forwards {
		m.effects.forward(m.address(to), list)
		delete(m.forwards, to)
	}
	m.metrics.inFlight.Set(float64(len(m.requests)))
	if m.dirty {
		m.dirty = false
		m.source.Publish(m.view(now))
	}
}

// housekeep does the periodic work: it announces lost targets, updates the
// connection limits and gauges, refuses queued requests on a stale instance, and
// marks the view for publication, so that its figures stay current.
func (m *Machine) housekeep(now time.Time) {
	m.dirty = true
	m.announceLost(now)
	m.updateConnectionLimits(now)
	held, used := 0, 0
	for _, t := range m.targets {
		held, used = held+t.account.Granted(now), used+t.account.InUse()
	}
	m.metrics.slots.WithLabelValues("held").Set(float64(held))
	m.metrics.slots.WithLabelValues("used").Set(float64(used))
	for _, s := range m.services {
		if m.stale(now) && s.free(now) == 0 {
			m.refuseQueued(now, s, refusalStale)
		}
		m.dispatch(now, s)
	}
}

// stale reports whether the last contact with the control state is older than
// entry.StaleAfter.
func (m *Machine) stale(now time.Time) bool { return now.Sub(m.contact) > entry.StaleAfter }

// stateOf returns the health state of a target as text, with the reason of an
// ejection.
func stateOf(t *health.Target, now time.Time) string {
	state, reason := t.State(now)
	if reason == "" {
		return state.String()
	}
	return state.String() + ": " + string(reason)
}
