package schedule

import (
	"time"

	"lacewingturn.example/core/model"
)

// failedRuns returns the runs that the report lists as failed. A run of a gang fails as a
// whole, so that of the members that failed in one run only the first is returned.
func failedRuns(s model.State, r Report) map[model.RunRef]bool {
	out, gangs := map[model.RunRef]bool{}, map[model.RunRef]bool{}
	for _, end := range r.Ended {
		if end.Outcome != model.RunFailed {
			continue
		}
		if gang, ok := gangRun(s, end.Run); ok {
			if gangs[gang] {
				continue
			}
			gangs[gang] = true
		}
		out[end.Run] = true
	}
	return out
}

// gangRun returns the run of the first member of the run's gang; false if the task belongs to
// none.
func gangRun(s model.State, run model.RunRef) (model.RunRef, bool) {
	w, ok := s.Workloads.Get(run.Task.Workload)
	if !ok || !w.Has(run.Task) || !w.Steps[run.Task.Step].Gang {
		return run, false
	}
	run.Task.Index = 0
	return run, true
}

// isNewFailure reports whether the failure of a run on the worker has not been counted: the
// run is recorded as active there, and no other member of its gang has failed it. A worker
// lists its ends again until they are acknowledged.
func isNewFailure(s model.State, id model.WorkerID, run model.RunRef) bool {
	w, ok := s.Workloads.Get(run.Task.Workload)
	if !ok || !w.Has(run.Task) {
		return false
	}
	a, _ := s.Assignments.Get(id)
	step := w.Rounds.Step(run.Task.Round, run.Task.Step)
	return a.Runs.Has(run) && !(w.Steps[run.Task.Step].Gang && run.Number <= step.GangProgress().LastFailedRun)
}

// avoidAfterFailure keeps the tasks of a failed run from the worker for avoidPeriod. For a
// gang these are all its members, because one that fails ends the run of all.
func (m *Machine) avoidAfterFailure(now time.Time, s model.State, run model.RunRef, id model.WorkerID) {
	w, ok := s.Workloads.Get(run.Task.Workload)
	if !ok || !w.Has(run.Task) || !w.Steps[run.Task.Step].Gang {
		m.avoided.add(now, run.Task, id)
		return
	}
	member := run.Task
	for member.Index = range w.Steps[run.Task.Step].Count {
		m.avoided.add(now, member, id)
	}
}
