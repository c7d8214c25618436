package query

import (
	"fmt"

	"lacewingturn.example/core/model"
)

// maxNamedRuns is the maximum number of runs listed in an explanation, or per
// incarnation for a worker.
const maxNamedRuns = 10

// maxNamedRounds is the maximum number of rounds listed in an explanation.
const maxNamedRounds = 20

// workload explains a workload that has not ended: the progress of its steps and
// the workers of its active runs.
func (e *Explanation) workload(s model.State, w model.Workload) {
	q, listed := s.Catalog.QueueOf(w)
	e.Condition = fmt.Sprintf("%s, queue %s, pool %s, accepted %s ago", workloadPhase(w), w.Queue, q.Pool, e.elapsed(w.AcceptedAt))
	if !listed {
		e.addReason("the catalog in force has no queue %s any more, so that nothing is started", w.Queue)
		if w.Address != nil {
			e.addReason("its queue is the one at host %s with the prefix %s, whatever its name", w.Address.Host, w.Address.Prefix)
		}
		e.addNext("publish a catalog with the queue, or cancel the workload")
	} else if due := TargetCompletion(w, q); due < e.now {
		e.addReason("it should have been complete %s ago", e.elapsed(due))
	}
	named := 0
	first := 0
	if w.Rounds.Len() > maxNamedRounds {
		first = min(w.Rounds.FirstUnfinished(), w.Rounds.Len()-maxNamedRounds)
		e.addReason("%d of %d rounds are complete; the rounds %d to %d follow", w.Rounds.Completed(), w.Rounds.Len(), first, first+maxNamedRounds-1)
	}
	for i := first; i < min(first+maxNamedRounds, w.Rounds.Len()); i++ {
		for j, step := range w.Rounds.At(i).Steps() {
			e.step(w, i, j, *step)
			named += e.runs(w, i, j, *step, maxNamedRuns-named)
		}
	}
}

func (e *Explanation) step(w model.Workload, round, step int, state model.StepState) {
	where := fmt.Sprintf("step %d of round %d", step, round)
	switch {
	case state.Complete():
		e.addReason("%s is complete", where)
		return
	case w.Due(round) > e.now:
		e.addReason("%s is due in %s", where, w.Due(round).Sub(e.now))
		return
	case !w.StepReady(round, step):
		e.addReason("%s waits for steps %v", where, w.Steps[step].After)
		return
	}
	for _, wait := range e.observations.Waits[w.ID] {
		if wait.Round == round && wait.Step == step {
			e.addReason("%s: %d tasks wait for workers in rack %s, expected in %s, and start elsewhere in %s at the latest",
				where, wait.Tasks, wait.Rack, max(0, wait.Expected.Sub(e.now)), max(0, wait.Until.Sub(e.now)))
		}
	}
	failures := state.GangProgress().FailedRuns
	for _, t := range state.Tasks.Begun() {
		failures += t.Failures
	}
	e.addReason("%s: %d of %d tasks are done, %d runs are active, %d tasks wait for room for %s, %d runs have failed (%d of one task end the workload)",
		where, state.Done, state.Tasks.Len(), state.Tasks.Runs(), state.Waiting(), Capacity(w.Steps[step].Reserved()), failures, w.MaxFailures)
}

// runs lists up to limit active runs of a step and returns the number listed.
func (e *Explanation) runs(w model.Workload, round, step int, state model.StepState, limit int) (named int) {
	for index, t := range state.Tasks.Begun() {
		for _, run := range t.Active {
			if named == limit {
				return named
			}
			e.addReason("run %d of task %d of step %d in round %d is on worker %s since %s ago", run.Number, index, step, round, run.Worker, e.elapsed(run.StartedAt))
			named++
		}
	}
	return named
}

// finished explains a workload that has ended.
func (e *Explanation) finished(f model.FinishedWorkload) {
	e.Condition = fmt.Sprintf("%s, queue %s, ended %s ago", f.Phase, f.Queue, e.elapsed(f.EndedAt))
	if f.Reason != "" {
		e.addReason("%s", f.Reason)
		e.addNext("follow the workload's ID through the logs: event 6032 names each run that ended early, its worker and the cause")
	}
}

// worker lists the runs assigned to each incarnation of a worker.
func (e *Explanation) worker(list []model.Assignment) {
	e.Condition = fmt.Sprintf("%d incarnations have runs", len(list))
	for _, a := range list {
		e.addReason("%s has %d runs", a.Worker, a.Runs.Len())
		named := 0
		for run := range a.Runs.All() {
			if named++; named > maxNamedRuns {
				break
			}
			e.addReason("%s: run %d of task %d of step %d in round %d of workload %s", a.Worker, run.Number, run.Task.Index, run.Task.Step, run.Task.Round, run.Task.Workload)
		}
	}
}
