package job

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"lacewingturn.example/core/command/share"
	"lacewingturn.example/core/model"
)

// sequenceDigits is the length of the sequence number at the end of a queue key.
const sequenceDigits = 20

// afterGroup is a suffix that sorts after every sequence number of a group.
const afterGroup = "\xff"

// head is the first waiting job of a queue group. A queue group consists of the jobs
// whose queue keys differ only in the sequence number.
type head struct {
	group string
	key   string
	job   model.Job
	run   time.Duration // typical run time of the class; 0 if unknown
	share int           // used share of the team's quota, in sixteenths
}

// queueHeads returns the first job of each queue group. It seeks from group to
// group, so the cost does not depend on the number of jobs in a group. It returns at most
// maxTeamGroups groups per team, pool and urgency, so that a team with very many
// classes of jobs does not starve the others.
func (p *planner) queueHeads() []*head {
	var heads []*head
	cursor, owner, groups := "", "", 0
	for len(heads) < maxGroups {
		h := p.headFrom(cursor)
		if h == nil {
			break
		}
		cursor = h.group + afterGroup
		if o := h.job.QueueOwner(); o != owner {
			owner, groups = o, 0
		}
		if groups++; groups > maxTeamGroups {
			cursor = owner + afterGroup
			continue
		}
		heads = append(heads, h)
	}
	return heads
}

// headFrom returns the first job in the queue whose key is at least cursor, or nil.
func (p *planner) headFrom(cursor string) *head {
	for key, id := range p.s.JobIndex.Queue.From(cursor) {
		j, _ := p.s.Jobs.Get(id)
		h := &head{group: key[:len(key)-sequenceDigits], key: key, job: j}
		if e, ok := p.s.ClassEstimate(j); ok {
			h.run = e.Run
		}
		h.share = p.team(j.Team).share()
		return h
	}
	return nil
}

// share returns the share of the quota in use, in sixteenths, of the resource with
// the largest share; 0 if the team has no quota.
func (t *team) share() int {
	sixteenths := func(used, limit int64) int {
		if limit <= 0 {
			return 0
		}
		return int(used * 16 / limit)
	}
	if !t.limited {
		return 0
	}
	return max(sixteenths(t.used.MilliCPU, t.quota.MilliCPU), sixteenths(t.used.MemoryMB, t.quota.MemoryMB),
		sixteenths(t.used.Accelerators, t.quota.Accelerators))
}

// maxOvertakenRuns is how long shorter jobs may overtake a waiting job, as a
// multiple of its own run time. It prevents starvation.
const maxOvertakenRuns = 8

// dueTime is the sort key of the job among those of teams with the same share:
// shorter jobs come first, but a job that has waited long enough precedes them.
func (h *head) dueTime() model.Timestamp { return h.job.SubmittedAt.Add(maxOvertakenRuns * h.run) }

// headHeap orders urgent jobs first, then by the share of the team's quota in use,
// then by due time, then in order of submission.
type headHeap []*head

func (q headHeap) Len() int { return len(q) }

func (q headHeap) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.job.Urgent != b.job.Urgent {
		return a.job.Urgent
	}
	return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.dueTime(), b.dueTime()), cmp.Compare(a.job.Sequence, b.job.Sequence)) < 0
}

func (q headHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *headHeap) Push(x any)   { *q = append(*q, x.(*head)) }
func (q *headHeap) Pop() any {
	last := len(*q) - 1
	h := (*q)[last]
	*q = (*q)[:last]
	return h
}

