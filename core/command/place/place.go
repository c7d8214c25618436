// Package place decides which runs of tasks to start on which workers, and which
// runs to preempt. It has no side effects: the result depends only on the state,
// the available workers and the options, which include the time.
package place

import (
	"slices"
	"time"

	"lacewingturn.example/core/command/near"
	"lacewingturn.example/core/command/share"
	"lacewingturn.example/core/model"
)

// Worker is a worker that accepts new runs. It receives them in the response to its
// next report.
type Worker struct {
	ID     model.WorkerID
	Pool   model.PoolName
	Rack   string
	Labels []string
	// Free is the capacity less the resources of assigned and of stopping runs.
	Free model.Resources
	// Unassigned lists the runs that the worker still has although they are not assigned
	// to it any more, for example because a copy has ended first.
	Unassigned []model.RunRef
	// FillerMilliCPU is the processor time, in thousandths of a processor, that is
	// left for more fillers: Free less the declared needs of the fillers on the
	// worker.
	FillerMilliCPU int64
	// Suspect is set for a worker whose runs failed or stalled recently. It gets
	// work only if no other worker can take it.
	Suspect bool
	// Retiring is set for a surplus worker of its pool that should become empty. It
	// gets work only if no other worker has enough free capacity.
	Retiring bool
	// Runs is the number of runs on the worker, those included that are not assigned to it any
	// more.
	Runs int
	// UpkeepDue is set for a worker whose instance is to be emptied for upkeep. It gets
	// lasting tasks only if no other worker can take them, because they would have to
	// leave it again.
	UpkeepDue bool
	// awaited is set in a plan while a step waits for the worker's rack. Tasks that need not
	// run there leave it to them if another worker can take them.
	awaited bool
}

// Options are the inputs of a plan besides the state and the workers.
type Options struct {
	Now model.Timestamp
	// Avoid reports whether a task must not run on a worker because it failed or
	// stalled there. For the empty worker ID it reports whether the task has any
	// worker to avoid. Nil avoids none.
	Avoid func(model.TaskRef, model.WorkerID) bool
	// TicketGranted reports whether there is a valid ticket, by which the policy service
	// allows the worker to run the step of the task. It is called only for queues
	// with Advised set; if it is nil, their tasks do not start.
	TicketGranted func(model.TaskRef, model.WorkerID) bool
	// NeedsCopy reports whether the run is slow enough for a speculative copy, if
	// its step allows copies. Nil starts no copies.
	NeedsCopy func(model.RunRef) bool
	// RemoteDataFactor is the slowdown of tasks outside the rack of their data and
	// of gangs on more than one rack, as a multiple of their estimated run time.
	RemoteDataFactor float64
	// Unassigned is the sum of the needs of each account's runs that the state does not list
	// as active and that may still be running, on any worker.
	Unassigned map[model.AccountName]model.Resources
	// Near is what the last plan returned. If its Waits are nil, a step counts as waiting
	// since it was due.
	Near near.History
	// RunTime returns the expected run time of a task near its data, given the estimate of
	// its step. Nil takes the estimate.
	RunTime func(model.TaskRef, time.Duration) time.Duration
	// TimeLeft returns how much longer an active run is expected to take; false if that is
	// not known from its progress. If it is nil or false, the start of the run and its
	// expected run time count.
	TimeLeft func(model.RunRef, model.WorkerID) (time.Duration, bool)
	// MaxStarts is the number of runs after which the plan ends, so that neither the plan nor what
	// follows from it holds up other work. The next plan goes on. A gang is not split. 0 means no limit.
	MaxStarts int
	// Arrivals lists workers that are expected to take work soon.
	Arrivals []Arrival
}

// Plan returns the runs to start, see Decide.
func Plan(s model.State, workers []Worker, options Options) []model.RunStart {
	return Decide(s, workers, options).Starts
}

// Decide returns the runs to start and the waits for near places. The workloads come in
// scheduling order; see candidates. Decide does not modify its arguments.
func Decide(s model.State, workers []Worker, options Options) Result {
	p := newPlanner(s, slices.Clone(workers), options)
	p.markAwaited()
	p.waiting = p.candidates()
	p.placeAll(p.waiting)
	waits, begun, ended := p.waitsAfter()
	return Result{p.starts, near.History{Waits: waits, Use: p.useAfter()}, begun, ended}
}

type planner struct {
	state   model.State
	queues  model.Queues
	options Options
	pools   map[model.PoolName]*pool
	shares  *share.Ledger
	// runCounts has the number of runs of each step on a worker, including those
	// started by this plan. countRuns adds a worker when it is first needed. Only steps
	// with countsRuns are kept up to date.
	runCounts map[model.WorkerID]map[model.StepRef]int
	starts    []model.RunStart
	waiting   []*candidate // in scheduling order
	locality  locality
}

