package place

import (
	"cmp"
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

// candidate is a workload that may have tasks to start.
type candidate struct {
	workload model.Workload
	pool     model.PoolName
	priority int
	advised  bool
	lasting  bool
	since    model.Timestamp // when it was accepted
	// deadline is when it should be complete; late is set once it cannot be.
	deadline model.Timestamp
	late     bool
}

// candidates lists the workloads of pools that have a worker with room, in the
// order in which they are served: by priority, lasting ones first, those that
// can still be in time before the late ones, and the earliest deadline first.
func (p *planner) candidates() []candidate {
	pools := map[model.PoolName]bool{}
	for _, w := range p.workers {
		if w.Free.MilliCPU >= minRoom {
			pools[w.Pool] = true
		}
	}
	return p.candidatesOf(func(pool model.PoolName) bool { return pools[pool] })
}

// allCandidates lists the workloads of all pools in the same order.
func (p *planner) allCandidates() []candidate {
	return p.candidatesOf(func(model.PoolName) bool { return true })
}

func (p *planner) candidatesOf(wanted func(model.PoolName) bool) []candidate {
	var out []candidate
	for _, w := range p.state.Workloads.All() {
		if q, ok := p.state.Catalog.Queue(w.Queue); ok && wanted(q.Pool) {
			out = append(out, p.candidate(w, q))
		}
	}
	slices.SortStableFunc(out, compare)
	return out
}

func (p *planner) candidate(w model.Workload, q model.Queue) candidate {
	left := Remaining(w)
	c := candidate{workload: w, pool: q.Pool, priority: q.Priority, advised: q.Advised, since: w.AcceptedAt}
	for _, s := range w.Steps {
		c.lasting = c.lasting || s.Lasting
	}
	c.deadline = Deadline(w, q)
	c.late = c.deadline < p.rules.Now.Add(left)
	return c
}

func compare(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), compareBool(b.lasting, a.lasting), compareBool(a.late, b.late),
		cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.workload.ID, b.workload.ID))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Deadline returns when the workload should be complete: its first due time,
// the stretched chain of its steps and the queue's target.
func Deadline(w model.Workload, q model.Queue) model.Timestamp {
	chain := chainOf(w, func(int) bool { return true })
	return w.Due(0).Add(time.Duration(float64(chain)*q.Stretch) + q.Target)
}

// Remaining estimates the longest chain of steps that are not complete in the
// first unfinished round.
func Remaining(w model.Workload) time.Duration {
	for _, r := range w.Rounds {
		if left := chainOf(w, func(step int) bool { return !r.Steps[step].Complete() }); left > 0 {
			return left
		}
	}
	return 0
}

// chainOf returns the longest sum of estimates along the dependencies of steps
// that count.
func chainOf(w model.Workload, counts func(step int) bool) time.Duration {
	ends := make([]time.Duration, len(w.Steps))
	var longest time.Duration
	for i, s := range w.Steps {
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		if counts(i) {
			ends[i] += s.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}
