package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

const (
	// ScheduleStartShare is the share of WavePolicy.Every after which maintenance of
	// an instance may be scheduled. The rest is slack, so that waves can run one
	// after the other.
	ScheduleStartShare = 0.75
	// StepDurationEstimate is the assumed time from the drain of an instance to its
	// return, without the soak. It is used to estimate the duration of waves.
	StepDurationEstimate = 10 * time.Minute
	// ScheduleSafetyFactor is the factor by which estimated durations of waves are
	// multiplied before they are compared with the time that is left.
	ScheduleSafetyFactor = 2
)

// reconcileWaves proposes the next instances of every running wave.
func (p *planner) reconcileWaves() {
	for _, w := range p.s.Waves.All() {
		if w.Phase != model.WaveRunning {
			continue
		}
		waiting := map[model.PoolName][]model.Instance{}
		for _, id := range w.Pending {
			if i, ok := p.eligible(w, id); ok {
				waiting[i.Pool] = append(waiting[i.Pool], i)
			}
		}
		for _, pool := range w.Pools {
			p.takeStep(w, pool, waiting[pool])
		}
	}
}

// eligible reports whether the wave can take a pending instance now. It proposes to
// skip an instance that has been removed or moved, is retiring, or has been out of
// service for longer than the reboot timeout.
func (p *planner) eligible(w model.Wave, id model.InstanceID) (model.Instance, bool) {
	i, ok := p.s.Instances.Get(id)
	reason := ""
	switch {
	case !ok:
		reason = "the instance no longer exists"
	case i.Retiring:
		reason = "the instance is retiring"
	case !slices.Contains(w.Pools, i.Pool) && i.Phase == model.PhaseActive:
		reason = "the instance moved to pool " + string(i.Pool)
	case i.Phase != model.PhaseActive && p.due(i.PhaseSince.Add(p.policy.RebootTimeout)):
		reason = "the instance is " + i.Phase.String()
	}
	if reason != "" {
		p.propose(model.SkipWaveInstance{ID: w.ID, Instance: id, Reason: reason})
		return i, false
	}
	return i, i.Phase == model.PhaseActive && i.Operation == ""
}

// takeStep proposes to drain pending instances of one pool for the wave until the
// step is full or the pool's budget is exhausted.
func (p *planner) takeStep(w model.Wave, pool model.PoolName, waiting []model.Instance) {
	if len(waiting) == 0 {
		return
	}
	limit := p.stepSize(w, waiting)
	running := countRunning(p.s, w, pool)
	if running >= limit {
		return
	}
	p.sortForDrain(waiting)
	for _, i := range waiting {
		if running >= limit {
			return
		}
		if p.reserveOutage(i) {
			p.propose(model.TakeWaveStep{ID: w.ID, Instance: i.ID})
			running++
		}
	}
}

// sortForDrain orders instances with little work first, because they drain fastest
// and thus leave their capacity unused for the shortest time. Instances with a recent
// operation or change of phase, such as a drain that timed out, come last.
func (p *planner) sortForDrain(waiting []model.Instance) {
	recentlyTried := func(i model.Instance) int {
		if p.now.Sub(i.OperationSince) < p.policy.DrainTimeout || p.now.Sub(i.PhaseSince) < p.policy.DrainTimeout {
			return 1
		}
		return 0
	}
	slices.SortFunc(waiting, func(a, b model.Instance) int {
		return cmp.Or(cmp.Compare(recentlyTried(a), recentlyTried(b)), cmp.Compare(p.load(a), p.load(b)),
			cmp.Compare(a.Maintained, b.Maintained), cmp.Compare(a.ID, b.ID))
	})
}

