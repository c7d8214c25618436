package query

import "lacewingturn.example/core/model"

// WorkloadAt returns the phase of the workload at the given host and path. Known is
// false if there is no such workload, queue is false if the address belongs to no
// queue.
func WorkloadAt(s model.State, host, path string) (phase model.WorkloadPhase, known, queue bool) {
	_, rest, ok := s.Catalog.Resolve(host, path)
	if !ok {
		return 0, false, false
	}
	id := model.WorkloadID(rest)
	if f, ok := s.Finished.Get(id); ok {
		return f.Phase, true, true
	}
	w, ok := s.Workloads.Get(id)
	if !ok {
		return 0, false, true
	}
	return workloadPhase(w), true, true
}

// PendingAt returns the number of workloads that have not started in the queue at
// the given host and path. It reports false if the address is not that of a queue.
func PendingAt(s model.State, host, path string) (int, bool) {
	q, rest, ok := s.Catalog.Resolve(host, path)
	if !ok || rest != "" {
		return 0, false
	}
	n := 0
	queue := model.Queues{q.Name: &q}
	for _, w := range s.Workloads.All() {
		if _, ok := queue.Of(&w); ok && !w.Started() {
			n++
		}
	}
	return n, true
}
