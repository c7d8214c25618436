package workload

import "lacewingturn.example/core/model"

// assign adds a run to the runs of its worker.
func assign(s *model.State, start model.RunStart) {
	a, _ := s.Assignments.Get(start.Worker)
	a.Worker = start.Worker
	a.Runs = a.Runs.Add(start.Run)
	s.Assignments = s.Assignments.Set(start.Worker, a)
}

// unassign removes a run from the runs of its worker.
func unassign(s *model.State, worker model.WorkerID, run model.RunRef) {
	a, ok := s.Assignments.Get(worker)
	if !ok {
		return
	}
	if a.Runs = a.Runs.Remove(run); a.Runs.Len() == 0 {
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
				a.Runs = a.Runs.Add(model.RunRef{Task: ref, Number: run.Number})
				byWorker[run.Worker] = a
			}
		}
	}
	for id, a := range byWorker {
		s.Assignments = s.Assignments.Set(id, a)
	}
	return s
}
