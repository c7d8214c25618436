package workload

import (
	"slices"

	"lacewingturn.example/core/model"
)

// assign adds a run to the runs of its worker.
func assign(s *model.State, start model.RunStart) {
	a, _ := s.Assignments.Get(start.Worker)
	a.Worker = start.Worker
	a.Runs = append(slices.Clone(a.Runs), start.Run)
	s.Assignments = s.Assignments.Set(start.Worker, a)
}

// unassign removes all runs of a workload from a worker.
func unassign(s *model.State, worker model.WorkerID, id model.WorkloadID) {
	dropRuns(s, worker, func(r model.RunRef) bool { return r.Task.Workload == id })
}

func unassignRun(s *model.State, worker model.WorkerID, run model.RunRef) {
	dropRuns(s, worker, func(r model.RunRef) bool { return r == run })
}

func dropRuns(s *model.State, worker model.WorkerID, drop func(model.RunRef) bool) {
	a, ok := s.Assignments.Get(worker)
	if !ok {
		return
	}
	a.Runs = slices.DeleteFunc(slices.Clone(a.Runs), drop)
	if len(a.Runs) == 0 {
		s.Assignments = s.Assignments.Delete(worker)
		return
	}
	s.Assignments = s.Assignments.Set(worker, a)
}

// RebuildDerived returns the state with the assignments of each worker and the memory of the
// workloads, which a snapshot does not contain, rebuilt from the workloads.
func RebuildDerived(s model.State) model.State {
	CountStored(&s)
	byWorker := map[model.WorkerID]model.Assignment{}
	for _, w := range s.Workloads.All() {
		for ref, task := range w.Begun() {
			for _, run := range task.Active {
				a := byWorker[run.Worker]
				a.Worker = run.Worker
				a.Runs = append(a.Runs, model.RunRef{Task: ref, Number: run.Number})
				byWorker[run.Worker] = a
			}
		}
	}
	for id, a := range byWorker {
		s.Assignments = s.Assignments.Set(id, a)
	}
	return s
}
