package command

import (
	"fmt"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// dispatch sends waiting requests while a target has a free slot.
func (m *Machine) dispatch(now time.Time, s *service) {
	for s.queue.Len() > 0 {
		if m.choose(s, "") == nil {
			return
		}
		w, ok := s.queue.Next(now)
		if !ok {
			return
		}
		m.send(now, s, m.requests[w.id])
	}
}

// send gives a request its slot, unless its deadline has passed.
func (m *Machine) send(now time.Time, s *service, r *request) {
	if !now.Before(r.deadline) {
		m.forget(r)
		refuse(r.arrival, result.Deadline, "the deadline passed in the queue", 0)
		return
	}
	t := m.choose(s, r.avoid)
	t.inUse++
	r.target, r.sentAt = t, now
	m.metrics.wait.WithLabelValues(string(s.Name)).Observe(now.Sub(r.queuedAt).Seconds())
	r.reply <- decision{code: result.OK, target: destination{
		id: t.ID, generation: t.Generation, address: t.Address,
		slot: fmt.Sprintf("%s.%d.%d", m.id, m.epoch, r.id),
	}}
}

// choose returns the least used target with a free slot; avoid is chosen only
// if there is no other. It returns nil if there is no free slot.
func (m *Machine) choose(s *service, avoid model.TargetID) *target {
	var best, last *target
	s.next++
	for i := range s.targets {
		t := s.targets[(i+s.next)%len(s.targets)]
		switch {
		case t.inUse >= t.Slots:
		case t.ID == avoid:
			last = t
		case best == nil || t.inUse < best.inUse:
			best = t
		}
	}
	if best == nil {
		return last
	}
	return best
}

// retryBudget bounds retries to a share of requests.
type retryBudget struct {
	share  float64
	tokens float64
}

// maxRetryTokens bounds what a quiet time can save up, so that a burst of
// failures causes at most this many retries above the share.
const maxRetryTokens = 10

func (b *retryBudget) earn() { b.tokens = min(b.tokens+b.share, maxRetryTokens) }

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
