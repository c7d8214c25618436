package place

import (
	"cmp"
	"slices"
	"time"

	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

// candidate is a workload that may have tasks to start.
type candidate struct {
	workload model.Workload
	pool     model.PoolName
	priority int
	advised  bool
	lasting  bool
	since    model.Timestamp // when it was accepted
	// deadline is when it should be complete, left what its steps still take; late
	// is set once it cannot be in time.
	deadline model.Timestamp
	left     time.Duration
	late     bool
	// nearOnly is set while the present step waits for workers near its data.
	nearOnly bool
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
		if q, ok := p.queues[w.Queue]; ok && wanted(q.Pool) {
			out = append(out, p.candidate(w, q))
		}
	}
	slices.SortStableFunc(out, compareCandidates)
	return out
}

func (p *planner) candidate(w model.Workload, q model.Queue) candidate {
	c := candidate{workload: w, pool: q.Pool, priority: q.Priority, advised: q.Advised, since: w.AcceptedAt, left: query.Remaining(w)}
	for _, s := range w.Steps {
		c.lasting = c.lasting || s.Lasting
	}
	c.deadline = query.Deadline(w, q)
	c.late = c.deadline < p.rules.Now.Add(c.left)
	return c
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), compare.TrueFirst(a.lasting, b.lasting), compare.TrueFirst(b.late, a.late),
		cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.workload.ID, b.workload.ID))
}
