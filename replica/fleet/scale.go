package fleet

import (
	"time"

	"lacewingturn.example/core/command/scale"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

// scale lets pools follow their demand.
func (m *Machine) scale(now time.Time, s model.State, instances []model.ObservedInstance) {
	d := scale.Decide(m.scaleInput(now, s, instances))
	m.retire(model.At(now), d.Retire, instances)
	for n, move := range d.Moves {
		if n >= m.settings.maxMoves() {
			return
		}
		m.addOrder(now, move.Instance, &activeOrder{from: move.From, to: move.To})
	}
}

// retire lets instances beyond the demand get work last. Runs that keep their
// progress are stopped after a while, so that they go on elsewhere.
func (m *Machine) retire(now model.Timestamp, ids []model.InstanceID, instances []model.ObservedInstance) {
	next := map[model.InstanceID]model.Timestamp{}
	for _, id := range ids {
		since, ok := m.retiringSince[id]
		if !ok {
			since = now
		}
		next[id] = since
	}
	m.retiringSince = next
	m.scheduler.SetRetiring(next)
	for _, o := range instances {
		since, ok := next[o.ID]
		if !ok || now.Sub(since) < retireDelay {
			continue
		}
		for _, r := range o.Runs {
			if r.Checkpointing && !r.Lasting && !r.Stopping {
				m.scheduler.StopRun(r.Run)
			}
		}
	}
}

// scaleInput describes the pools and the instances that may be moved.
func (m *Machine) scaleInput(now time.Time, s model.State, instances []model.ObservedInstance) scale.Input {
	var in scale.Input
	demands := query.Demands(s, model.At(now), backlogWindow)
	for _, p := range s.Catalog.Pools {
		d := demands[p.Name]
		in.Pools = append(in.Pools, scale.Pool{Name: p.Name, Standby: p.Standby, Demand: d.Running.Add(d.Waiting), Spread: d.Spread})
	}
	for _, o := range instances {
		if o.Idle() {
			if _, ok := m.idleSince[o.ID]; !ok {
				m.idleSince[o.ID] = now
			}
		} else {
			delete(m.idleSince, o.ID)
		}
		t := m.orders[o.ID]
		if t == nil && o.Away {
			continue
		}
		_, cordoned := m.cordonedSince[o.ID]
		i := scale.Instance{
			ID: o.ID, Pool: o.Pool, Capacity: o.Capacity, Off: o.Off,
			Movable: t == nil && o.Idle() && !cordoned && !o.Leaving && !o.Held,
		}
		i.Retirable = t == nil && !cordoned && !o.Leaving
		for _, r := range o.Runs {
			i.Load += r.Size.MilliCPU
			i.Retirable = i.Retirable && !r.Lasting
		}
		if t != nil && t.upkeep == 0 {
			i.Pool = t.to
		}
		if since, ok := m.idleSince[o.ID]; ok {
			i.Idle = now.Sub(since)
		}
		in.Instances = append(in.Instances, i)
	}
	return in
}

// clearingTime is the time within which waiting tasks should have run. It leaves
// room for the move of an instance within the usual target of a queue.
const backlogWindow = 2 * time.Second
