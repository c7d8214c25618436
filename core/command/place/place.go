// Package place decides which runs to start on which workers. It is pure: the
// state, the workers that can take work and the time give the starts.
package place

import (
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

// Worker is a worker that can take new runs. It hears of them with its next report.
type Worker struct {
	ID     model.WorkerID
	Pool   model.PoolName
	Rack   string
	Labels []string
	// Free is what neither assigned nor stopping runs take.
	Free model.Resources
	// Spare is the processor time in thousandths that fillers may still share. It
	// is Free less what the fillers on the worker declare.
	Spare int64
	// Doubtful is set for a worker whose runs failed or stalled lately. It gets
	// work only if no other worker can take it.
	Doubtful bool
	// Retiring is set for a worker beyond the demand of its pool, which is to
	// become empty. It gets work only if no other worker has room.
	Retiring bool
}

// Rules are what a plan depends on besides the state.
type Rules struct {
	Now model.Timestamp
	// Avoid reports whether a task should not run on a worker, because it failed
	// or stalled there.
	Avoid func(model.TaskRef, model.WorkerID) bool
	// Ticket reports whether the policy service lets the worker run the step;
	// it is asked for queues with advice only.
	Ticket func(model.TaskRef, model.WorkerID) bool
	// Slow reports whether the run should be doubled where its step allows it.
	Slow func(model.RunRef) bool
	// FarFactor is how many times as long tasks take away from the rack of their
	// data, or gangs on more than one rack.
	FarFactor float64
}

// Plan returns the runs to start, the most urgent first.
func Plan(s model.State, workers []Worker, rules Rules) []model.RunStart {
	p := newPlanner(s, slices.Clone(workers), rules)
	for _, c := range p.candidates() {
		if !p.hasRoom() {
			break
		}
		p.place(c)
	}
	return p.starts
}

// stepRef names a step in a round.
type stepRef struct {
	workload model.WorkloadID
	round    int
	step     int
}

func stepOf(t model.TaskRef) stepRef { return stepRef{t.Workload, t.Round, t.Step} }

type planner struct {
	state   model.State
	queues  map[model.QueueName]model.Queue
	rules   Rules
	workers []Worker
	held    map[model.WorkerID]map[stepRef]int
	starts  []model.RunStart
}

func newPlanner(s model.State, workers []Worker, rules Rules) *planner {
	return &planner{state: s, queues: s.Catalog.QueuesByName(), rules: rules, workers: workers, held: map[model.WorkerID]map[stepRef]int{}}
}

// minRoom is the free processor time in thousandths below which a worker is
// passed over as full.
const minRoom = 50

func (p *planner) hasRoom() bool {
	return slices.ContainsFunc(p.workers, func(w Worker) bool { return w.Free.MilliCPU >= minRoom })
}

// place starts what it can of the open steps of a workload.
func (p *planner) place(c candidate) {
	for i, round := range c.workload.Rounds {
		if c.workload.Due(i) > p.rules.Now {
			break
		}
		for j, step := range round.Steps {
			if step.Complete() || !c.workload.Open(i, j) {
				continue
			}
			if c.workload.Steps[j].Gang {
				p.placeGang(c, i, j)
				continue
			}
			p.placeTasks(c, i, j)
		}
	}
}

func (p *planner) placeTasks(c candidate, round, step int) {
	spec := c.workload.Steps[step]
	c.nearOnly = spec.NearRack != "" && p.hasRack(c.pool, spec.NearRack) && p.mayWait(c, round, spec)
	full := false
	for k, task := range c.workload.Rounds[round].Steps[step].Tasks {
		ref := model.TaskRef{Workload: c.workload.ID, Round: round, Step: step, Index: k}
		if full || task.Done || !p.wanted(spec, ref, task) {
			continue
		}
		w := p.pick(c, spec, ref)
		if w == nil {
			full = !p.rules.avoided(ref)
			continue
		}
		p.start(w, spec, ref, task.LastRun+1)
	}
}

// avoided reports whether some worker is to be avoided for this task alone, so
// that other tasks of the step may still find a place.
func (r Rules) avoided(ref model.TaskRef) bool { return r.Avoid != nil && r.Avoid(ref, "") }

// wanted reports whether the task needs a run: it has none, or it has one that
// is slow and may be doubled.
func (p *planner) wanted(spec model.Step, ref model.TaskRef, task model.Task) bool {
	if len(task.Active) == 0 {
		return true
	}
	return spec.Speculative && len(task.Active) == 1 && p.rules.Slow != nil &&
		p.rules.Slow(model.RunRef{Task: ref, Number: task.Active[0].Number})
}

// pick returns the worker for a task: beyond doubt, near its data, and with the
// least room that is enough, so that other workers stay empty. Lasting tasks of
// a step are spread, so that few of them are lost with a worker.
func (p *planner) pick(c candidate, spec model.Step, ref model.TaskRef) *Worker {
	var best *Worker
	for i := range p.workers {
		w := &p.workers[i]
		if w.Pool != c.pool || !p.fits(c, w, spec, ref) {
			continue
		}
		if best == nil || p.better(w, best, spec, stepOf(ref)) {
			best = w
		}
	}
	return best
}

func (p *planner) fits(c candidate, w *Worker, spec model.Step, ref model.TaskRef) bool {
	if spec.Filler && spec.Need.MilliCPU > w.Spare {
		return false
	}
	if !w.Free.Fits(spec.Reserved()) || spec.Label != "" && !slices.Contains(w.Labels, spec.Label) {
		return false
	}
	if spec.MaxPerWorker > 0 && p.holds(w.ID, stepOf(ref)) >= spec.MaxPerWorker {
		return false
	}
	if p.runsOn(ref, w.ID) || p.rules.Avoid != nil && p.rules.Avoid(ref, w.ID) {
		return false
	}
	if c.nearOnly && w.Rack != spec.NearRack {
		return false
	}
	return !c.advised || p.rules.Ticket != nil && p.rules.Ticket(ref, w.ID)
}

// nearMargin is the time that must be left for a workload to be in time, beyond
// what its steps take, while it waits for a place near its data.
const nearMargin = 600 * time.Millisecond

// mayWait reports whether the round would still be in time if the step ran far
// from its data, or on several racks, a little later.
func (p *planner) mayWait(c candidate, round int, spec model.Step) bool {
	detour := time.Duration((p.rules.FarFactor - 1) * float64(spec.Estimate))
	deadline := c.deadline.Add(c.workload.Due(round).Sub(c.workload.Due(0)))
	return deadline.Sub(p.rules.Now) > c.left+detour+nearMargin
}

// hasRack reports whether the pool has a worker on the rack, with room or not.
func (p *planner) hasRack(pool model.PoolName, rack string) bool {
	return slices.ContainsFunc(p.workers, func(w Worker) bool { return w.Pool == pool && w.Rack == rack })
}

// runsOn reports whether a run of the task is active on the worker.
func (p *planner) runsOn(ref model.TaskRef, id model.WorkerID) bool {
	w, _ := p.state.Workloads.Get(ref.Workload)
	task, _ := w.Task(ref)
	return slices.ContainsFunc(task.Active, func(r model.Run) bool { return r.Worker == id })
}

func (p *planner) better(a, b *Worker, spec model.Step, step stepRef) bool {
	if a.Doubtful != b.Doubtful {
		return b.Doubtful
	}
	if a.Retiring != b.Retiring {
		return b.Retiring
	}
	if x, y := p.holds(a.ID, step), p.holds(b.ID, step); spec.Lasting && x != y {
		return x < y
	}
	if spec.NearRack != "" && (a.Rack == spec.NearRack) != (b.Rack == spec.NearRack) {
		return a.Rack == spec.NearRack
	}
	if spec.Need.Accelerators == 0 && a.Free.Accelerators != b.Free.Accelerators {
		return a.Free.Accelerators < b.Free.Accelerators
	}
	return a.Free.MilliCPU < b.Free.MilliCPU
}

// holds returns the active tasks of the step on the worker, with those of this plan.
func (p *planner) holds(id model.WorkerID, step stepRef) int {
	counts, ok := p.held[id]
	if !ok {
		counts = map[stepRef]int{}
		a, _ := p.state.Assignments.Get(id)
		for _, run := range a.Runs {
			counts[stepOf(run.Task)]++
		}
		p.held[id] = counts
	}
	return counts[step]
}

func (p *planner) start(w *Worker, spec model.Step, ref model.TaskRef, number int) {
	p.holds(w.ID, stepOf(ref))
	p.held[w.ID][stepOf(ref)]++
	w.Free = w.Free.Sub(spec.Reserved())
	w.Spare -= spec.Need.MilliCPU
	p.starts = append(p.starts, model.RunStart{Run: model.RunRef{Task: ref, Number: number}, Worker: w.ID})
}
