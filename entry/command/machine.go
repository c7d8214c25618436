package command

import (
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	corequery "lacewingturn.example/core/query"
	"lacewingturn.example/entry"
	"lacewingturn.example/entry/query"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
)

// Machine is the control state of an entry instance: the traffic view, the
// queues, the requests in flight and the slots in use. Its methods are called
// by the control loop only.
type Machine struct {
	id      model.EntryID
	log     *zap.Logger
	metrics *Metrics
	source  *query.Source

	traffic    corequery.Traffic
	services   map[model.ServiceName]*service
	targets    map[model.TargetID]*target
	requests   map[uint64]*request
	contact    time.Time
	leaseUntil time.Time
	epoch      uint64

	budget   retryBudget
	drained  chan struct{} // not nil once a shutdown has begun
	stopping bool          // readiness is withdrawn; still serving
	dirty    bool          // the published view is out of date
}

// service is one service of the configuration in force and its queue.
type service struct {
	model.Service
	queue   queue
	targets []*target // ready ones
	next    int       // rotates the first target considered
}

// target is one announced target as seen from this instance.
type target struct {
	model.Target
	inUse int
}

// request is queued, or in flight to a target.
type request struct {
	arrival
	queuedAt time.Time
	sentAt   time.Time
	target   *target // nil while queued
}

func newMachine(id model.EntryID, log *zap.Logger, m *Metrics, s *query.Source) *Machine {
	return &Machine{
		id: id, log: log, metrics: m, source: s,
		services: map[model.ServiceName]*service{}, targets: map[model.TargetID]*target{},
		requests: map[uint64]*request{}, dirty: true,
	}
}

// Handle implements loop.Machine.
func (m *Machine) Handle(now time.Time, msg loop.Message) {
	switch msg := msg.(type) {
	case arrival:
		m.arrive(now, msg)
	case cancellation:
		m.cancel(msg.id)
	case completion:
		m.complete(now, msg)
	case entry.TrafficChanged:
		m.changeTraffic(now, msg.View)
	case entry.LeaseRenewed:
		m.renew(msg)
	case entry.ControlContact:
		m.contact, m.dirty = msg.At, true
	case withdraw:
		m.stopping, m.dirty = true, true
	case drain:
		m.drained, m.stopping, m.dirty = msg.done, true, true
		m.endDrain()
	}
}

// Tick implements loop.Machine.
func (m *Machine) Tick(time.Time) {}

// Deadline implements loop.Machine.
func (m *Machine) Deadline() time.Time { return time.Time{} }

// Flush implements loop.Machine.
func (m *Machine) Flush(time.Time) {
	m.metrics.inFlight.Set(float64(len(m.requests)))
	if m.dirty {
		m.dirty = false
		m.source.Publish(m.view())
	}
}

// renew takes a lease only once the view is as new as the lease demands, so
// that the owner of a target never acts on older members.
func (m *Machine) renew(r entry.LeaseRenewed) {
	if m.traffic.Index < r.Index {
		return
	}
	if r.Epoch != m.epoch {
		m.epoch, m.leaseUntil = r.Epoch, time.Time{}
	}
	if r.Until.After(m.leaseUntil) {
		m.leaseUntil = r.Until
	}
	m.dirty = true
}

func (m *Machine) view() *query.View {
	v := &query.View{
		Traffic: m.traffic, Services: make(map[model.ServiceName]model.Service, len(m.services)),
		Contact: m.contact, LeaseUntil: m.leaseUntil, Epoch: m.epoch, Stopping: m.stopping,
		Queued: make(map[model.ServiceName]int, len(m.services)),
	}
	for name, s := range m.services {
		v.Services[name], v.Queued[name] = s.Service, s.queue.Len()
	}
	for id := range m.traffic.Targets.All() {
		if t, ok := m.targets[id]; ok {
			v.Targets = append(v.Targets, t.status())
		}
	}
	return v
}

func (t *target) status() query.Target {
	return query.Target{
		ID: t.ID, Service: t.Service, Address: t.Address, Generation: t.Generation,
		Phase: t.Phase.String(), InUse: t.inUse,
	}
}

// changeTraffic replaces the traffic view and what is derived from it.
func (m *Machine) changeTraffic(now time.Time, v corequery.Traffic) {
	if v.Revision != m.traffic.Revision {
		event.ConfigInForce.Log(m.log, zap.Uint64("revision", uint64(v.Revision)))
	}
	m.traffic, m.dirty = v, true
	m.changeServices()
	m.changeTargets()
	for _, s := range m.services {
		m.dispatch(now, s)
	}
}

// changeServices keeps the queues of services that stay and refuses what
// waits for services that are gone.
func (m *Machine) changeServices() {
	next := make(map[model.ServiceName]*service)
	if c := m.traffic.Config; c != nil {
		m.budget.share = c.Limits.RetryShare
		for _, spec := range c.Services {
			s := m.services[spec.Name]
			if s == nil {
				s = &service{queue: newFairQueue(queueLimit(spec))}
			}
			s.Service = spec
			next[spec.Name] = s
		}
	}
	for name, s := range m.services {
		if next[name] == nil {
			m.refuseAll(s)
		}
	}
	m.services = next
}

// changeTargets follows joins, restarts and departures. A target of a newer
// generation is a new target; requests in flight to the old one end by themselves.
func (m *Machine) changeTargets() {
	next := make(map[model.TargetID]*target, m.traffic.Targets.Len())
	for _, s := range m.services {
		s.targets = nil
	}
	for id, spec := range m.traffic.Targets.All() {
		t := m.targets[id]
		if t == nil || t.Generation != spec.Generation {
			t = &target{}
		}
		t.Target = spec
		next[id] = t
		if s := m.services[spec.Service]; s != nil && m.eligible(s, spec) {
			s.targets = append(s.targets, t)
		}
	}
	m.targets = next
}

// eligible reports whether a target may get new work: it is ready and its
// instance is in service in the pool of the service.
func (m *Machine) eligible(s *service, t model.Target) bool {
	i, ok := m.traffic.Instances.Get(t.Instance)
	return ok && t.Phase == model.TargetReady && i.Available() && i.Pool == s.Pool
}
