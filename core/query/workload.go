package query

import (
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// WorkloadAt returns the phase of the workload at the given host and path to a caller with
// the key. The code is NotFound if the address belongs to no queue, UnknownKey if the queue
// needs another key, Expired if the queue has no such workload, WrongAccount if it belongs to
// another account, and else OK.
func WorkloadAt(s model.State, host, path string, key *model.KeyDigest) (model.WorkloadPhase, result.Code) {
	q, rest, ok := s.Catalog.Resolve(host, path)
	if !ok {
		return 0, result.NotFound
	}
	account, ok := s.Catalog.Identify(&q, key)
	if !ok {
		return 0, result.UnknownKey
	}
	phase, owner, ok := phaseOf(s, model.WorkloadID(rest))
	w, active := s.Workloads.Get(model.WorkloadID(rest))
	switch {
	case !ok:
		return 0, result.Expired
	case !s.Catalog.MayAccess(account, owner):
		return 0, result.WrongAccount
	case active && w.Queue != q.Name:
		return 0, result.Expired
	}
	return phase, result.OK
}

// phaseOf returns the phase and the owner of a workload; false if it is not known.
func phaseOf(s model.State, id model.WorkloadID) (model.WorkloadPhase, model.Owner, bool) {
	if f, ok := s.Finished.Get(id); ok {
		return f.Phase, f.Owner(), true
	}
	w, ok := s.Workloads.Get(id)
	if !ok {
		return 0, model.Owner{}, false
	}
	return workloadPhase(w), w.Owner(), true
}

// PendingAt returns the number of workloads that have not started in the queue at the given
// host and path, to a caller with the key. The code is NotFound if the address is not that
// of a queue, UnknownKey if the queue needs another key, and else OK.
func PendingAt(s model.State, host, path string, key *model.KeyDigest) (int, result.Code) {
	q, rest, ok := s.Catalog.Resolve(host, path)
	if !ok || rest != "" {
		return 0, result.NotFound
	}
	if _, ok := s.Catalog.Identify(&q, key); !ok {
		return 0, result.UnknownKey
	}
	n := 0
	queue := model.Queues{q.Name: &q}
	for _, w := range s.Workloads.All() {
		if _, ok := queue.Of(&w); ok && !w.Started() {
			n++
		}
	}
	return n, result.OK
}
