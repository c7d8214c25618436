package command

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/command/credit"
	"lacewingturn.example/core/command/health"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/event"
)

// planInterval is the shortest time between two distributions of a service's
// demand over its targets.
const planInterval = 5 * time.Millisecond

// dispatch starts the requests that the queue selects for the slots that are
// usable now, and refuses those whose deadline has passed.
func (m *Machine) dispatch(now time.Time, s *service) {
	s.dispatchAt = time.Time{}
	if s.queued > 0 {
		d := s.queue.Next(now, s.free(now))
		s.dispatchAt = d.NextCall
		for _, item := range d.Expired {
			r := m.requests[uint64(item.ID)]
			s.countDequeued(r)
			r.reply <- refusalExpired
			m.removeRequest(now, r)
		}
		for _, item := range d.Start {
			m.send(now, s, m.requests[uint64(item.ID)])
		}
	}
	if s.queued > 0 || s.hasDemand {
		s.replanAt = s.plannedAt.Add(planInterval)
		m.replan = true
	}
}

// send assigns a slot to a request and returns the target to its goroutine.
func (m *Machine) send(now time.Time, s *service, r *request) {
	s.countDequeued(r)
	t := s.choose(now, r.avoid)
	t.account.Use()
	t.active++
	r.target, r.slot = t, m.slotName(r.id)
	m.metrics.wait.WithLabelValues(string(s.Name)).Observe(now.Sub(r.queuedAt).Seconds())
	d := t.destination()
	d.slot = r.slot
	r.reply <- decision{code: result.OK, target: d}
}

// slotName returns the identifier of a slot in use: entry instance, epoch and
// request number, separated by dots.
func (m *Machine) slotName(id uint64) string {
	b := make([]byte, 0, 48)
	b = append(append(b, m.id...), '.')
	b = append(strconv.AppendUint(b, m.self.Epoch, 10), '.')
	return string(strconv.AppendUint(b, id, 10))
}

// choose returns the target with the lowest load, weighted by its health. It starts
// at a different target each time, so that targets of equal load take turns. It
// returns avoid only if no other target has a usable slot.
func (s *service) choose(now time.Time, avoid model.TargetID) *target {
	var best, last *target
	var least float64
	s.next++
	for i := range s.targets {
		t := s.targets[(i+s.next)%len(s.targets)]
		if t.usable(now) == 0 {
			continue
		}
		if t.ID == avoid {
			last = t
			continue
		}
		if load := float64(t.account.InUse()+1) * t.health.Penalty(now); best == nil || load < least {
			best, least = t, load
		}
	}
	if best == nil {
		return last
	}
	return best
}

// plan distributes the demand of services whose queue has changed over their
// targets. The demand of a service is its whole queue length. Free slots that the
// queue keeps in reserve are not subtracted, because they do not suffice for the
// queued requests.
func (m *Machine) plan(now time.Time) {
	if !m.replan {
		return
	}
	m.replan = false
	for _, s := range m.services {
		switch {
		case s.replanAt.IsZero():
			continue
		case now.Before(s.replanAt) && s.hasDemand:
			m.replan = true
			continue
		}
		s.replanAt, s.plannedAt = time.Time{}, now
		s.next++
		credit.SpreadDemand(s.accounts, m.slotLimit(), s.queued, s.next)
		s.hasDemand = s.queued > 0
		m.syncNeeded = true
	}
}

func (m *Machine) slotLimit() int {
	if c := m.traffic.Config; c != nil && c.Limits.SlotsPerTarget > 0 {
		return c.Limits.SlotsPerTarget
	}
	return defaultSlots
}

// handleCheck applies the result of a health check.
func (m *Machine) handleCheck(now time.Time, c checkResult) {
	t := m.targets[c.target.id]
	if t == nil || t.Generation != c.target.generation {
		return
	}
	if s := m.services[t.Service]; s != nil {
		m.applyHealthAction(t, s.health.RecordCheck(now, t.health, c.responded))
		m.dispatch(now, s)
	}
}

// applyHealthAction carries out what the health state of a target requires.
func (m *Machine) applyHealthAction(t *target, a health.Action) {
	switch a {
	case health.Check:
		m.effects.check(t.destination())
	case health.Replace:
		event.ConnectionReplaced.Log(m.log, zap.String("target", string(t.ID)))
		m.effects.replaceConnections(t.destination())
	case health.Eject:
		_, reason := t.health.State(time.Time{})
		event.TargetEjected.Log(m.log, zap.String("target", string(t.ID)), zap.String("reason", string(reason)))
		m.effects.replaceConnections(t.destination())
		m.dirty = true
	}
}

// retryBudget bounds retries to a share of requests.
type retryBudget struct {
	share  float64
	tokens float64
	// unearned is the part of the initial tokens that requests have not earned yet.
	unearned float64
}

// newRetryBudget returns a budget that starts full; the first requests earn back
// the initial tokens. Without initial tokens, the first failures of a small site
// could not be retried.
func newRetryBudget() retryBudget {
	return retryBudget{tokens: maxRetryTokens, unearned: maxRetryTokens}
}

// maxRetryTokens caps the tokens that accumulate while few retries happen, so
// that a burst of failures causes at most this many retries above the share.
const maxRetryTokens = 10

func (b *retryBudget) earn() {
	if b.unearned > 0 {
		b.unearned -= b.share
		return
	}
	b.tokens = min(b.tokens+b.share, maxRetryTokens)
}

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
