package fleet

import (
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/event"
	"lacewingturn.example/replica"
)

// begin notes an order that is announced and given at the end of the look.
func (m *Machine) begin(now time.Time, id model.InstanceID, t *trip) {
	t.began, t.calling, t.worker = now, true, m.workers[id]
	m.trips[id] = t
	m.fresh = append(m.fresh, id)
}

// announce records the new orders in the log. They are given once that is committed.
func (m *Machine) announce() {
	if len(m.fresh) == 0 {
		return
	}
	ids, term := m.fresh, m.term
	m.fresh = nil
	go func() {
		r := m.propose(model.RecordOrders{Instances: ids})
		// The loop has ended if the message cannot be sent.
		_ = m.port.Send(m.ctx, announced{term, ids, r})
	}()
}

func (m *Machine) propose(c model.Command) result.Result {
	results, err := m.replica.Propose(m.ctx, []model.Envelope{{Command: c}})
	if err != nil {
		return result.New(result.Internal, "%v", err)
	}
	return results[0]
}

func (m *Machine) finishAnnouncement(now time.Time, msg announced) {
	for _, id := range msg.ids {
		t := m.trips[id]
		if t == nil {
			continue
		}
		if !msg.result.Code.OK() || !replica.Leads(m.replica.View(), m.guard, now) {
			delete(m.trips, id)
			continue
		}
		m.call(id, t)
	}
}

// mayOrder reports whether the platform's pause since an order of an earlier
// leader for the instance is over.
func (m *Machine) mayOrder(now time.Time, s model.State, id model.InstanceID) bool {
	last, ok := s.Orders.Get(id)
	return !ok || last.Term == m.term || max(model.At(now), s.Clock).Sub(last.At) > m.settings.DutyPause+dutyMargin
}

func (m *Machine) call(id model.InstanceID, t *trip) {
	t.calling = true
	term := m.term
	go func() {
		var err error
		if t.upkeep != 0 {
			err = m.platform.Maintain(m.ctx, id, t.upkeep, term)
		} else {
			err = m.platform.Move(m.ctx, id, t.to, term)
		}
		// The loop has ended if the message cannot be sent.
		_ = m.port.Send(m.ctx, ordered{term, id, err})
	}()
}

// finishOrder takes the platform's answer to an order.
func (m *Machine) finishOrder(now time.Time, msg ordered) {
	t := m.trips[msg.id]
	if t == nil {
		return
	}
	t.calling = false
	fields := []zap.Field{zap.String("id", string(msg.id)), zap.Int64("upkeep", int64(t.upkeep)), zap.String("from", string(t.from)), zap.String("to", string(t.to)), zap.Uint64("token", uint64(m.term))}
	if msg.err == nil {
		event.InstanceOrdered.Log(m.settings.Logger, fields...)
		t.confirmed, t.retryAt = now, time.Time{}
		m.scheduler.WorkerEnded(now, t.worker)
		if t.upkeep != 0 {
			m.record(msg.id, t)
			return
		}
		l := m.listed[msg.id]
		l.ID, l.Pool, l.at = msg.id, t.to, now
		m.listed[msg.id] = l
		return
	}
	event.InstanceOrderFailed.Log(m.settings.Logger, append(fields, zap.Error(msg.err))...)
	if refused, ok := msg.err.(Refused); ok {
		delete(m.trips, msg.id)
		m.paused[msg.id] = now.Add(orderRetry)
		if refused.Unknown && t.upkeep != 0 {
			m.record(msg.id, t) // an instance that is gone needs no upkeep
		}
		m.listAt = now
		return
	}
	t.retryAt = now.Add(orderRetry)
}

// record writes to the log that an upkeep has begun.
func (m *Machine) record(id model.InstanceID, t *trip) {
	term := m.term
	command := model.BeginUpkeep{Number: t.upkeep, Instance: id}
	go func() { _ = m.port.Send(m.ctx, recorded{term, id, m.propose(command)}) }()
}

// repeatOrders repeats orders that were not confirmed, and records of upkeep that failed.
func (m *Machine) repeatOrders(now time.Time) {
	for id, t := range m.trips {
		switch {
		case t.calling:
		case t.confirmed.IsZero():
			if !t.retryAt.IsZero() && !now.Before(t.retryAt) {
				m.call(id, t)
			}
		case t.upkeep != 0 && !t.recorded:
			if now.Sub(t.confirmed) > orderRetry && now.Sub(t.began) > m.settings.UpkeepTime {
				m.record(id, t)
			}
		}
	}
}
