package place

import (
	"cmp"
	"slices"
	"time"

	"lacewingturn.example/core/command/share"
	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

// candidate is a workload that may have tasks to start, with its sort keys.
type candidate struct {
	workload model.Workload
	pool     model.PoolName
	account  *share.Account // nil if the workload belongs to none
	priority int
	advised  bool            // tasks need a ticket of the policy service
	lasting  bool            // at least one step is lasting
	since    model.Timestamp // when the workload was accepted
	// deadline is when the workload should be complete, left is the estimated run
	// time of its remaining steps, and late is set if it will miss the deadline.
	deadline model.Timestamp
	left     time.Duration
	late     bool
	// beyondRate is set if its account submitted the workload beyond its rate.
	beyondRate bool
	// stepRuns is the number of active runs of the step that is being placed, those that the plan
	// starts included.
	stepRuns int
	// full holds the steps of which no task fits any more in any round.
	full map[int]bool
	// turn is nil if all of the workload is placed at once.
	turn *turn
}

// candidates returns the workloads that wait for a run in pools that have a worker with
// free capacity, in scheduling order: by priority with the lowest number first, then
// lasting workloads first, then those within the rates of their accounts, then workloads
// that can still meet their deadline before late ones, then by earliest deadline.
func (p *planner) candidates() []*candidate {
	return p.candidatesOf(func(name model.PoolName) bool { return p.pools[name].hasCapacity() })
}

// allCandidates returns the workloads of all pools that wait for a run, in scheduling
// order.
func (p *planner) allCandidates() []*candidate {
	return p.candidatesOf(func(model.PoolName) bool { return true })
}

func (p *planner) candidatesOf(include func(model.PoolName) bool) []*candidate {
	var out []*candidate
	for _, w := range p.state.Workloads.All() {
		if q, ok := p.queues.Of(&w); ok && include(q.Pool) && p.waits(w) {
			out = append(out, p.candidate(w, q))
		}
	}
	slices.SortFunc(out, compareCandidates)
	return out
}

// waits reports whether a task of the workload may need a run now.
func (p *planner) waits(w model.Workload) bool {
	for i, round := range w.Open(p.options.Now) {
		for j, step := range round.Steps() {
			if step.Complete() || !w.StepReady(i, j) {
				continue
			}
			copies := w.Steps[j].Speculative && p.options.NeedsCopy != nil
			if copies || step.Waiting() > 0 {
				return true
			}
		}
	}
	return false
}

func (p *planner) candidate(w model.Workload, q *model.Queue) *candidate {
	c := &candidate{workload: w, pool: q.Pool, account: p.shares.Account(w.Account), priority: q.Priority, advised: q.Advised, since: w.AcceptedAt, beyondRate: w.BeyondRate, left: query.RemainingCriticalPath(w)}
	for i := range w.Steps {
		c.lasting = c.lasting || w.Steps[i].Lasting
	}
	c.deadline = query.TargetCompletion(w, *q)
	c.late = c.deadline < p.options.Now.Add(c.left)
	return c
}

// markFull records that no task of the step fits any more.
func (c *candidate) markFull(step int) {
	if c.workload.Rounds.Len() == 1 {
		return
	}
	if c.full == nil {
		c.full = map[int]bool{}
	}
	c.full[step] = true
}

// firstStepsFull reports whether no step fits any more that waits for no other step.
func (c *candidate) firstStepsFull() bool {
	if c.full == nil {
		return false
	}
	for j := range c.workload.Steps {
		if len(c.workload.Steps[j].After) == 0 && !c.full[j] {
			return false
		}
	}
	return true
}

func compareCandidates(a, b *candidate) int {
	return cmp.Or(compareClasses(a, b), compare.TrueFirst(b.late, a.late),
		cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.workload.ID, b.workload.ID))
}

// compareClasses orders the classes of candidates. Accounts share the workers within a class.
func compareClasses(a, b *candidate) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), compare.TrueFirst(a.lasting, b.lasting), compare.TrueFirst(b.beyondRate, a.beyondRate))
}
