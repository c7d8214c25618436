package command

import (
	"fmt"
	"time"

	"lacewingturn.example/core/command/dispatch"
	"lacewingturn.example/core/command/health"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/entry"
)

// defaultQueueLimit applies to a service without a limit of its own.
const defaultQueueLimit = 64

// overloadRetry is the least time after which a refused caller may retry.
const overloadRetry = time.Second

// Refusals of requests that were queued.
var (
	refusalStale   = decision{code: result.EntryStale, detail: "no contact to the control state, and the slot credits have expired", retryAfter: overloadRetry}
	refusalRemoved = decision{code: result.ServiceUnknown, detail: "the service was removed from the configuration"}
	refusalExpired = decision{code: result.Deadline, detail: "the deadline passed in the queue"}
)

// request is queued, or in flight to a target.
type request struct {
	arrival
	queuedAt time.Time
	target   *target // nil while queued
	slot     string
}

func queueLimit(s model.Service) int {
	if s.QueueLimit > 0 {
		return s.QueueLimit
	}
	return defaultQueueLimit
}

// arrive queues a request or refuses it at once.
func (m *Machine) arrive(now time.Time, a arrival) {
	s := m.services[a.service]
	if d, ok := m.admit(now, s, a); !ok {
		a.reply <- d
		return
	}
	if !a.retry {
		m.budget.earn()
	}
	s.queue.Arrive(now, dispatch.Item{ID: dispatch.ItemID(a.id), Caller: a.caller, Service: a.service, Deadline: a.deadline})
	s.queued++
	s.callers[a.caller]++
	m.requests[a.id] = &request{arrival: a, queuedAt: now}
	m.dispatch(now, s)
}

// admitClaim answers an admission.
func (m *Machine) admitClaim(now time.Time, a admission) {
	d, ok := m.admit(now, m.services[a.service], arrival{service: a.service, caller: a.caller})
	if ok {
		m.openClaims++
	}
	a.reply <- d
}

// admit reports whether a request may be queued, and if not, why.
func (m *Machine) admit(now time.Time, s *service, a arrival) (decision, bool) {
	switch {
	case m.drained != nil:
		return decision{code: result.Stopping, detail: "the instance is shutting down", retryAfter: overloadRetry}, false
	case s == nil:
		return decision{code: result.ServiceUnknown, detail: fmt.Sprintf("there is no service %q", a.service)}, false
	case len(s.targets) == 0:
		return decision{code: result.NoTarget, detail: fmt.Sprintf("service %q has no target", a.service), retryAfter: overloadRetry}, false
	case s.callers[a.caller] >= queueLimit(s.Service):
		detail := fmt.Sprintf("%d requests of caller %q are queued for service %q, the limit", queueLimit(s.Service), a.caller, a.service)
		return decision{code: result.Overloaded, detail: detail, retryAfter: overloadRetry}, false
	case m.stale(now) && s.free(now) == 0:
		return refusalStale, false
	case a.retry && !m.budget.take():
		return decision{code: result.RetryBudget, detail: "the retry budget is used up", retryAfter: overloadRetry}, false
	}
	return decision{}, true
}

// dequeued counts a request that left the queue.
func (s *service) dequeued(r *request) {
	s.queued--
	if s.callers[r.caller]--; s.callers[r.caller] == 0 {
		delete(s.callers, r.caller)
	}
}

// refuseQueued empties the queue of a service.
func (m *Machine) refuseQueued(now time.Time, s *service, d decision) {
	for _, r := range m.requests {
		if r.service == s.Name && r.target == nil {
			s.queue.Cancel(now, dispatch.ItemID(r.id))
			s.dequeued(r)
			r.reply <- d
			m.forget(now, r)
		}
	}
}

// cancel withdraws a queued request. A request in flight ends by its completion.
func (m *Machine) cancel(now time.Time, id uint64) {
	r := m.requests[id]
	if r == nil || r.target != nil {
		return
	}
	if s := m.services[r.service]; s != nil {
		s.queue.Cancel(now, dispatch.ItemID(id))
		s.dequeued(r)
	}
	m.forget(now, r)
	r.reply <- decision{code: result.CallerGone, detail: "withdrawn before it was sent"}
}

// complete ends a request: its slot goes to the next one, unless the target may
// still run it.
func (m *Machine) complete(now time.Time, c completion) {
	r := m.requests[c.id]
	if r == nil || r.target == nil {
		return
	}
	m.forget(now, r)
	t := r.target
	t.active--
	if c.sample.kind.abandoned() {
		t.account.Abandon(now, r.slot)
	} else {
		t.account.Free()
	}
	s := m.services[r.service]
	if s == nil {
		return
	}
	m.observe(now, s, t, c.sample)
	run := time.Duration(0)
	if c.sample.kind == sampleDone {
		run = c.sample.run
		if m.record != nil {
			m.record(entry.TrafficRecord{Number: r.id, Caller: r.caller, Service: r.service, Arrived: r.queuedAt, Deadline: r.deadline, Run: run})
		}
	}
	s.queue.Complete(now, dispatch.ItemID(c.id), run)
	m.dispatch(now, s)
}

var kinds = map[sampleKind]health.Kind{
	sampleDone: health.Done, sampleFailed: health.Failed, sampleRefused: health.Refused,
	sampleSilent: health.Silent, sampleTruncated: health.Broken,
}

// observe passes what a request taught to the health of its target.
func (m *Machine) observe(now time.Time, s *service, t *target, sm sample) {
	kind, ok := kinds[sm.kind]
	if !ok || m.targets[t.ID] != t {
		return
	}
	m.act(t, s.health.Observe(now, t.health, kind, sm.run))
}

func (m *Machine) forget(now time.Time, r *request) {
	delete(m.requests, r.id)
	m.endDrain(now)
}

// endDrain ends ownership once nothing is queued, in flight or unrecorded.
func (m *Machine) endDrain(now time.Time) {
	if m.drained == nil || len(m.requests) > 0 || m.openClaims > 0 {
		return
	}
	if !m.quit {
		m.quit = true
		m.drained <- m.owner.Quit(now)
	}
}
