package workload

import (
	"unsafe"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

const (
	// workloadBytes is the memory of a workload on a replica without its steps: its place in
	// the table and the indexes, its name and that of its queue, and the list of its rounds.
	workloadBytes = 896
	// stepBytes is the memory of a step beyond its fields: the progress that all rounds share.
	stepBytes = 288
)

// Cost returns the memory that a workload takes on a replica, in bytes.
func Cost(w *model.Workload) int64 { return submittedCost(w) + w.Rounds.Bytes() }

// submittedCost returns the memory that the workload takes before its first run.
func submittedCost(w *model.Workload) int64 {
	cost := int64(workloadBytes + len(w.Payload))
	for i := range w.Steps {
		s := &w.Steps[i]
		cost += stepBytes + int64(unsafe.Sizeof(*s)) + int64(len(s.Label)+len(s.NearRack)+len(s.Image)+8*len(s.After))
	}
	return cost
}

// checkBudget returns why a workload must not be stored, or OK. The budget is the number of
// bytes that the leader allows for all workloads; 0 means no limit.
//
// A holder may take as much as it leaves to the others, so that one that sends more than can be
// stored takes half of the budget at most, and another one still finds room.
func checkBudget(s *model.State, w *model.Workload, budget int64) result.Result {
	if budget == 0 {
		return result.Result{Code: result.OK}
	}
	cost := Cost(w)
	if cost > budget/2 {
		return result.New(result.InvalidInput, "the workload takes %d bytes of memory; at most %d are possible", cost, budget/2)
	}
	holder := model.HolderOf(w.Account, w.Queue)
	held, _ := s.Stored.ByHolder.Get(holder)
	if left := budget - s.StoredBytes() - cost; held+cost > left {
		return result.New(result.Overloaded, "the workload takes %d bytes of memory beside %d of %s and %d of all others; the limit is %d",
			cost, held, holder, s.StoredBytes()-held, budget)
	}
	return result.Result{Code: result.OK}
}

// count adds the memory of a workload to the stored work n times. Its holder is charged for what
// the workload takes before its first run.
func count(stored *model.StoredWork, w *model.Workload, n int64) {
	submitted := submittedCost(w)
	stored.Total += n * (submitted + w.Rounds.Bytes())
	stored.Charge(model.HolderOf(w.Account, w.Queue), n*submitted)
}

// add stores a workload and counts its memory.
func add(s *model.State, w model.Workload) {
	s.Workloads = s.Workloads.Set(w.ID, w)
	count(&s.Stored, &w, 1)
}

// update stores a workload with other progress.
func update(s *model.State, old, w model.Workload) {
	s.Workloads = s.Workloads.Set(w.ID, w)
	s.Stored.Total += w.Rounds.Bytes() - old.Rounds.Bytes()
}

// remove removes a workload.
func remove(s *model.State, id model.WorkloadID) {
	w, _ := s.Workloads.Get(id)
	s.Workloads = s.Workloads.Delete(id)
	count(&s.Stored, &w, -1)
}

// CountStored counts the memory of the workloads, which a snapshot does not contain, and which
// has to be counted again when workloads change their queue.
func CountStored(s *model.State) {
	s.Stored = model.StoredWork{}
	for _, w := range s.Workloads.All() {
		count(&s.Stored, &w, 1)
	}
}