// newPlanner returns a planner that changes the workers.
func newPlanner(s model.State, workers []Worker, options Options) *planner {
	return &planner{
		state: s, queues: s.Catalog.QueuesByName(), options: options, pools: groupByPool(workers),
		shares: share.NewLedger(s, totalFree(workers), options.Unassigned), runCounts: map[model.WorkerID]map[model.StepRef]int{},
		locality: newLocality(workers),
	}
}

// isFull reports whether the plan has MaxStarts runs.
func (p *planner) isFull() bool {
	return p.options.MaxStarts > 0 && len(p.starts) >= p.options.MaxStarts
}

// place starts as many tasks of the workload's open steps as fit, in rounds that
// are due. Once no first step fits any more, it goes on with the rounds that have begun.
func (p *planner) place(c *candidate) {
	c.full = nil
	for i, round := range c.workload.Open(p.options.Now) {
		if c.firstStepsFull() {
			p.placeBegun(c, i)
			return
		}
		if !p.placeRound(c, i, round) {
			return
		}
	}
}

// placeBegun starts tasks in the rounds that have begun, from a round on.
func (p *planner) placeBegun(c *candidate, from int) {
	for i, round := range c.workload.InProgress(p.options.Now) {
		if i >= from && !p.placeRound(c, i, round) {
			return
		}
	}
}

// placeRound starts tasks of one round. It reports whether the next round has its turn.
func (p *planner) placeRound(c *candidate, i int, round model.Round) bool {
	for j, step := range round.Steps() {
		if step.Complete() || !c.workload.StepReady(i, j) || c.turn.placed(i, j) || c.full[j] {
			continue
		}
		if p.isFull() || c.turn.pauseIfUsedUp(i, j, 0) {
			return false
		}
		spec := c.workload.Steps[j]
		if spec.Gang {
			p.placeGang(c, i, j)
			continue
		}
		if fits := p.placeTasks(c, i, j); !fits && p.rackOf(c, &spec) == nil {
			c.markFull(j)
		}
	}
	return true
}

// placeTasks starts the tasks of the step that need a run and fit on a worker. It reports
// whether further tasks of the step may fit, in other rounds.
func (p *planner) placeTasks(c *candidate, round, step int) (fits bool) {
	spec := c.workload.Steps[step]
	tasks := c.workload.Rounds.Step(round, step).Tasks
	c.stepRuns = tasks.Runs()
	for k, task := range tasks.NotDone(c.turn.firstTask(round, step)) {
		ref := model.TaskRef{Workload: c.workload.ID, Round: round, Step: step, Index: k}
		if !p.needsRun(spec, ref, task) {
			continue
		}
		if !c.account.MayStart(spec.Need, 1) {
			return false
		}
		if !p.pools[c.pool].mayFit(spec.Reserved()) {
			p.leaveAhead(c, &spec, ref)
			return false
		}
		if p.isFull() || c.turn.pauseIfUsedUp(round, step, k) {
			return true
		}
		w, waits := p.chooseOrWait(c, spec, ref, task.Active)
		if waits {
			continue
		}
		if w == nil {
			if !p.options.avoidsAny(ref) { // no worker can take another task of the step
				p.leaveAhead(c, &spec, ref)
				return false
			}
			continue
		}
		p.start(w, c, spec, ref, task.LastRun+1)
		c.stepRuns++
		p.forecastStart(w, spec, ref)
	}
	return true
}

// avoidsAny reports whether the task has workers to avoid. If such a task does not
// fit, other tasks of its step may still fit.
func (r Options) avoidsAny(ref model.TaskRef) bool { return r.Avoid != nil && r.Avoid(ref, "") }

// needsRun reports whether the task needs another run: it has none, or it has one
// that is slow and its step allows a speculative copy.
func (p *planner) needsRun(spec model.Step, ref model.TaskRef, task model.Task) bool {
	if len(task.Active) == 0 {
		return true
	}
	return spec.Speculative && len(task.Active) == 1 && p.options.NeedsCopy != nil &&
		p.options.NeedsCopy(model.RunRef{Task: ref, Number: task.Active[0].Number})
}

// chooseWorker returns the worker for a task with the given active runs, or nil if it
// fits nowhere. It prefers workers that are not suspect, then those that are not
// retiring; for lasting tasks then those without upkeep due and those with the fewest
// runs of the step, so that the loss of one worker affects few of them; then workers near
// the data; then workers that no step waits for; for tasks without accelerators then those with the fewest free accelerators;
// and then the one with the fewest free processors, so that other workers stay empty.
func (p *planner) chooseWorker(c *candidate, spec model.Step, ref model.TaskRef, active []model.Run) *Worker {
	return p.chooseAmong(p.pools[c.pool], c, spec, ref, active)
}