// placeAll proposes placements for the first jobs of the queue groups. A group is left
// for the next pass once its first job does not fit and no jobs can be preempted for
// it. placeAll returns the groups whose first job exceeds the quota of its team; with
// borrow, such jobs may use idle capacity, but no jobs are preempted for them.
func (p *planner) placeAll(heads []*head, borrow bool) []*head {
	var overQuota []*head
	q := headHeap(heads)
	heap.Init(&q)
	for q.Len() > 0 {
		if p.placed >= maxPlacements {
			p.dueAt(p.now.Add(passInterval))
			return overQuota
		}
		h := q[0]
		t := p.team(h.job.Team)
		if share := t.share(); share != h.share { // a job of the team was placed from another group
			h.share = share
			heap.Fix(&q, 0)
			continue
		}
		size := p.s.JobSize(h.job, model.Instance{Capacity: h.job.Declared.Add(unlimited)})
		if !borrow && t.limited && !share.FitsCap(t.quota, t.used.Add(size)) {
			overQuota = append(overQuota, heap.Pop(&q).(*head))
			continue
		}
		if !p.placeJob(h, t, size, borrow) {
			if borrow || !p.preempt(h, size) {
				heap.Pop(&q)
				continue
			}
			t.used = t.used.Add(size)
		}
		if next := p.headFrom(h.key + afterGroup); next != nil && next.group == h.group {
			*h = *next
			heap.Fix(&q, 0)
			continue
		}
		heap.Pop(&q)
	}
	return overQuota
}

// unlimited exceeds the processors and memory of any worker. It gives the size of a
// job before it is clamped to a worker's capacity.
var unlimited = model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40}

// placeJob proposes to place the job. It reports false if the job fits on no worker,
// or if it is long and would exceed the share of the pool for long jobs.
func (p *planner) placeJob(h *head, t *team, size model.Resources, borrow bool) bool {
	pool := p.pool(h.job.Pool)
	long := p.long(pool, h.job)
	if long && (pool.longCPU+size.MilliCPU)*longShareDen > pool.milliCPU*longShareNum {
		return false
	}
	w := p.chooseWorker(h.job, size)
	if w == nil {
		return false
	}
	size = clamp(size, w.Capacity)
	p.propose(model.PlaceJob{ID: h.job.ID, Worker: w.ID, Borrow: borrow})
	p.placed++
	w.free = w.free.Sub(size)
	t.used = t.used.Add(size)
	if long {
		pool.longCPU += size.MilliCPU
	}
	sp := p.spreadOf(h.job.ClassKey())
	sp.dataCenters[w.dataCenter]++
	sp.racks[w.rack]++
	return true
}

// clamp limits processors and memory to the capacity of a worker.
func clamp(size, capacity model.Resources) model.Resources {
	size.MilliCPU, size.MemoryMB = min(size.MilliCPU, capacity.MilliCPU), min(size.MemoryMB, capacity.MemoryMB)
	return size
}

// chooseWorker returns the worker that spreads the class of the job best over data
// centres and racks, or nil if it fits on none. Ties go to the worker with the most
// free processors. A worker on which the job failed is used only if the job fits
// on no other.
func (p *planner) chooseWorker(j model.Job, size model.Resources) *worker {
	pool := p.pool(j.Pool)
	if slices.ContainsFunc(pool.full, size.Fits) && len(p.preempted[j.ID]) == 0 {
		return nil
	}
	var best, fallback *worker
	sp := p.spreadOf(j.ClassKey())
	for _, w := range pool.workers {
		if (w.reservedFor != "" && w.reservedFor != j.ID) || !w.free.Fits(clamp(size, w.Capacity)) {
			continue
		}
		if j.FailedOn.Has(w.ID) {
			fallback = w
			continue
		}
		if best == nil || spreadsBetter(sp, w, best) {
			best = w
		}
	}
	if best == nil {
		best = fallback
	}
	if best == nil {
		pool.full = append(pool.full, size)
	}
	return best
}

// spreadsBetter reports whether a is a better choice than b for the class of sp.
func spreadsBetter(sp *spread, a, b *worker) bool {
	if x, y := sp.dataCenters[a.dataCenter], sp.dataCenters[b.dataCenter]; x != y {
		return x < y
	}
	if x, y := sp.racks[a.rack], sp.racks[b.rack]; x != y {
		return x < y
	}
	return a.free.MilliCPU > b.free.MilliCPU
}
