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

// defaultQueueLimit is the number of queued requests of one caller that a service
// accepts if its configuration sets no limit.
const defaultQueueLimit = 64

// overloadRetry is the Retry-After that a refused caller gets.
const overloadRetry = time.Second

// Refusals of queued requests.
var (
	refusalStale   = decision{code: result.EntryStale, detail: "no contact to the control state, and the slot credits have expired", retryAfter: overloadRetry}
	refusalRemoved = decision{code: result.ServiceUnknown, detail: "the service was removed from the configuration"}
	refusalExpired = decision{code: result.Deadline, detail: "the deadline passed in the queue"}
)

// request is a request that is queued or in flight to a target.
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

// handleArrival queues a request or refuses it immediately.
func (m *Machine) handleArrival(now time.Time, a arrival) {
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

// admitClaim replies to an admission and counts it as open if it is granted.
func (m *Machine) admitClaim(now time.Time, a admission) {
	d, ok := m.admit(now, m.services[a.service], arrival{service: a.service, caller: a.caller})
	if ok {
		m.openClaims++
	}
	a.reply <- d
}

// admit reports whether a request may be queued; if not, the decision is the
// refusal.
func (m *Machine) admit(now time.Time, s *service, a arrival) (decision, bool) {
	switch {
	case m.drainDone != nil:
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

// countDequeued updates the queue counts after a request has left the queue.
func (s *service) countDequeued(r *request) {
	s.queued--
	if s.callers[r.caller]--; s.callers[r.caller] == 0 {
		delete(s.callers, r.caller)
	}
}

// refuseQueued refuses all queued requests of a service with the decision d.
func (m *Machine) refuseQueued(now time.Time, s *service, d decision) {
	for _, r := range m.requests {
		if r.service == s.Name && r.target == nil {
			s.queue.Cancel(now, dispatch.ItemID(r.id))
			s.countDequeued(r)
			r.reply <- d
			m.removeRequest(now, r)
		}
	}
}

// cancel removes a queued request. A request in flight ends with its completion.
func (m *Machine) cancel(now time.Time, id uint64) {
	r := m.requests[id]
	if r == nil || r.target != nil {
		return
	}
	if s := m.services[r.service]; s != nil {
		s.queue.Cancel(now, dispatch.ItemID(id))
		s.countDequeued(r)
	}
	m.removeRequest(now, r)
	r.reply <- decision{code: result.CallerDisconnected, detail: "withdrawn before it was sent"}
}

// complete ends a request in flight and dispatches the next one. If the target may
// still be running the request, its slot stays in use until the target reports
// otherwise.
func (m *Machine) complete(now time.Time, c completion) {
	r := m.requests[c.id]
	if r == nil || r.target == nil {
		return
	}
	m.removeRequest(now, r)
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

var requestOutcomes = map[sampleKind]health.RequestOutcome{
	sampleDone: health.Done, sampleFailed: health.Failed, sampleRefused: health.Refused,
	sampleSilent: health.Silent, sampleTruncated: health.Broken,
}

// observe updates the health of a target with the outcome of a request.
func (m *Machine) observe(now time.Time, s *service, t *target, sm sample) {
	kind, ok := requestOutcomes[sm.kind]
	if !ok || m.targets[t.ID] != t {
		return
	}
	m.applyHealthAction(t, s.health.RecordOutcome(now, t.health, kind, sm.run))
}

func (m *Machine) removeRequest(now time.Time, r *request) {
	delete(m.requests, r.id)
	m.endDrain(now)
}

// endDrain ends ownership of targets once a drain has begun and no request is
// queued, in flight or unrecorded.
func (m *Machine) endDrain(now time.Time) {
	if m.drainDone == nil || len(m.requests) > 0 || m.openClaims > 0 {
		return
	}
	if !m.ownershipEnded {
		m.ownershipEnded = true
		m.drainDone <- m.owner.EndLease(now)
	}
}
