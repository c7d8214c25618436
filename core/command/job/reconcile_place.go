package job

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

// sequenceDigits is the length of the sequence at the end of a queue key.
const sequenceDigits = 20

// afterGroup sorts after every sequence of a group.
const afterGroup = "\xff"

// head is the first waiting job of a queue group.
type head struct {
	group string
	key   string
	job   model.Job
	run   time.Duration // expected; 0 if unknown
	share int           // of the team's quota in use, in sixteenths
}

// queueHeads returns the first job of each queue group. Groups are skipped from
// one to the next, so the cost does not depend on their length. Of each team in
// each pool only some groups are read, so that one with very many kinds of jobs
// does not hide the others.
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

func (p *planner) headFrom(cursor string) *head {
	for key, id := range p.s.JobIndex.Queue.From(cursor) {
		j, _ := p.s.Jobs.Get(id)
		h := &head{group: key[:len(key)-sequenceDigits], key: key, job: j}
		if e, ok := p.s.LearnedClass(j); ok {
			h.run = e.Run
		}
		h.share = p.team(j.Team).share()
		return h
	}
	return nil
}

// share returns the largest part of the quota in use, in sixteenths.
func (t *team) share() int {
	part := func(used, of int64) int {
		if of <= 0 {
			return 0
		}
		return int(used * 16 / of)
	}
	if !t.limited {
		return 0
	}
	return max(part(t.used.MilliCPU, t.quota.MilliCPU), part(t.used.MemoryMB, t.quota.MemoryMB),
		part(t.used.Accelerators, t.quota.Accelerators))
}

// agingRuns is how many of its own run times a job may be overtaken by shorter
// ones before it goes first.
const agingRuns = 8

// due orders jobs: shorter ones first, but none is overtaken for ever.
func (h *head) due() model.Timestamp { return h.job.SubmittedAt.Add(agingRuns * h.run) }

// headHeap orders urgent jobs first, then teams with less of their quota in
// use, then by due time.
type headHeap []*head

func (q headHeap) Len() int { return len(q) }

func (q headHeap) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.job.Urgent != b.job.Urgent {
		return a.job.Urgent
	}
	return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.due(), b.due()), cmp.Compare(a.job.Sequence, b.job.Sequence)) < 0
}

func (q headHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *headHeap) Push(x any)   { *q = append(*q, x.(*head)) }
func (q *headHeap) Pop() any {
	last := len(*q) - 1
	h := (*q)[last]
	*q = (*q)[:last]
	return h
}

// placeAll places jobs group by group. A group whose first job does not fit is
// left for the next pass. It returns the groups that are over the quota of
// their team; with borrow they may use what capacity is left.
func (p *planner) placeAll(heads []*head, borrow bool) []*head {
	var over []*head
	q := headHeap(heads)
	heap.Init(&q)
	for q.Len() > 0 {
		if p.placed >= maxPlacements {
			p.dueAt(p.now.Add(passGap))
			return over
		}
		h := q[0]
		t := p.team(h.job.Team)
		if share := t.share(); share != h.share { // the team got a job in another group
			h.share = share
			heap.Fix(&q, 0)
			continue
		}
		size := p.s.JobSize(h.job, model.Instance{Capacity: h.job.Declared.Add(unbounded)})
		if !borrow && t.limited && !fitsQuota(t.quota, t.used.Add(size)) {
			over = append(over, heap.Pop(&q).(*head))
			continue
		}
		if !p.placeOne(h, t, size, borrow) {
			if borrow || !p.makeRoom(h, size) {
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
	return over
}

// unbounded is larger than any worker, to get the size before it is cut down to one.
var unbounded = model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40}

func (p *planner) placeOne(h *head, t *team, size model.Resources, borrow bool) bool {
	pool := p.pool(h.job.Pool)
	long := p.long(pool, h.job)
	if long && (pool.longCPU+size.MilliCPU)*longDen > pool.milliCPU*longNum {
		return false
	}
	w := p.choose(h.job, size)
	if w == nil {
		return false
	}
	size = cut(size, w.Capacity)
	p.propose(model.PlaceJob{ID: h.job.ID, Worker: w.ID, Borrow: borrow})
	p.placed++
	w.free = w.free.Sub(size)
	t.used = t.used.Add(size)
	if long {
		pool.longCPU += size.MilliCPU
	}
	sp := p.spreadOf(h.job.ClassKey())
	sp.centers[w.center]++
	sp.racks[w.rack]++
	return true
}

func cut(size, capacity model.Resources) model.Resources {
	size.MilliCPU, size.MemoryMB = min(size.MilliCPU, capacity.MilliCPU), min(size.MemoryMB, capacity.MemoryMB)
	return size
}

// choose returns the worker on which the class of the job is spread best over
// data centres and racks, and of equal ones that with the most free processors.
// Workers on which the job failed are used only if there is no other.
func (p *planner) choose(j model.Job, size model.Resources) *worker {
	pool := p.pool(j.Pool)
	if slices.ContainsFunc(pool.full, size.Fits) && len(p.yielding[j.ID]) == 0 {
		return nil
	}
	var best, last *worker
	sp := p.spreadOf(j.ClassKey())
	for _, w := range pool.workers {
		if (w.heldFor != "" && w.heldFor != j.ID) || !w.free.Fits(cut(size, w.Capacity)) {
			continue
		}
		if j.FailedOn.Has(w.ID) {
			last = w
			continue
		}
		if best == nil || better(sp, w, best) {
			best = w
		}
	}
	if best == nil {
		best = last
	}
	if best == nil {
		pool.full = append(pool.full, size)
	}
	return best
}

func better(sp *spread, a, b *worker) bool {
	if x, y := sp.centers[a.center], sp.centers[b.center]; x != y {
		return x < y
	}
	if x, y := sp.racks[a.rack], sp.racks[b.rack]; x != y {
		return x < y
	}
	return a.free.MilliCPU > b.free.MilliCPU
}
