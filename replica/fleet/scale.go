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
	done := map[model.PoolName]model.Resources{}
	for _, o := range instances {
		m.trackIdle(now, o)
		if m.orders[o.ID] == nil && o.Unavailable {
			continue
		}
		i := m.scaleInstance(now, o)
		in.Instances = append(in.Instances, i)
		done[i.Pool] = done[i.Pool].Add(i.Capacity.Scale(m.availableFor(now, o).Seconds()))
	}
	in.Pools = m.scalePools(model.TimestampOf(now), s, done)
	return in
}

// lead returns the time from a decision until the instance runs tasks in its new pool.
func (m *Machine) lead() time.Duration { return m.settings.MoveTime + moveDelay }

// availableFor returns how long within the lead time an instance can run tasks in its
// pool, or in the pool that it is being moved to.
func (m *Machine) availableFor(now time.Time, o model.WorkerObservation) time.Duration {
	order := m.orders[o.ID]
	switch {
	case order == nil && o.Off, order != nil && order.upkeep != 0:
		return 0
	case order == nil:
		return m.lead()
	}
	return min(now.Sub(order.startedAt), m.lead())
}

// scalePools returns the demand of the pools: what their tasks need now or, if that is
// more, what they are expected to need once an instance has been moved. done is the work,
// in resources multiplied by seconds, that the pools can do within the lead time.
func (m *Machine) scalePools(now model.Timestamp, s model.State, done map[model.PoolName]model.Resources) []scale.Pool {
	demands := query.Demands(s, now, backlogWindow)
	inflows := query.Inflows(s, now, query.InflowWindows{Window: inflowWindow, Lead: m.lead(), PerRun: runOverhead})
	var out []scale.Pool
	for _, p := range s.Catalog.Pools {
		d := demands[p.Name]
		horizon := scale.Horizon{Window: inflowWindow, Lead: m.lead(), Clearing: backlogWindow}
		forecast := scale.Forecast(inflows[p.Name], done[p.Name].Sub(d.Lasting.Scale(m.lead().Seconds())), horizon)
		out = append(out, scale.Pool{
			Name: p.Name, Standby: p.Standby, Demand: d.Running.Add(d.Waiting).Max(forecast.Add(d.Lasting)), MinInstances: d.MinWorkers,
		})
	}
	return out
}

// trackIdle records since when nothing has run on the instance.
func (m *Machine) trackIdle(now time.Time, o model.WorkerObservation) {
	if !o.Idle() {
		delete(m.idleSince, o.ID)
	} else if _, ok := m.idleSince[o.ID]; !ok {
		m.idleSince[o.ID] = now
	}
}

func (m *Machine) scaleInstance(now time.Time, o model.WorkerObservation) scale.Instance {
	order := m.orders[o.ID]
	_, cordoned := m.cordonedSince[o.ID]
	i := scale.Instance{
		ID: o.ID, Pool: o.Pool, Capacity: o.Capacity, PoweredOff: o.Off,
		Movable: order == nil && o.Idle() && !cordoned && !o.Leaving && !o.OrdersBlocked,
	}
	i.Draining = cordoned || order != nil && order.upkeep != 0
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
	if since, ok := m.retiringSince[o.ID]; ok {
		i.SurplusTime = model.TimestampOf(now).Sub(since)
	}
	return i
}

const (
	// backlogWindow is the time within which waiting tasks should be done. It is short
	// enough that an instance can be moved first within the usual latency target of a
	// queue.
	backlogWindow = 2 * time.Second
	// inflowWindow is the time over which arrivals are counted for the forecast. A longer
	// one sees the start of a burst later, a shorter one has too few arrivals to distinguish
	// it from chance.
	inflowWindow = 500 * time.Millisecond
	// moveDelay is how much longer than the move of an instance it takes from the decision
	// until the instance runs tasks: recording the order and the first report of the worker.
	moveDelay = 300 * time.Millisecond
	// runOverhead is the part of a run's time on a worker that is not its own: a start order
	// waits for the next report of the worker, and so does the end of the run.
	runOverhead = 250 * time.Millisecond
)
