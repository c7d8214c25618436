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

// service is one service of the configuration in force with its queue.
type service struct {
	model.Service
	queue    dispatch.Dispatcher
	queued   int
	callers  map[model.CallerID]int // queued requests
	targets  []*target              // that may get new work
	accounts []*credit.Account      // of the targets, in the same order
	health   health.Service
	next     int       // rotates the first target considered
	again    time.Time // when the queue wants to be asked again
	wanting  bool      // the holder has demand of this service
	replanAt time.Time // when demand may be set again, if it changed since; else zero
	planned  time.Time
}

// target is one life of an announced target as seen from this instance.
type target struct {
	model.Target
	account *credit.Account
	health  *health.Target
	active  int // requests sent by this instance and not ended
	allowed int // slots that the connections were last allowed for
	credit  *creditEnd
}

func (t *target) key() credit.Key { return credit.Key{Target: t.ID, Generation: t.Generation} }

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

// changeTraffic replaces the traffic view and what is derived from it.
func (m *Machine) changeTraffic(now time.Time, v corequery.Traffic) {
	if v.Revision != m.traffic.Revision {
		event.ConfigInForce.Log(m.log, zap.Uint64("revision", uint64(v.Revision)))
	}
	m.traffic, m.dirty, m.rearm = v, true, true
	m.renew(now)
	m.changeOwnership(now)
	m.changeServices(now)
	m.changeTargets()
	for _, s := range m.services {
		m.dispatch(now, s)
	}
}

// changeServices keeps the queues of services that stay and refuses what
// waits for services that are gone.
func (m *Machine) changeServices(now time.Time) {
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
		panic(err) // New has checked the policy
	}
	return q
}

// changeTargets follows joins, restarts and departures. A target of a newer
// generation is a new target; requests in flight to the old one end by themselves.
func (m *Machine) changeTargets() {
	next := make(map[model.TargetID]*target, m.traffic.Targets.Len())
	lanes := make(map[model.TargetID]destination, m.traffic.Targets.Len())
	for _, s := range m.services {
		s.targets, s.accounts = nil, nil
	}
	tracked := map[model.ServiceName][]*health.Target{}
	for id, spec := range m.traffic.Targets.All() {
		t := m.targets[id]
		if t == nil || t.Generation != spec.Generation {
			t = &target{health: health.NewTarget(id), credit: &creditEnd{}}
		}
		t.Target = spec
		t.account = m.holder.Account(t.key())
		if t.account == nil {
			continue
		}
		next[id], lanes[id] = t, t.destination()
		if s := m.services[spec.Service]; s != nil && m.eligible(s, spec) {
			s.targets, s.accounts = append(s.targets, t), append(s.accounts, t.account)
			tracked[s.Name] = append(tracked[s.Name], t.health)
		}
	}
	m.targets = next
	for name, s := range m.services {
		s.health.Set(tracked[name])
		s.planned = time.Time{}
	}
	m.effects.retain(lanes, m.traffic.Entries.Len())
}

// eligible reports whether a target may get new work: it is ready and its
// instance is in service in the pool of the service.
func (m *Machine) eligible(s *service, t model.Target) bool {
	i, ok := m.traffic.Instances.Get(t.Instance)
	return ok && t.Phase == model.TargetReady && i.Available() && i.Pool == s.Pool
}

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
