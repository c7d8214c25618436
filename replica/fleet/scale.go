package fleet

import (
	"time"

	"lacewingturn.example/core/command/scale"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

// scale moves instances between pools according to the demand, at most maxMoves in
// one pass.
func (m *Machine) scale(now time.Time, s model.State, instances []model.WorkerObservation) {
	d := scale.Decide(m.scaleInput(now, s, instances))
	m.retire(model.TimestampOf(now), d.Retire, instances)
	for n, move := range d.Moves {
		if n >= m.settings.maxMoves() {
			return
		}
		m.addOrder(now, move.Instance, &activeOrder{from: move.From, to: move.To})
	}
}

// retire makes instances that are surplus to the demand get work only if no other
// can take it. After retireDelay it stops runs on them that can resume elsewhere
// from a checkpoint.
func (m *Machine) retire(now model.Timestamp, ids []model.InstanceID, instances []model.WorkerObservation) {
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

// scaleInput returns the demand of the pools and the instances that are present or
// being moved; those being moved count for their new pool. It also updates idleSince.
func (m *Machine) scaleInput(now time.Time, s model.State, instances []model.WorkerObservation) scale.Input {
	var in scale.Input
	demands := query.Demands(s, model.TimestampOf(now), backlogWindow)
	for _, p := range s.Catalog.Pools {
		d := demands[p.Name]
		in.Pools = append(in.Pools, scale.Pool{Name: p.Name, Standby: p.Standby, Demand: d.Running.Add(d.Waiting), MinInstances: d.MinWorkers})
	}
	for _, o := range instances {
		if o.Idle() {
			if _, ok := m.idleSince[o.ID]; !ok {
				m.idleSince[o.ID] = now
			}
		} else {
			delete(m.idleSince, o.ID)
		}
		order := m.orders[o.ID]
		if order == nil && o.Unavailable {
			continue
		}
		_, cordoned := m.cordonedSince[o.ID]
		i := scale.Instance{
			ID: o.ID, Pool: o.Pool, Capacity: o.Capacity, PoweredOff: o.Off,
			Movable: order == nil && o.Idle() && !cordoned && !o.Leaving && !o.OrdersBlocked,
		}
		i.Retirable = order == nil && !cordoned && !o.Leaving
		for _, r := range o.Runs {
			i.LoadMilliCPU += r.Size.MilliCPU
			i.Retirable = i.Retirable && !r.Lasting
		}
		if order != nil && order.upkeep == 0 {
			i.Pool = order.to
		}
		if since, ok := m.idleSince[o.ID]; ok {
			i.IdleTime = now.Sub(since)
		}
		in.Instances = append(in.Instances, i)
	}
	return in
}

// backlogWindow is the time within which waiting tasks should be done. It is short
// enough that an instance can be moved first within the usual latency target of a
// queue.
const backlogWindow = 2 * time.Second
