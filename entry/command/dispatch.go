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

// planEvery bounds how often the demand of a service is spread over its targets.
const planEvery = 5 * time.Millisecond

// dispatch starts what the queue chooses on the slots that may be used now.
func (m *Machine) dispatch(now time.Time, s *service) {
	s.again = time.Time{}
	if s.queued > 0 {
		d := s.queue.Next(now, s.free(now))
		s.again = d.Again
		for _, item := range d.Expired {
			r := m.requests[uint64(item.ID)]
			s.dequeued(r)
			r.reply <- refusalExpired
			m.forget(now, r)
		}
		for _, item := range d.Start {
			m.send(now, s, m.requests[uint64(item.ID)])
		}
	}
	if s.queued > 0 || s.wanting {
		s.replanAt = s.planned.Add(planEvery)
		m.replan = true
	}
}

// send gives a request its slot.
func (m *Machine) send(now time.Time, s *service, r *request) {
	s.dequeued(r)
	t := s.choose(now, r.avoid)
	t.account.Use()
	t.active++
	r.target, r.slot = t, m.slotName(r.id)
	m.metrics.wait.WithLabelValues(string(s.Name)).Observe(now.Sub(r.queuedAt).Seconds())
	d := t.destination()
	d.slot = r.slot
	r.reply <- decision{code: result.OK, target: d}
}

// slotName names the use of a slot by entry instance, life and request.
func (m *Machine) slotName(id uint64) string {
	b := make([]byte, 0, 48)
	b = append(append(b, m.id...), '.')
	b = append(strconv.AppendUint(b, m.self.Epoch, 10), '.')
	return string(strconv.AppendUint(b, id, 10))
}

// choose returns the target with the least load for its health; avoid is chosen
// only if no other has a usable slot.
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

// plan spreads the demand of services whose queue has changed. Slots that the
// queue holds back are not enough for it, so the demand is all that is queued.
func (m *Machine) plan(now time.Time) {
	if !m.replan {
		return
	}
	m.replan = false
	for _, s := range m.services {
		switch {
		case s.replanAt.IsZero():
			continue
		case now.Before(s.replanAt) && s.wanting:
			m.replan = true
			continue
		}
		s.replanAt, s.planned = time.Time{}, now
		s.next++
		credit.Want(s.accounts, m.slotLimit(), s.queued, s.next)
		s.wanting = s.queued > 0
		m.rearm = true
	}
}

func (m *Machine) slotLimit() int {
	if c := m.traffic.Config; c != nil && c.Limits.SlotsPerTarget > 0 {
		return c.Limits.SlotsPerTarget
	}
	return defaultSlots
}

// takeCheck passes the result of a check on to the health of the target.
func (m *Machine) takeCheck(now time.Time, c checked) {
	t := m.targets[c.target.id]
	if t == nil || t.Generation != c.target.generation {
		return
	}
	if s := m.services[t.Service]; s != nil {
		m.act(t, s.health.Checked(now, t.health, c.answered))
		m.dispatch(now, s)
	}
}

// act does what the health of a target asks for.
func (m *Machine) act(t *target, a health.Action) {
	switch a {
	case health.Check:
		m.effects.check(t.destination())
	case health.Replace:
		event.ConnectionReplaced.Log(m.log, zap.String("target", string(t.ID)))
		m.effects.replace(t.destination())
	case health.Eject:
		_, reason := t.health.State(time.Time{})
		event.TargetEjected.Log(m.log, zap.String("target", string(t.ID)), zap.String("reason", string(reason)))
		m.effects.replace(t.destination())
		m.dirty = true
	}
}

// retryBudget bounds retries to a share of requests.
type retryBudget struct {
	share  float64
	tokens float64
	// advance is what the first requests still have to earn.
	advance float64
}

// newRetryBudget starts with the tokens of the first requests in advance, or
// the first failures of a small site could not be retried.
func newRetryBudget() retryBudget {
	return retryBudget{tokens: maxRetryTokens, advance: maxRetryTokens}
}

// maxRetryTokens bounds what a quiet time can save up, so that a burst of
// failures causes at most this many retries above the share.
const maxRetryTokens = 10

func (b *retryBudget) earn() {
	if b.advance > 0 {
		b.advance -= b.share
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
