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
func (m *Machine) addOrder(now time.Time, id model.InstanceID, t *activeOrder) {
	t.startedAt, t.inCall, t.worker = now, true, m.workers[id]
	m.orders[id] = t
	m.unannounced = append(m.unannounced, id)
}

// announce records the new orders in the log. They are given once that is committed.
func (m *Machine) announce() {
	if len(m.unannounced) == 0 {
		return
	}
	ids, term := m.unannounced, m.term
	m.unannounced = nil
	go func() {
		r := m.propose(model.RecordOrders{Instances: ids})
		// The loop has ended if the message cannot be sent.
		_ = m.port.Send(m.ctx, announcementResult{term, ids, r})
	}()
}

func (m *Machine) propose(c model.Command) result.Result {
	results, err := m.replica.Propose(m.ctx, []model.Envelope{{Command: c}})
	if err != nil {
		return result.New(result.Internal, "%v", err)
	}
	return results[0]
}

func (m *Machine) finishAnnouncement(now time.Time, msg announcementResult) {
	for _, id := range msg.ids {
		t := m.orders[id]
		if t == nil {
			continue
		}
		if !msg.result.Code.OK() || !replica.Leads(m.replica.View(), m.guard, now) {
			delete(m.orders, id)
			continue
		}
		m.sendOrder(id, t)
	}
}

// mayOrder reports whether the platform's pause since an order of an earlier
// leader for the instance is over.
func (m *Machine) mayOrder(now time.Time, s model.State, id model.InstanceID) bool {
	last, ok := s.Orders.Get(id)
	return !ok || last.Term == m.term || max(model.At(now), s.Clock).Sub(last.At) > m.settings.DutyPause+dutyMargin
}

func (m *Machine) sendOrder(id model.InstanceID, t *activeOrder) {
	t.inCall = true
	term := m.term
	go func() {
		var err error
		if t.upkeep != 0 {
			err = m.platform.Maintain(m.ctx, id, t.upkeep, term)
		} else {
			err = m.platform.Move(m.ctx, id, t.to, term)
		}
		// The loop has ended if the message cannot be sent.
		_ = m.port.Send(m.ctx, orderResult{term, id, err})
	}()
}

// finishOrder takes the platform's answer to an order.
func (m *Machine) finishOrder(now time.Time, msg orderResult) {
	t := m.orders[msg.id]
	if t == nil {
		return
	}
	t.inCall = false
	fields := []zap.Field{zap.String("id", string(msg.id)), zap.Int64("upkeep", int64(t.upkeep)), zap.String("from", string(t.from)), zap.String("to", string(t.to)), zap.Uint64("token", uint64(m.term))}
	if msg.err == nil {
		event.InstanceOrdered.Log(m.settings.Logger, fields...)
		t.confirmedAt, t.retryAt = now, time.Time{}
		m.scheduler.WorkerEnded(now, t.worker)
		if t.upkeep != 0 {
			m.recordUpkeep(msg.id, t)
			return
		}
		l := m.listed[msg.id]
		l.ID, l.Pool, l.reportedAt = msg.id, t.to, now
		m.listed[msg.id] = l
		return
	}
	event.InstanceOrderFailed.Log(m.settings.Logger, append(fields, zap.Error(msg.err))...)
	if refused, ok := msg.err.(Refused); ok {
		delete(m.orders, msg.id)
		m.pausedUntil[msg.id] = now.Add(orderRetry)
		if refused.Unknown && t.upkeep != 0 {
			m.recordUpkeep(msg.id, t) // an instance that is gone needs no upkeep
		}
		m.nextListAt = now
		return
	}
	t.retryAt = now.Add(orderRetry)
}

// record writes to the log that an upkeep has begun.
func (m *Machine) recordUpkeep(id model.InstanceID, t *activeOrder) {
	term := m.term
	command := model.BeginUpkeep{Number: t.upkeep, Instance: id}
	go func() { _ = m.port.Send(m.ctx, upkeepRecorded{term, id, m.propose(command)}) }()
}

// repeatOrders repeats orders that were not confirmed, and records of upkeep that failed.
func (m *Machine) retryOrders(now time.Time) {
	for id, t := range m.orders {
		switch {
		case t.inCall:
		case t.confirmedAt.IsZero():
			if !t.retryAt.IsZero() && !now.Before(t.retryAt) {
				m.sendOrder(id, t)
			}
		case t.upkeep != 0 && !t.recorded:
			if now.Sub(t.confirmedAt) > orderRetry && now.Sub(t.startedAt) > m.settings.UpkeepTime {
				m.recordUpkeep(id, t)
			}
		}
	}
}
