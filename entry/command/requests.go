package command

import (
	"fmt"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// defaultQueueLimit applies to a service without a limit of its own.
const defaultQueueLimit = 64

// overloadRetry is the least time after which an overloaded caller may retry.
const overloadRetry = time.Second

func queueLimit(s model.Service) int {
	if s.QueueLimit > 0 {
		return s.QueueLimit
	}
	return defaultQueueLimit
}

// arrive queues a request or refuses it at once.
func (m *Machine) arrive(now time.Time, a arrival) {
	s := m.services[a.service]
	switch {
	case m.drained != nil:
		refuse(a, result.Stopping, "the instance is shutting down", overloadRetry)
		return
	case s == nil:
		refuse(a, result.ServiceUnknown, fmt.Sprintf("there is no service %q", a.service), 0)
		return
	case a.retry && !m.budget.take():
		refuse(a, result.RetryBudget, "the retry budget is used up", overloadRetry)
		return
	case len(s.targets) == 0:
		refuse(a, result.NoTarget, fmt.Sprintf("service %q has no target", a.service), overloadRetry)
		return
	}
	if !a.retry {
		m.budget.earn()
	}
	if !s.queue.Arrive(now, waiting{id: a.id, caller: a.caller, deadline: a.deadline, arrived: now}) {
		refuse(a, result.Overloaded, fmt.Sprintf("%d requests of caller %q are queued for service %q, the limit", queueLimit(s.Service), a.caller, a.service), overloadRetry)
		return
	}
	m.requests[a.id] = &request{arrival: a, queuedAt: now}
	m.dispatch(now, s)
}

func refuse(a arrival, code result.Code, detail string, retryAfter time.Duration) {
	a.reply <- decision{code: code, detail: detail, retryAfter: retryAfter}
}

// refuseAll empties the queue of a service that is no longer configured.
func (m *Machine) refuseAll(s *service) {
	for w, ok := s.queue.Next(time.Time{}); ok; w, ok = s.queue.Next(time.Time{}) {
		r := m.requests[w.id]
		m.forget(r)
		refuse(r.arrival, result.ServiceUnknown, "the service was removed from the configuration", 0)
	}
}

// cancel withdraws a queued request. A request in flight ends by its completion.
func (m *Machine) cancel(id uint64) {
	r := m.requests[id]
	if r == nil || r.target != nil {
		return
	}
	if s := m.services[r.service]; s != nil {
		s.queue.Cancel(id)
	}
	m.forget(r)
	refuse(r.arrival, result.CallerGone, "withdrawn before it was sent", 0)
}

// complete frees the slot of a request and hands it to the next one.
func (m *Machine) complete(now time.Time, c completion) {
	r := m.requests[c.id]
	if r == nil || r.target == nil {
		return
	}
	m.forget(r)
	r.target.inUse--
	if s := m.services[r.service]; s != nil {
		s.queue.Complete(now, c.id, c.sample.run)
		m.dispatch(now, s)
	}
}

func (m *Machine) forget(r *request) {
	delete(m.requests, r.id)
	m.endDrain()
}

func (m *Machine) endDrain() {
	if m.drained != nil && len(m.requests) == 0 {
		close(m.drained)
		m.drained = nil
	}
}
