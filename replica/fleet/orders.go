package fleet

import (
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/event"
	"lacewingturn.example/replica"
)

// addOrder adds an order. It is recorded in the log at the end of the pass and sent
// to the platform after that.
func (m *Machine) addOrder(now time.Time, id model.InstanceID, order *activeOrder) {
	order.startedAt, order.inCall, order.worker = now, true, m.workers[id]
	m.orders[id] = order
	m.unrecordedOrders = append(m.unrecordedOrders, id)
}

// recordOrders records the new orders in the log, so that later leaders know of them.
// They are sent to the platform once that is committed.
func (m *Machine) recordOrders() {
	if len(m.unrecordedOrders) == 0 {
		return
	}
	ids, term := m.unrecordedOrders, m.term
	m.unrecordedOrders = nil
	go func() {
		r := m.propose(model.RecordOrders{Instances: ids})
		// The loop has ended if the message cannot be sent.
		_ = m.port.Send(m.ctx, ordersRecorded{term, ids, r})
	}()
}

// propose commits a command and waits for its result.
func (m *Machine) propose(c model.Command) result.Result {
	results, err := m.replica.Propose(m.ctx, []model.Envelope{{Command: c}})
	if err != nil {
		return result.New(result.Internal, "%v", err)
	}
	return results[0]
}

// finishRecordOrders sends the recorded orders to the platform. It drops them if they
// were not committed or this replica may not lead any more.
func (m *Machine) finishRecordOrders(now time.Time, msg ordersRecorded) {
	for _, id := range msg.ids {
		order := m.orders[id]
		if order == nil {
			continue
		}
		if !msg.result.Code.OK() || !replica.IsConfirmedLeader(m.replica.View(), m.detector, now) {
			delete(m.orders, id)
			continue
		}
		m.sendOrder(id, order)
	}
}

// mayOrder reports whether this leader may give orders for the instance:
// OrderHandoverDelay since the last order of an earlier leader is over.
func (m *Machine) mayOrder(now time.Time, s model.State, id model.InstanceID) bool {
	last, ok := s.Orders.Get(id)
	return !ok || last.Term == m.term || max(model.TimestampOf(now), s.Clock).Sub(last.At) > m.settings.OrderHandoverDelay+handoverMargin
}

// minAge returns the time that has certainly passed since an order of an earlier leader.
// Since this replica leads it is measured by its steady clock; before, it is the difference
// of two times in the log, which may come from two clocks.
func (m *Machine) minAge(now time.Time, order model.InstanceOrder) time.Duration {
	before := m.ledSinceClock.Sub(order.At) - clockTolerance
	return now.Sub(m.ledSince) + max(0, before)
}

// sendOrder calls the platform on a goroutine of its own, which posts the result to
// the loop.
func (m *Machine) sendOrder(id model.InstanceID, order *activeOrder) {
	order.inCall = true
	term := m.term
	go func() {
		var err error
		if order.upkeep != 0 {
			err = m.platform.Maintain(m.ctx, id, order.upkeep, term)
		} else {
			err = m.platform.Move(m.ctx, id, order.to, term)
		}
		// The loop has ended if the message cannot be sent.
		_ = m.port.Send(m.ctx, orderResult{term, id, err})
	}()
}

// upkeepOrder returns an order for upkeep. Nothing but the log and the unanswered calls of this
// leader shows whether the upkeep may have begun: the worker that comes after it does not say so,
// and the platform confirms a repeated order like the first one.
func (m *Machine) upkeepOrder(s model.State, id model.InstanceID, u model.Upkeep) *activeOrder {
	last, ok := s.Orders.Get(id)
	byEarlierLeader := ok && last.Term != m.term && last.At >= u.OrderedAt
	return &activeOrder{upkeep: u.Number, mayHaveBegun: byEarlierLeader || m.mayHaveBegun[id] == u.Number}
}

// finishOrder handles the platform's answer to an order. A refused order is dropped,
// to be decided again; after any other error its outcome is unknown and it is
// repeated. A confirmation ends the worker of the order unless the upkeep may have begun
// before the order: the reports then show whether the worker goes on or another one comes.
func (m *Machine) finishOrder(now time.Time, msg orderResult) {
	order := m.orders[msg.id]
	if order == nil {
		return
	}
	order.inCall = false
	fields := []zap.Field{zap.String("id", string(msg.id)), zap.Int64("upkeep", int64(order.upkeep)), zap.String("from", string(order.from)), zap.String("to", string(order.to)), zap.Uint64("token", uint64(m.term)),
		zap.String("worker", string(order.worker)), zap.Bool("may_have_begun", order.mayHaveBegun)}
	if msg.err == nil {
		event.InstanceOrdered.Log(m.settings.Logger, fields...)
		order.confirmedAt, order.retryAt = now, time.Time{}
		if !order.mayHaveBegun {
			m.scheduler.MarkWorkerEnded(now, order.worker)
		}
		if order.upkeep != 0 {
			m.recordUpkeep(msg.id, order)
			return
		}
		l := m.listed[msg.id]
		l.ID, l.Pool, l.reportedAt = msg.id, order.to, now
		m.listed[msg.id] = l
		return
	}
	event.InstanceOrderFailed.Log(m.settings.Logger, append(fields, zap.Error(msg.err))...)
	if refused, ok := msg.err.(RefusedError); ok {
		delete(m.orders, msg.id)
		if order.upkeep != 0 && (order.unanswered || order.mayHaveBegun) {
			m.mayHaveBegun[msg.id] = order.upkeep
		}
		m.pausedUntil[msg.id] = now.Add(orderRetry)
		if refused.UnknownInstance && order.upkeep != 0 {
			m.recordUpkeep(msg.id, order) // an instance that the platform has removed needs no upkeep
		}
		m.nextListAt = now
		return
	}
	order.retryAt, order.unanswered = now.Add(orderRetry), true
}

// recordUpkeep records in the log that the upkeep of an instance has begun.
func (m *Machine) recordUpkeep(id model.InstanceID, order *activeOrder) {
	term := m.term
	command := model.BeginUpkeep{Number: order.upkeep, Instance: id}
	go func() { _ = m.port.Send(m.ctx, upkeepRecorded{term, id, m.propose(command)}) }()
}

// retryOrders repeats unconfirmed orders. For a confirmed order whose begin of the
// upkeep is not recorded it calls recordUpkeep again once UpkeepTime has passed since
// the decision.
func (m *Machine) retryOrders(now time.Time) {
	for id, order := range m.orders {
		switch {
		case order.inCall:
		case order.confirmedAt.IsZero():
			if !order.retryAt.IsZero() && !now.Before(order.retryAt) {
				m.sendOrder(id, order)
			}
		case order.upkeep != 0 && !order.recorded:
			if now.Sub(order.confirmedAt) > orderRetry && now.Sub(order.startedAt) > m.settings.UpkeepTime {
				m.recordUpkeep(id, order)
			}
		}
	}
}