// chooseAmong is chooseWorker for the workers of the group, which is a pool or the part
// of it in one rack.
func (p *planner) chooseAmong(group *pool, c *candidate, spec model.Step, ref model.TaskRef, active []model.Run) *Worker {
	need := spec.Reserved()
	avoids := p.options.avoidsAny(ref)
	fitsAny := false // some worker has the capacity, whether or not it may run the task
	var best *Worker
	for _, w := range group.workers {
		if !w.Free.Fits(need) {
			continue
		}
		fitsAny = true
		if runsOn(active, w.ID) || avoids && p.options.Avoid(ref, w.ID) || !p.mayRun(c, w, spec, ref) {
			continue
		}
		if best == nil || p.better(w, best, spec, ref.StepRef()) {
			best = w
		}
	}
	if !fitsAny {
		group.updateLargestFree()
	}
	return best
}

const (
	// maxRuns is the number of runs on a worker above which it gets no more of a wide step. A
	// worker lists all its runs in each heartbeat, so that the leader's work grows with them.
	maxRuns = 2000
	// wideStep is the number of active runs from which a step counts as wide.
	wideStep = 32
)

// mayRun reports whether a worker with enough free capacity may run a task of the step.
func (p *planner) mayRun(c *candidate, w *Worker, spec model.Step, ref model.TaskRef) bool {
	if spec.Filler && spec.Need.MilliCPU > w.FillerMilliCPU {
		return false
	}
	if !w.hasLabel(spec) {
		return false
	}
	if w.Runs >= maxRuns && c.stepRuns >= wideStep && !spec.Gang {
		return false
	}
	if spec.MaxPerWorker > 0 && p.countRuns(w, ref.StepRef()) >= spec.MaxPerWorker {
		return false
	}
	return !c.advised || p.options.TicketGranted != nil && p.options.TicketGranted(ref, w.ID)
}

// hasLabel reports whether the worker has the label that the step needs.
func (w *Worker) hasLabel(spec model.Step) bool {
	return spec.Label == "" || slices.Contains(w.Labels, spec.Label)
}

// CanTake reports whether a task of the step fits on the worker and needs no label that it lacks.
func (w *Worker) CanTake(spec model.Step) bool {
	return w.Free.Fits(spec.Reserved()) && w.hasLabel(spec)
}

// runsOn reports whether one of the runs is on the worker.
func runsOn(active []model.Run, id model.WorkerID) bool {
	return slices.ContainsFunc(active, func(r model.Run) bool { return r.Worker == id })
}

// better reports whether a is a better choice than b for a task of the step.
func (p *planner) better(a, b *Worker, spec model.Step, step model.StepRef) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if a.Retiring != b.Retiring {
		return b.Retiring
	}
	if spec.Lasting && a.UpkeepDue != b.UpkeepDue {
		return b.UpkeepDue
	}
	if spec.Lasting {
		if x, y := p.countRuns(a, step), p.countRuns(b, step); x != y {
			return x < y
		}
	}
	if spec.NearRack != "" && (a.Rack == spec.NearRack) != (b.Rack == spec.NearRack) {
		return a.Rack == spec.NearRack
	}
	if a.awaited != b.awaited {
		return b.awaited
	}
	if spec.Need.Accelerators == 0 && a.Free.Accelerators != b.Free.Accelerators {
		return a.Free.Accelerators < b.Free.Accelerators
	}
	return a.Free.MilliCPU < b.Free.MilliCPU
}

// countRuns returns the number of runs of the step on the worker, including those
// started by this plan and those that are not assigned to it any more.
func (p *planner) countRuns(w *Worker, step model.StepRef) int {
	counts, ok := p.runCounts[w.ID]
	if !ok {
		counts = map[model.StepRef]int{}
		a, _ := p.state.Assignments.Get(w.ID)
		for run := range a.Runs.All() {
			counts[run.Task.StepRef()]++
		}
		for _, run := range w.Unassigned {
			counts[run.Task.StepRef()]++
		}
		p.runCounts[w.ID] = counts
	}
	return counts[step]
}

// countsRuns reports whether the choice of a worker depends on the runs of the step there.
func countsRuns(spec model.Step) bool { return spec.Lasting || spec.MaxPerWorker > 0 }

func (p *planner) start(w *Worker, c *candidate, spec model.Step, ref model.TaskRef, number int) {
	if countsRuns(spec) {
		p.countRuns(w, ref.StepRef())
		p.runCounts[w.ID][ref.StepRef()]++
	}
	c.account.Start(spec.Need)
	c.turn.started()
	w.Free = w.Free.Sub(spec.Reserved())
	w.Runs++
	w.FillerMilliCPU -= spec.Need.MilliCPU
	p.starts = append(p.starts, model.RunStart{Run: model.RunRef{Task: ref, Number: number}, Worker: w.ID})
}
