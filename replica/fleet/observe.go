package fleet

import (
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
)

// list reads the platform's list.
func (m *Machine) list(now time.Time) {
	m.listing, m.calledAt = true, now
	term := m.term
	go func() {
		list, err := m.platform.Instances(m.ctx)
		// The loop has ended if the message cannot be sent.
		_ = m.port.Send(m.ctx, listedAll{term, list, err})
	}()
}

func (m *Machine) finishList(now time.Time, msg listedAll) {
	m.listing = false
	if msg.err != nil {
		event.InstancesUnlisted.Log(m.settings.Logger, zap.Error(msg.err))
		m.listAt = now.Add(listRetry)
		return
	}
	m.listAt = now.Add(listInterval)
	before := m.listed
	m.listed = make(map[model.InstanceID]known, len(msg.list))
	for _, l := range msg.list {
		m.listed[l.ID] = known{l, m.calledAt}
		if old := before[l.ID]; old.at.After(m.calledAt) {
			m.listed[l.ID] = old // moved while the list was read
		}
	}
	m.dropGone(now)
}

// dropGone records that upkeep is not owed any more for instances that the
// platform does not list and whose workers are not heard of.
func (m *Machine) dropGone(now time.Time) {
	present := map[model.InstanceID]bool{}
	for id := range m.listed {
		present[id] = true
	}
	for _, o := range m.scheduler.Observe(now) {
		present[o.ID] = present[o.ID] || !o.Away
	}
	for number, u := range m.replica.View().State.Upkeeps.All() {
		for _, i := range u.Instances {
			if !present[i.ID] && !i.Begun && m.trips[i.ID] == nil {
				event.InstanceGone.Log(m.settings.Logger, zap.String("id", string(i.ID)), zap.Int64("upkeep", int64(number)))
				m.record(i.ID, &trip{upkeep: number})
			}
		}
	}
}

// observe joins what workers report with the platform's list, and ends the
// trips of instances that are back.
func (m *Machine) observe(now time.Time) []model.ObservedInstance {
	catalog := m.replica.View().State.Catalog
	out := m.scheduler.Observe(now)
	m.workers = make(map[model.InstanceID]model.WorkerID, len(out))
	for _, o := range out {
		m.workers[o.ID] = o.Worker
	}
	heard := map[model.InstanceID]bool{}
	kept := out[:0]
	for _, o := range out {
		if o.Away && m.isOff(catalog, o.ID, now.Add(-o.HeardAgo)) {
			continue
		}
		heard[o.ID] = true
		kept = append(kept, o)
	}
	for id, l := range m.listed {
		if heard[id] {
			continue
		}
		pool, _ := catalog.Pool(l.Pool)
		kept = append(kept, model.ObservedInstance{
			ID: id, Pool: l.Pool, Off: pool.Standby, Away: l.Gone || !pool.Standby, Capacity: l.Capacity, Settled: true,
		})
	}
	m.endTrips(now, kept)
	state := m.replica.View().State
	for i := range kept {
		kept[i].Held = now.Before(m.paused[kept[i].ID]) || !m.mayOrder(now, state, kept[i].ID)
	}
	return kept
}

// reported reports whether nearly all instances that the platform lists as on
// were heard of by this leader.
func (m *Machine) reported(instances []model.ObservedInstance) bool {
	on, silent := 0, 0
	for _, o := range instances {
		if o.Off || m.listed[o.ID].Gone {
			continue
		}
		on++
		if o.Away {
			silent++
		}
	}
	return len(m.listed) > 0 && float64(silent) <= unreportedShare*float64(on)
}

// isOff reports whether the platform has told, after the worker on the instance
// was last heard of, that the instance is in a standby pool.
func (m *Machine) isOff(c *model.Catalog, id model.InstanceID, heard time.Time) bool {
	l := m.listed[id]
	pool, _ := c.Pool(l.Pool)
	return pool.Standby && l.at.After(heard)
}

// endTrips forgets the trips of instances whose worker has come back, and of
// those that are off again.
func (m *Machine) endTrips(now time.Time, instances []model.ObservedInstance) {
	for _, o := range instances {
		t := m.trips[o.ID]
		if t == nil || t.confirmed.IsZero() || t.upkeep != 0 && !t.recorded {
			continue
		}
		away := m.settings.MoveTime
		if t.upkeep != 0 {
			away = m.settings.UpkeepTime
		}
		since := now.Sub(t.confirmed)
		if since > away && (o.Off || !o.Away) || since > away+returnSlack {
			delete(m.trips, o.ID)
			delete(m.idle, o.ID)
		}
	}
}
