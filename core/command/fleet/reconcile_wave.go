package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

const (
	// ScheduleFrom is the share of WavePolicy.Every after which maintenance of an
	// instance may be scheduled. The rest is slack for waves one after the other.
	ScheduleFrom = 0.75
	// StepEstimate is the assumed time from drain to return besides the soak, for
	// the number of waves that must run at the same time.
	StepEstimate = 10 * time.Minute
	// ScheduleMargin multiplies estimates of the time that waves take.
	ScheduleMargin = 2
)

// driveWaves takes the next step of every running wave.
func (p *plan) driveWaves() {
	for _, w := range p.s.Waves.All() {
		if w.Phase != model.WaveRunning {
			continue
		}
		waiting := map[model.PoolName][]model.Instance{}
		for _, id := range w.Pending {
			if i, ok := p.waitsIn(w, id); ok {
				waiting[i.Pool] = append(waiting[i.Pool], i)
			}
		}
		for _, pool := range w.Pools {
			p.step(w, pool, waiting[pool])
		}
	}
}

// waitsIn reports whether the wave can take the instance now, and passes by
// those that it cannot take for long.
func (p *plan) waitsIn(w model.Wave, id model.InstanceID) (model.Instance, bool) {
	i, ok := p.s.Instances.Get(id)
	reason := ""
	switch {
	case !ok:
		reason = "the instance no longer exists"
	case i.Retiring:
		reason = "the instance is retiring"
	case !slices.Contains(w.Pools, i.Pool) && i.Phase == model.PhaseActive:
		reason = "the instance moved to pool " + string(i.Pool)
	case i.Phase != model.PhaseActive && p.at(i.PhaseSince.Add(p.policy.RebootTimeout)):
		reason = "the instance is " + i.Phase.String()
	}
	if reason != "" {
		p.propose(model.SkipWaveInstance{ID: w.ID, Instance: id, Reason: reason})
		return i, false
	}
	return i, i.Phase == model.PhaseActive && i.Operation == ""
}

// step takes instances of one pool until the step is full or the budget is spent.
func (p *plan) step(w model.Wave, pool model.PoolName, waiting []model.Instance) {
	if len(waiting) == 0 {
		return
	}
	limit := p.stepOf(w, waiting)
	running := running(p.s, w, pool)
	if running >= limit {
		return
	}
	p.order(waiting)
	for _, i := range waiting {
		if running >= limit {
			return
		}
		if p.mayTake(i) {
			p.propose(model.TakeWaveStep{ID: w.ID, Instance: i.ID})
			running++
		}
	}
}

// order puts instances with little work first, because they drain soonest and
// are idle for the shortest time. Instances that gave up a drain lately come last.
func (p *plan) order(waiting []model.Instance) {
	tried := func(i model.Instance) int {
		if p.now.Sub(i.OperationSince) < p.policy.DrainTimeout || p.now.Sub(i.PhaseSince) < p.policy.DrainTimeout {
			return 1
		}
		return 0
	}
	slices.SortFunc(waiting, func(a, b model.Instance) int {
		return cmp.Or(cmp.Compare(tried(a), tried(b)), cmp.Compare(p.load(a), p.load(b)),
			cmp.Compare(a.Maintained, b.Maintained), cmp.Compare(a.ID, b.ID))
	})
}

// stepOf returns the number of instances of a pool to hold at the same time. A
// wave that may miss its deadline uses its whole step.
func (p *plan) stepOf(w model.Wave, waiting []model.Instance) int {
	step := WeighStep(p.s.Config.Weights, w.Step)
	if p.policy.Every <= 0 {
		return step
	}
	oldest := waiting[0].Maintained
	for _, i := range waiting {
		oldest = min(oldest, i.Maintained)
	}
	if p.now.Add(ScheduleMargin*p.estimate(len(waiting), step)) > oldest.Add(p.policy.Every) {
		return w.Step
	}
	return step
}

// WeighStep returns the step between 1 and most that costs least when rollout
// time falls with 1/step and idle reserve grows with step/most.
func WeighStep(w model.Weights, most int) int {
	if w.BufferCost <= 0 {
		return most
	}
	best := math.Sqrt(w.RollOut * float64(most) / w.BufferCost)
	return min(max(int(math.Round(best)), 1), most)
}

func (p *plan) estimate(instances, step int) time.Duration {
	steps := (instances + step - 1) / step
	return time.Duration(steps) * (StepEstimate + p.policy.Soak)
}

// due is a pool whose instances should be maintained soon.
type due struct {
	pool   model.PoolName
	oldest model.Timestamp
	count  int
}

// schedule starts a wave over the pool that has waited longest. Waves run one
// after the other, which needs the least reserve, unless that would be too slow.
func (p *plan) schedule() {
	if p.policy.Every <= 0 {
		return
	}
	from := time.Duration(float64(p.policy.Every) * ScheduleFrom)
	pools := p.duePools(p.now.Add(-from / 2))
	ready := pools[:0]
	for _, d := range pools {
		if p.at(d.oldest.Add(from)) {
			ready = append(ready, d)
		}
	}
	slices.SortFunc(ready, func(a, b due) int {
		return cmp.Or(cmp.Compare(a.oldest, b.oldest), cmp.Compare(a.pool, b.pool))
	})
	running := 0
	for _, w := range p.s.Waves.All() {
		if w.Phase == model.WaveRunning {
			running++
		}
	}
	for _, d := range ready[:min(len(ready), max(0, p.parallel(ready)-running))] {
		p.propose(model.StartWave{
			ID:    model.WaveID("scheduled-" + string(d.pool) + "-" + itoa(p.s.Index)),
			Pools: []model.PoolName{d.pool}, MaintainedBefore: p.now.Add(-from / 2),
		})
	}
}

// duePools lists the pools that no wave holds, with the oldest maintenance of
// their instances in service.
func (p *plan) duePools(before model.Timestamp) []due {
	held := map[model.PoolName]bool{}
	for _, w := range p.s.Waves.All() {
		for _, name := range w.Pools {
			held[name] = held[name] || !w.Phase.Ended()
		}
	}
	found := map[model.PoolName]*due{}
	var out []due
	for _, i := range p.all {
		if held[i.Pool] || i.Phase != model.PhaseActive || i.Retiring {
			continue
		}
		d := found[i.Pool]
		if d == nil {
			d = &due{pool: i.Pool, oldest: i.Maintained}
			found[i.Pool] = d
		}
		d.oldest = min(d.oldest, i.Maintained)
		if i.Maintained < before {
			d.count++
		}
	}
	for _, pool := range p.s.Config.Pools {
		if d := found[pool.Name]; d != nil {
			out = append(out, *d)
		}
	}
	return out
}

// parallel returns how many waves must run at the same time for all ready
// pools to be maintained before the first of them is late.
func (p *plan) parallel(ready []due) int {
	if len(ready) == 0 {
		return 0
	}
	step := WeighStep(p.s.Config.Weights, p.policy.MaxStep)
	var work time.Duration
	for _, d := range ready {
		work += p.estimate(d.count, step)
	}
	slack := ready[0].oldest.Add(p.policy.Every).Sub(p.now)
	if slack <= 0 {
		return len(ready)
	}
	return int((ScheduleMargin*work + slack - 1) / slack)
}
