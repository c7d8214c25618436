package model

import "lacewingturn.example/core/table"

// Holder names who stored work counts for: a client account, or a queue for work without one.
type Holder string

// HolderOf returns the holder of a workload of the account and the queue.
func HolderOf(account AccountName, queue QueueName) Holder {
	if account != "" {
		return Holder("account " + account)
	}
	return Holder("queue " + queue)
}

// StoredWork is the memory that the workloads take that have not ended, in bytes. It is an
// estimate that is equal on all replicas.
type StoredWork struct {
	Total int64
	// ByHolder is the part of Total that the workloads took when they were accepted, by holder.
	ByHolder table.Table[Holder, int64]
}

// outcomeBytes is the memory of a workload that has ended.
const outcomeBytes = 384

// StoredBytes returns the memory that all workloads take, active and ended, in bytes.
func (s *State) StoredBytes() int64 { return s.Stored.Total + outcomeBytes*int64(s.Finished.Len()) }

// Charge changes the memory of a holder.
func (s *StoredWork) Charge(h Holder, bytes int64) {
	held, _ := s.ByHolder.Get(h)
	if held += bytes; held == 0 {
		s.ByHolder = s.ByHolder.Delete(h)
	} else {
		s.ByHolder = s.ByHolder.Set(h, held)
	}
}
