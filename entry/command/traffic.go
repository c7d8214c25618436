package command

import (
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/command/credit"
	"lacewingturn.example/core/command/dispatch"
	"lacewingturn.example/core/command/health"
	"lacewingturn.example/core/model"
	corequery "lacewingturn.example/core/query"
	"lacewingturn.example/entry/query"
	"lacewingturn.example/node/event"
)

// service is a service of the configuration in force, with its queue and targets.
type service struct {
	model.Service
	queue      dispatch.Dispatcher
	queued     int
	callers    map[model.CallerID]int // number of queued requests
	targets    []*target              // targets that may get new requests
	accounts   []*credit.Account      // accounts of the targets, in the same order
	health     health.Service
	next       int       // rotates the first target considered
	dispatchAt time.Time // when dispatch has to run next; zero if not due
	hasDemand  bool      // demand for this service is set at the holder
	replanAt   time.Time // when the demand may be distributed again; zero if it has not changed
	plannedAt  time.Time
}

// target is one generation of an announced target as this instance sees it.
type target struct {
	model.Target
	account         *credit.Account
	health          *health.Target
	active          int // requests of this instance in flight
	connectionSlots int // number of slots that the connection limit was last set from
	credit          *creditExpiry
}

func (t *target) key() credit.TargetIncarnation {
	return credit.TargetIncarnation{Target: t.ID, Generation: t.Generation}
}

func (t *target) destination() destination {
	return destination{id: t.ID, generation: t.Generation, address: t.Address, credit: t.credit}
}

// usable returns how many requests may be started on the target now.
func (t *target) usable(now time.Time) int {
	n := t.account.Usable(now)
	if limit := t.health.Limit(now); limit >= 0 {
		n = min(n, max(limit-t.active, 0))
	}
	return n
}

// free returns how many requests may be started on all targets now.
func (s *service) free(now time.Time) int {
	n := 0
	for _, t := range s.targets {
		n += t.usable(now)
	}
	return n
}

// updateTraffic replaces the traffic view and the state that is derived from it.
func (m *Machine) updateTraffic(now time.Time, v corequery.Traffic) {
	if v.Revision != m.traffic.Revision {
		event.ConfigInForce.Log(m.log, zap.Uint64("revision", uint64(v.Revision)))
	}
	m.traffic, m.dirty, m.syncNeeded = v, true, true
	m.renew(now)
	m.updateOwnership(now)
	m.updateServices(now)
	m.updateTargets()
	for _, s := range m.services {
		m.dispatch(now, s)
	}
}

// updateServices keeps the queues of services that remain configured and refuses
// the queued requests of services that were removed.
func (m *Machine) updateServices(now time.Time) {
	next := make(map[model.ServiceName]*service)
	if c := m.traffic.Config; c != nil {
		m.budget.share = c.Limits.RetryShare
		for _, spec := range c.Services {
			s := m.services[spec.Name]
			if s == nil {
				s = &service{queue: m.newQueue(), callers: map[model.CallerID]int{}}
			}
			s.Service = spec
			next[spec.Name] = s
		}
	}
	for name, s := range m.services {
		if next[name] == nil {
			m.refuseQueued(now, s, refusalRemoved)
		}
	}
	m.services = next
}

func (m *Machine) newQueue() dispatch.Dispatcher {
	q, err := dispatch.New(m.policy, dispatch.Options{Weights: m.traffic.Config.Weights})
	if err != nil {
		panic(err) // cannot happen: New validates the policy
	}
	return q
}

// updateTargets applies joins, restarts and removals of targets. A newer
// generation is a new target; requests in flight to the old one end with their
// completion.
func (m *Machine) updateTargets() {
	next := make(map[model.TargetID]*target, m.traffic.Targets.Len())
	destinations := make(map[model.TargetID]destination, m.traffic.Targets.Len())
	for _, s := range m.services {
		s.targets, s.accounts = nil, nil
	}
	tracked := map[model.ServiceName][]*health.Target{}
	for id, spec := range m.traffic.Targets.All() {
		t := m.targets[id]
		if t == nil || t.Generation != spec.Generation {
			t = &target{health: health.NewTarget(id), credit: &creditExpiry{}}
		}
		t.Target = spec
		t.account = m.holder.Account(t.key())
		if t.account == nil {
			continue
		}
		next[id], destinations[id] = t, t.destination()
		if s := m.services[spec.Service]; s != nil && m.eligible(s, spec) {
			s.targets, s.accounts = append(s.targets, t), append(s.accounts, t.account)
			tracked[s.Name] = append(tracked[s.Name], t.health)
		}
	}
	m.targets = next
	for name, s := range m.services {
		s.health.SetTargets(tracked[name])
		s.plannedAt = time.Time{}
	}
	m.effects.retain(destinations, m.traffic.Entries.Len())
}

// eligible reports whether a target may get new requests: it is ready, and its
// instance is available and in the pool of the service.
func (m *Machine) eligible(s *service, t model.Target) bool {
	i, ok := m.traffic.Instances.Get(t.Instance)
	return ok && t.Phase == model.TargetReady && i.Available() && i.Pool == s.Pool
}

// view returns the view to publish for traffic goroutines and queries.
func (m *Machine) view(now time.Time) *query.View {
	v := &query.View{
		Traffic: m.traffic, Services: make(map[model.ServiceName]model.Service, len(m.services)),
		Contact: m.contact, LeaseUntil: m.leaseUntil, Epoch: m.self.Epoch, Stopping: m.stopping,
		Queued: make(map[model.ServiceName]int, len(m.services)),
	}
	for name, s := range m.services {
		v.Services[name], v.Queued[name] = s.Service, s.queued
	}
	for id := range m.traffic.Targets.All() {
		if t, ok := m.targets[id]; ok {
			v.Targets = append(v.Targets, query.Target{
				ID: t.ID, Service: t.Service, Address: t.Address, Generation: t.Generation, Phase: t.Phase.String(),
				Health: stateOf(t.health, now), Granted: t.account.Granted(now), InUse: t.account.InUse(),
			})
		}
	}
	return v
}
