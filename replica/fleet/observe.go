package fleet

import (
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
)

// list reads the platform's list of instances on a goroutine of its own, which posts
// the result to the loop.
func (m *Machine) list(now time.Time) {
	m.listing, m.listCalledAt = true, now
	term := m.term
	go func() {
		list, err := m.platform.Instances(m.ctx)
		// The loop has ended if the message cannot be sent.
		_ = m.port.Send(m.ctx, listResult{term, list, err})
	}()
}

// finishList replaces the known instances by the list, except those whose move was
// confirmed after the reading had started. If entries could not be read, instances that
// are missing from the list are kept, and none of them counts as removed.
func (m *Machine) finishList(now time.Time, msg listResult) {
	m.listing = false
	if msg.err != nil {
		event.InstanceListUnreadable.Log(m.settings.Logger, zap.Error(msg.err))
		m.nextListAt = now.Add(listRetry)
		return
	}
	m.nextListAt = now.Add(listInterval)
	before := m.listed
	m.listed = make(map[model.InstanceID]knownInstance, len(msg.list.Instances))
	for _, l := range msg.list.Instances {
		m.listed[l.ID] = knownInstance{l, m.listCalledAt}
		if old := before[l.ID]; old.reportedAt.After(m.listCalledAt) {
			m.listed[l.ID] = old // moved while the list was read
		}
	}
	if msg.list.Skipped == 0 {
		m.recordRemoved(now)
		return
	}
	event.InstanceEntriesSkipped.Log(m.settings.Logger, zap.Int("entries", msg.list.Skipped), zap.Error(msg.list.SkipReason))
	for id, old := range before {
		if _, ok := m.listed[id]; !ok {
			m.listed[id] = old
		}
	}
}

// recordRemoved records the upkeep of instances as begun if the platform does not
// list them and their workers do not report: they need no upkeep any more.
func (m *Machine) recordRemoved(now time.Time) {
	present := map[model.InstanceID]bool{}
	for id := range m.listed {
		present[id] = true
	}
	for _, o := range m.scheduler.Observe(now) {
		present[o.ID] = present[o.ID] || !o.Unavailable
	}
	for number, u := range m.replica.View().State.Upkeeps.All() {
		for _, i := range u.Instances {
			if !present[i.ID] && !i.Begun && m.orders[i.ID] == nil {
				event.InstanceGone.Log(m.settings.Logger, zap.String("id", string(i.ID)), zap.Int64("upkeep", int64(number)))
				m.recordUpkeep(i.ID, &activeOrder{upkeep: number})
			}
		}
	}
}

// observe combines the reports of workers with the platform's list, and removes the
// orders of instances that are back.
func (m *Machine) observe(now time.Time) []model.WorkerObservation {
	catalog := m.replica.View().State.Catalog
	out := m.scheduler.Observe(now)
	m.workers = make(map[model.InstanceID]model.WorkerID, len(out))
	for _, o := range out {
		m.workers[o.ID] = o.Worker
	}
	reporting := map[model.InstanceID]bool{}
	kept := out[:0]
	for _, o := range out {
		if o.Unavailable && m.listedOff(catalog, o.ID, now.Add(-o.SinceLastReport)) {
			continue
		}
		reporting[o.ID] = true
		kept = append(kept, o)
	}
	for id, l := range m.listed {
		if reporting[id] {
			continue
		}
		pool, _ := catalog.Pool(l.Pool)
		kept = append(kept, model.WorkerObservation{
			ID: id, Pool: l.Pool, Off: pool.Standby, Unavailable: l.Down || !pool.Standby, Capacity: l.Capacity, NoUnassignedRuns: true,
		})
	}
	m.endOrders(now, kept)
	state := m.replica.View().State
	for i := range kept {
		kept[i].OrdersBlocked = now.Before(m.pausedUntil[kept[i].ID]) || !m.mayOrder(now, state, kept[i].ID)
	}
	return kept
}

// mostReported reports whether the workers of nearly all instances that the platform
// lists as powered on have reported to this leader.
func (m *Machine) mostReported(instances []model.WorkerObservation) bool {
	on, unavailable := 0, 0
	for _, o := range instances {
		if o.Off || m.listed[o.ID].Down {
			continue
		}
		on++
		if o.Unavailable {
			unavailable++
		}
	}
	return len(m.listed) > 0 && float64(unavailable) <= unreportedShare*float64(on)
}

// listedOff reports whether the platform has listed the instance in a standby pool
// after the last report of its worker.
func (m *Machine) listedOff(c *model.Catalog, id model.InstanceID, lastReport time.Time) bool {
	l := m.listed[id]
	pool, _ := c.Pool(l.Pool)
	return pool.Standby && l.reportedAt.After(lastReport)
}

// endOrders removes the confirmed orders whose MoveTime or UpkeepTime is over, once the
// worker of the instance reports again or the instance is powered off, and at the
// latest after a further returnSlack. An order for upkeep stays until the log says that
// the upkeep has begun.
func (m *Machine) endOrders(now time.Time, instances []model.WorkerObservation) {
	for _, o := range instances {
		order := m.orders[o.ID]
		if order == nil || order.confirmedAt.IsZero() || order.upkeep != 0 && !order.recorded {
			continue
		}
		duration := m.settings.MoveTime
		if order.upkeep != 0 {
			duration = m.settings.UpkeepTime
		}
		since := now.Sub(order.confirmedAt)
		if since > duration && (o.Off || !o.Unavailable) || since > duration+returnSlack {
			delete(m.orders, o.ID)
			delete(m.idleSince, o.ID)
		}
	}
}
