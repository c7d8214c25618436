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

// houseEvery is the time between housekeeping ticks: lost targets, work that
// waits on a stale instance, and the figures in the published view.
const houseEvery = time.Second

// effects is what the machine causes outside. Its methods return at once;
// answers come back as messages.
type effects interface {
	report(address string, r credit.Report)
	handOver(address string, list []credit.Handover)
	forward(address string, list []credit.Heartbeat)
	check(d destination)
	replace(d destination)
	propose(c model.Command)
	allow(d destination, slots int)
	retain(targets map[model.TargetID]destination, members int)
}

// Machine is the control state of an entry instance: the traffic view, the
// queues, the requests in flight and the slot credits. Its methods are called
// by the control loop only.
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
	contact  time.Time

	self       credit.Member
	leaseUntil time.Time
	lease      entry.LeaseRenewed // newest; in force once the view is new enough
	owner      *credit.Owner
	holder     *credit.Holder
	forwards   map[credit.Member][]credit.Heartbeat

	openClaims int // admitted requests whose outcome is not recorded yet
	budget     retryBudget
	drained    chan time.Time // not nil once a shutdown has begun
	stopping   bool           // readiness is withdrawn
	quit       bool           // ownership has ended for good
	dirty      bool           // the published view is out of date
	replan     bool           // the demand of some service changed
	rearm      bool           // nextReport is out of date
	nextReport time.Time
	nextHouse  time.Time
}

func newMachine(s Settings, e effects) *Machine {
	return &Machine{
		id: s.ID, log: s.Log, metrics: s.Metrics, source: s.Source, effects: e, policy: s.Policy, record: s.Record,
		services: map[model.ServiceName]*service{}, targets: map[model.TargetID]*target{}, requests: map[uint64]*request{},
		owner: credit.NewOwner(), holder: credit.NewHolder(), forwards: map[credit.Member][]credit.Heartbeat{}, dirty: true,
		budget: newRetryBudget(),
	}
}

// Handle implements loop.Machine.
func (m *Machine) Handle(now time.Time, msg loop.Message) {
	switch msg := msg.(type) {
	case arrival:
		m.arrive(now, msg)
	case admission:
		m.admitClaim(now, msg)
	case claimClosed:
		m.openClaims--
		m.endDrain(now)
	case cancellation:
		m.cancel(now, msg.id)
	case completion:
		m.complete(now, msg)
	case checked:
		m.takeCheck(now, msg)
	case entry.TrafficChanged:
		m.changeTraffic(now, msg.View)
	case entry.LeaseRenewed:
		m.lease = msg
		m.renew(now)
	case entry.ControlContact:
		m.contact, m.dirty = msg.At, true
	case entry.ReportRequest:
		msg.Reply <- m.fleetReport(now)
	case withdraw:
		m.stopping, m.dirty = true, true
	case drain:
		m.drained, m.stopping, m.dirty = msg.done, true, true
		m.endDrain(now)
	default:
		m.handlePeer(now, msg)
	}
}

// Tick implements loop.Machine.
func (m *Machine) Tick(now time.Time) {
	for _, s := range m.services {
		if !s.again.IsZero() && !s.again.After(now) {
			m.dispatch(now, s)
		}
	}
	if !now.Before(m.nextHouse) {
		m.nextHouse = now.Add(houseEvery)
		m.keepHouse(now)
	}
}

// Deadline implements loop.Machine.
func (m *Machine) Deadline() time.Time {
	at := compare.EarlierDeadline(m.nextHouse, m.nextReport)
	for _, s := range m.services {
		at = compare.EarlierDeadline(at, compare.EarlierDeadline(s.again, s.replanAt))
	}
	return at
}

// Flush implements loop.Machine.
func (m *Machine) Flush(now time.Time) {
	if m.nextHouse.IsZero() {
		m.nextHouse = now.Add(houseEvery)
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

// keepHouse does what needs no exact time.
func (m *Machine) keepHouse(now time.Time) {
	m.dirty = true
	m.announceLost(now)
	m.allowConnections(now)
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

// stale reports whether the instance has lost touch with the control state.
func (m *Machine) stale(now time.Time) bool { return now.Sub(m.contact) > entry.StaleAfter }

// stateOf names the health of a target.
func stateOf(t *health.Target, now time.Time) string {
	state, reason := t.State(now)
	if reason == "" {
		return state.String()
	}
	return state.String() + ": " + string(reason)
}
