package schedule

import (
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

// failedRuns returns the runs that the report lists as failed. A run of a gang fails as a
// whole, so that of the members that failed in one run only the first is returned.
func failedRuns(s model.State, r Report) []model.RunRef {
	var out []model.RunRef
	for _, end := range r.Ended {
		if end.Outcome != model.RunFailed {
			continue
		}
		if !slices.ContainsFunc(out, func(other model.RunRef) bool { return sameGangRun(s, other, end.Run) }) {
			out = append(out, end.Run)
		}
	}
	return out
}

// sameGangRun reports whether the runs of two tasks are one run of a gang.
func sameGangRun(s model.State, a, b model.RunRef) bool {
	return a.Number == b.Number && sameGang(s, a.Task, b.Task)
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
	return slices.Contains(a.Runs, run) && !(w.Steps[run.Task.Step].Gang && run.Number <= step.GangProgress().LastFailedRun)
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
