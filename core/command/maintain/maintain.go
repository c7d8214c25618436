// Package maintain plans the execution of operators' upkeep orders: which
// instances are cordoned and drained, which runs are stopped for that, and on
// which instances the upkeep starts. Its decisions are pure functions of their
// input and may be computed at any time.
package maintain

import (
	"cmp"
	"slices"
	"time"

	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
)

const (
	// runGracePeriod is the time that runs get to finish on an instance that is being
	// drained. Long-running tasks and runs that keep their progress get none.
	runGracePeriod = 3 * time.Second
	// urgentShare is the share of an order's duration after which runs get no
	// more grace period and the limit per pool no longer applies.
	urgentShare = 0.7
	// poolDivisor limits the instances of a pool that are drained or down at the
	// same time to 1/poolDivisor of the pool, but at least one.
	poolDivisor = 4
)

// Input is the state that a decision is computed from.
type Input struct {
	Now       model.Timestamp
	Upkeeps   []model.Upkeep
	Instances []model.WorkerObservation
	// Down holds the instances whose upkeep was requested from the platform and
	// that have not returned.
	Down map[model.InstanceID]bool
	// Cordoned maps each instance that is being drained to the start of its drain.
	Cordoned map[model.InstanceID]model.Timestamp
	// Serving reports whether a long-running task is running.
	Serving func(model.TaskRef) bool
	// StopLimit returns the number of tasks of the step that the task belongs to,
	// and how many of them may be stopped by the system at the same time.
	StopLimit func(model.TaskRef) (tasks int, missable int)
}

// Decision lists the next actions of all upkeep orders.
type Decision struct {
	// Cordon lists the instances that must get no new work.
	Cordon []model.InstanceID
	// Stop lists the runs to stop, so that their instances become idle.
	Stop []model.RunRef
	// Begin lists the instances on which upkeep can start now, as they are idle or
	// powered off.
	Begin []UpkeepStart
}

// UpkeepStart identifies an instance and the order that it is maintained for.
type UpkeepStart struct {
	Number   model.UpkeepNumber
	Instance model.InstanceID
}

// Decide returns the next actions of all orders. Earlier orders are served first
// where a pool's limit does not allow all of them.
func Decide(in Input) Decision {
	p := &planner{Input: in, byID: map[model.InstanceID]model.WorkerObservation{}, draining: map[model.PoolName]int{}, size: map[model.PoolName]int{}, limits: StopLimits{Serving: in.Serving}}
	for _, i := range in.Instances {
		p.byID[i.ID] = i
		p.size[i.Pool]++
	}
	for _, u := range in.Upkeeps {
		p.advance(u)
	}
	return p.out
}

// planner holds the input and the partial result of one decision.
type planner struct {
	Input
	byID     map[model.InstanceID]model.WorkerObservation
	draining map[model.PoolName]int // instances of a pool that are being drained or down
	size     map[model.PoolName]int
	out      Decision
	limits   StopLimits
}

// advance adds the next actions of one order to the decision.
func (p *planner) advance(u model.Upkeep) {
	slots := u.Limit
	var pending []model.WorkerObservation
	for _, i := range u.Instances {
		if p.Down[i.ID] {
			slots--
			p.draining[p.byID[i.ID].Pool]++
			continue
		}
		if seen, ok := p.byID[i.ID]; ok && !i.Begun {
			pending = append(pending, seen)
		}
	}
	slices.SortFunc(pending, p.compare)
	for _, i := range pending {
		if slots <= 0 {
			return
		}
		if i.Unavailable || i.OrdersBlocked || i.Leaving || !p.mayDrain(u, i) {
			continue
		}
		slots--
		p.draining[i.Pool]++
		p.out.Cordon = append(p.out.Cordon, i.ID)
		if i.Off || i.Idle() {
			p.out.Begin = append(p.out.Begin, UpkeepStart{u.Number, i.ID})
			continue
		}
		p.drain(u, i)
	}
}

// compare orders instances that are being drained first, then powered-off
// instances, then those with the fewest long-running tasks and the fewest runs.
func (p *planner) compare(a, b model.WorkerObservation) int {
	_, x := p.Cordoned[a.ID]
	_, y := p.Cordoned[b.ID]
	return cmp.Or(compare.TrueFirst(x, y), compare.TrueFirst(a.Off, b.Off), cmp.Compare(countLongRunning(a), countLongRunning(b)),
		cmp.Compare(len(a.Runs), len(b.Runs)), cmp.Compare(a.ID, b.ID))
}

func countLongRunning(i model.WorkerObservation) int {
	n := 0
	for _, r := range i.Runs {
		if r.Lasting {
			n++
		}
	}
	return n
}

// mayDrain limits how much of a pool is out of service at the same time, unless
// the order is urgent or the instance is powered off.
func (p *planner) mayDrain(u model.Upkeep, i model.WorkerObservation) bool {
	if i.Off || p.urgent(u) {
		return true
	}
	return p.draining[i.Pool] < max(1, p.size[i.Pool]/poolDivisor)
}

// urgent reports whether the order has used up urgentShare of its duration.
func (p *planner) urgent(u model.Upkeep) bool {
	return p.Now.Sub(u.OrderedAt) > time.Duration(urgentShare*float64(u.Duration))
}

// drain stops runs of a cordoned instance. Runs that keep their progress are stopped
// at once, long-running tasks as soon as the limit of their step allows it, and all
// other runs after the grace period.
func (p *planner) drain(u model.Upkeep, i model.WorkerObservation) {
	since, ok := p.Cordoned[i.ID]
	if !ok {
		since = p.Now
	}
	graceOver := p.Now.Sub(since) > runGracePeriod || p.urgent(u)
	for _, r := range i.Runs {
		switch {
		case r.Stopping:
		case r.Lasting:
			if p.mayStop(r) {
				p.stop(r)
			}
		case graceOver || r.Checkpointing:
			p.stop(r)
		}
	}
}

func (p *planner) stop(r model.ObservedRun) {
	p.limits.Stopped(r.Run.Task)
	p.out.Stop = append(p.out.Stop, r.Run)
}

// mayStop reports whether a long-running task may be stopped. Tasks that this decision
// stops count as unavailable.
func (p *planner) mayStop(r model.ObservedRun) bool {
	tasks, missable := p.StopLimit(r.Run.Task)
	return p.limits.MayStop(r.Run.Task, tasks, missable)
}