// stepSize returns how many instances of a pool the wave may hold at the same time.
// A wave that may still be running when the maintenance of an instance is overdue, by
// WavePolicy.Every, uses its full step.
func (p *planner) stepSize(w model.Wave, waiting []model.Instance) int {
	step := OptimalStep(p.s.Config.Weights, w.Step)
	if p.policy.Every <= 0 {
		return step
	}
	oldest := waiting[0].Maintained
	for _, i := range waiting {
		oldest = min(oldest, i.Maintained)
	}
	if p.now.Add(ScheduleSafetyFactor*p.estimateDuration(len(waiting), step)) > oldest.Add(p.policy.Every) {
		return w.Step
	}
	return step
}

// OptimalStep returns the step between 1 and maxStep with the lowest weighted cost,
// where the rollout time falls with 1/step and the idle reserve grows with
// step/maxStep.
func OptimalStep(w model.Weights, maxStep int) int {
	if w.BufferCost <= 0 {
		return maxStep
	}
	best := math.Sqrt(w.RollOut * float64(maxStep) / w.BufferCost)
	return min(max(int(math.Round(best)), 1), maxStep)
}

// estimateDuration returns the expected duration of a wave over the instances.
func (p *planner) estimateDuration(instances, step int) time.Duration {
	steps := (instances + step - 1) / step
	return time.Duration(steps) * (StepDurationEstimate + p.policy.Soak)
}

// duePool is a pool whose instances should be maintained soon.
type duePool struct {
	pool   model.PoolName
	oldest model.Timestamp // earliest last maintenance of its instances
	count  int             // instances to maintain
}

// scheduleWaves starts waves over the pools whose maintenance is oldest. Waves run
// one after the other, which needs the least reserve, unless the pools could not all
// be maintained in time that way. A wave also includes the instances of its pool that
// are not due yet, if more than half of the time until they are due has passed.
func (p *planner) scheduleWaves() {
	if p.policy.Every <= 0 {
		return
	}
	from := time.Duration(float64(p.policy.Every) * ScheduleStartShare)
	pools := p.duePools(p.now.Add(-from / 2))
	ready := pools[:0]
	for _, d := range pools {
		if p.due(d.oldest.Add(from)) {
			ready = append(ready, d)
		}
	}
	slices.SortFunc(ready, func(a, b duePool) int {
		return cmp.Or(cmp.Compare(a.oldest, b.oldest), cmp.Compare(a.pool, b.pool))
	})
	running := 0
	for _, w := range p.s.Waves.All() {
		if w.Phase == model.WaveRunning {
			running++
		}
	}
	for _, d := range ready[:min(len(ready), max(0, p.parallelWaves(ready)-running))] {
		p.propose(model.StartWave{
			ID:    model.WaveID("scheduled-" + string(d.pool) + "-" + itoa(p.s.Index)),
			Pools: []model.PoolName{d.pool}, MaintainedBefore: p.now.Add(-from / 2),
		})
	}
}

// duePools returns the pools without a wave in progress, each with the oldest
// maintenance of its active instances and the number of those that were maintained
// before the time given.
func (p *planner) duePools(before model.Timestamp) []duePool {
	held := map[model.PoolName]bool{}
	for _, w := range p.s.Waves.All() {
		for _, name := range w.Pools {
			held[name] = held[name] || !w.Phase.Ended()
		}
	}
	found := map[model.PoolName]*duePool{}
	var out []duePool
	for _, i := range p.all {
		if held[i.Pool] || i.Phase != model.PhaseActive || i.Retiring {
			continue
		}
		d := found[i.Pool]
		if d == nil {
			d = &duePool{pool: i.Pool, oldest: i.Maintained}
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

// parallelWaves returns how many waves must run at the same time for all ready pools
// to be maintained before the first of them is overdue.
func (p *planner) parallelWaves(ready []duePool) int {
	if len(ready) == 0 {
		return 0
	}
	step := OptimalStep(p.s.Config.Weights, p.policy.MaxStep)
	var work time.Duration
	for _, d := range ready {
		work += p.estimateDuration(d.count, step)
	}
	slack := ready[0].oldest.Add(p.policy.Every).Sub(p.now)
	if slack <= 0 {
		return len(ready)
	}
	return int((ScheduleSafetyFactor*work + slack - 1) / slack)
}
