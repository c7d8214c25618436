// Package advise decides which call to the policy service is made next: about which step, and
// about which workers. The service handles one call at a time, and a call takes longer the more
// workers it names, so that calls are a limited resource that queued work shares.
//
// Calls are made in scheduling order. A plan that takes missing answers for approvals shows which
// steps would start; a step for which no worker has free capacity is not among them. If nothing
// would start, calls are made in advance for the steps that would start first on empty workers.
package advise

import (
	"slices"
	"time"

	"lacewingturn.example/core/command/place"
	"lacewingturn.example/core/model"
)

const (
	// maxWorkers is the largest number of workers in one call.
	maxWorkers = 30
	// minWorkers is the number of workers that a call names at least, if so many can run the
	// step, because the service may refuse some of them.
	minWorkers = 6
	// prefetchStarts is the number of tasks for which calls are made in advance.
	prefetchStarts = 32
)

// Input is what a decision is based on.
type Input struct {
	State model.State
	// Workers are those that accept runs and that the service knows by their names.
	Workers []place.Worker
	// Capacity is what a worker has free when nothing runs on it.
	Capacity func(model.WorkerID) model.Resources
	// Options are those of the planner; TicketGranted is not used.
	Options place.Options
	// Withheld are the runs that are assigned to a worker and not started there for want of a
	// ticket. They come first, because capacity is reserved for them.
	Withheld []Withheld
	// empty is set if the workers are taken as if nothing ran.
	empty bool
}

// Withheld is a run of a step that waits for a ticket on its worker.
type Withheld struct {
	Step   model.StepRef
	Worker model.WorkerID
}

// Call is a call to the policy service.
type Call struct {
	Step    model.StepRef
	Workers []model.WorkerID
	// Prefetch is set if no worker has free capacity for the step yet.
	Prefetch bool
}

// Needed reports whether tasks of a queue wait that the policy service decides about.
func Needed(s model.State) bool {
	if s.Catalog == nil || !slices.ContainsFunc(s.Catalog.Queues, func(q model.Queue) bool { return q.Advised }) {
		return false
	}
	for _, w := range s.Workloads.All() {
		if q, ok := s.Catalog.QueueOf(w); ok && q.Advised {
			return true
		}
	}
	return false
}

// Next returns the call to make now; false if there is none.
func (a *Answers) Next(now time.Time, in Input) (Call, bool) {
	call, ok := a.next(now, in)
	if !ok {
		call, ok = a.next(now, in.onEmptyWorkers())
	}
	if ok {
		a.recordCall(now, call)
	}
	return call, ok
}

// onEmptyWorkers returns the input as it would be if nothing ran.
func (in Input) onEmptyWorkers() Input {
	in.Workers = slices.Clone(in.Workers)
	for i := range in.Workers {
		w := &in.Workers[i]
		w.Free = in.Capacity(w.ID)
		w.FillerMilliCPU = w.Free.MilliCPU
	}
	in.Options.MaxStarts, in.empty = prefetchStarts, true
	return in
}

// wanted is a step that would start on workers whose tickets are missing.
type wanted struct {
	step    model.StepRef
	workers []model.WorkerID
}

func (a *Answers) next(now time.Time, in Input) (Call, bool) {
	steps := a.wantedSteps(now, in)
	if len(steps) == 0 {
		return Call{}, false
	}
	next := a.turn(steps)
	return Call{Step: next.step, Workers: a.named(now, in, next), Prefetch: in.empty}, true
}

// wantedSteps returns the steps that would start if the service approved them and that lack
// tickets for that, in the order of scheduling.
func (a *Answers) wantedSteps(now time.Time, in Input) []wanted {
	var out wantedList
	for _, w := range in.Withheld {
		if a.mayGet(now, w.Step, w.Worker) {
			out.add(w.Step, w.Worker)
		}
	}
	options := in.Options
	options.TicketGranted = func(t model.TaskRef, w model.WorkerID) bool {
		_, valid := a.Ticket(now, t.StepRef(), w)
		return valid || a.mayGet(now, t.StepRef(), w)
	}
	queues := in.State.Catalog.QueuesByName()
	for _, start := range place.Plan(in.State, in.Workers, options) {
		step := start.Run.Task.StepRef()
		workload, _ := in.State.Workloads.Get(step.Workload)
		if q, ok := queues.Of(&workload); !ok || !q.Advised || !a.mayGet(now, step, start.Worker) {
			continue
		}
		out.add(step, start.Worker)
	}
	return out.steps
}

// wantedList is a list of steps without duplicates.
type wantedList struct {
	steps []wanted
	index map[model.StepRef]int
}

func (l *wantedList) add(step model.StepRef, w model.WorkerID) {
	i, ok := l.index[step]
	if !ok {
		if l.index == nil {
			l.index = map[model.StepRef]int{}
		}
		i = len(l.steps)
		l.index[step] = i
		l.steps = append(l.steps, wanted{step: step})
	}
	if workers := l.steps[i].workers; !slices.Contains(workers, w) {
		l.steps[i].workers = append(workers, w)
	}
}

// turn returns the first step, and with every second call the one that was asked about least
// recently. So steps that never start, whatever the answers, take half of the calls at most.
func (a *Answers) turn(steps []wanted) wanted {
	if a.calls%2 == 0 {
		return steps[0]
	}
	return slices.MinFunc(steps, func(x, y wanted) int { return a.askedAt(x.step).Compare(a.askedAt(y.step)) })
}

// named returns the workers that the call about a step names: those on which it would start, and
// others that could take it. The service has approved some of them before and will do so again; if
// that holds for all on which the step would start now, the call names no other.
func (a *Answers) named(now time.Time, in Input, next wanted) []model.WorkerID {
	out := next.workers[:min(len(next.workers), maxWorkers)]
	limit := min(maxWorkers, max(minWorkers, 2*len(out)))
	switch {
	case in.empty: // any worker may be the first one with free capacity
		limit = maxWorkers
	case !slices.ContainsFunc(out, func(w model.WorkerID) bool { return !a.approvedBefore(next.step, w) }):
		return out
	}
	workload, _ := in.State.Workloads.Get(next.step.Workload)
	q, _ := in.State.Catalog.QueueOf(workload)
	spec := workload.Steps[next.step.Step]
	for i := range in.Workers {
		w := &in.Workers[i]
		if len(out) >= limit {
			break
		}
		if w.Pool == q.Pool && w.CanTake(spec) && a.mayGet(now, next.step, w.ID) && !slices.Contains(out, w.ID) {
			out = append(out, w.ID)
		}
	}
	return out
}
