package place

import (
	"cmp"
	"slices"
	"time"

	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
)

// preemptAfter is the time from the acceptance of a workload until runs of a lower
// priority may be preempted for it.
const preemptAfter = 400 * time.Millisecond

// victim is a run that may be preempted, with its sort keys.
type victim struct {
	run           model.RunRef
	priority      int
	size          model.Resources
	checkpointing bool
	startedAt     model.Timestamp
}

// Preempt returns the runs to stop so that the most urgent waiting task of each
// pool fits on a worker. The runs of one pool are all on one worker, have a lower
// priority than the task, and are neither lasting nor members of a gang. The
// result depends only on the arguments: while the chosen runs are being stopped,
// repeated calls with the same state return the same runs and no further ones.
func Preempt(s model.State, workers []Worker, options Options) []model.RunRef {
	p := newPlanner(s, workers, options)
	var out []model.RunRef
	served := map[model.PoolName]bool{}
	for _, c := range p.allCandidates() {
		if served[c.pool] || options.Now.Sub(c.since) < preemptAfter {
			continue
		}
		spec, ok := firstWaiting(c.workload, options.Now)
		if !ok || !c.account.MayStart(spec.Need, 1) {
			continue
		}
		served[c.pool] = true
		out = append(out, p.victims(c, spec)...)
	}
	return out
}

// firstWaiting returns the first open step, in rounds that are due, with a task
// that has no run. Fillers and gangs do not preempt.
func firstWaiting(w model.Workload, now model.Timestamp) (model.Step, bool) {
	for i, round := range w.Open(now) {
		for j, state := range round.Steps() {
			if state.Waiting() > 0 && w.StepReady(i, j) && !w.Steps[j].Filler && !w.Steps[j].Gang {
				return w.Steps[j], true
			}
		}
	}
	return model.Step{}, false
}

// victims returns the runs on one worker whose end frees enough capacity for a task of
// the step. It takes the worker that needs the fewest. It returns nil if no worker has
// such runs, or if the task already fits on one.
func (p *planner) victims(c *candidate, spec model.Step) []model.RunRef {
	group := p.pools[c.pool]
	if group == nil || !p.hasLessUrgent(c) {
		return nil
	}
	allowed := func(w *Worker) bool { return spec.Label == "" || slices.Contains(w.Labels, spec.Label) }
	if slices.ContainsFunc(group.workers, func(w *Worker) bool { return allowed(w) && w.Free.Fits(spec.Reserved()) }) {
		return nil
	}
	var best []model.RunRef
	for _, w := range group.workers {
		if !allowed(w) {
			continue
		}
		if set := p.victimsOn(w, c.priority, spec.Reserved()); set != nil && (best == nil || len(set) < len(best)) {
			best = set
		}
	}
	return best
}

// hasLessUrgent reports whether a queue of the candidate's pool has a lower priority.
func (p *planner) hasLessUrgent(c *candidate) bool {
	for _, q := range p.queues {
		if q.Pool == c.pool && q.Priority > c.priority {
			return true
		}
	}
	return false
}

// victimsOn returns the runs to stop on the worker so that need fits, or nil if that is
// not possible. Runs that write checkpoints come first, then those that started last,
// because they lose the least progress.
func (p *planner) victimsOn(w *Worker, priority int, need model.Resources) []model.RunRef {
	var list []victim
	a, _ := p.state.Assignments.Get(w.ID)
	for run := range a.Runs.All() {
		if v, ok := p.victim(run); ok && v.priority > priority {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(compare.TrueFirst(a.checkpointing, b.checkpointing), cmp.Compare(b.startedAt, a.startedAt), cmp.Compare(a.run.Task.Workload, b.run.Task.Workload),
			cmp.Compare(a.run.Task.Index, b.run.Task.Index))
	})
	var out []model.RunRef
	free := w.Free
	for _, v := range list {
		out = append(out, v.run)
		free = free.Add(v.size)
		if free.Fits(need) {
			return out
		}
	}
	return nil
}

// victim returns the data of a run that may be preempted. It reports false for runs of
// lasting tasks and gangs, and of workloads or queues that no longer exist.
func (p *planner) victim(run model.RunRef) (victim, bool) {
	w, ok := p.state.Workloads.Get(run.Task.Workload)
	if !ok {
		return victim{}, false
	}
	q, ok := p.queues.Of(&w)
	step := w.Steps[run.Task.Step]
	if !ok || step.Lasting || step.Gang {
		return victim{}, false
	}
	task, _ := w.Task(run.Task)
	v := victim{run: run, priority: q.Priority, size: step.Reserved(), checkpointing: step.Checkpointing}
	for _, r := range task.Active {
		if r.Number == run.Number {
			v.startedAt = r.StartedAt
		}
	}
	return v, true
}
