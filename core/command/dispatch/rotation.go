package dispatch

import (
	"container/heap"
	"time"

	"lacewingturn.example/core/model"
)

// rotation gives one item to each caller in turn, in the order of the caller
// IDs. Callers ahead of the last one served are in round, the others in after.
type rotation struct {
	compare func(a, b model.CallerID) int
	cap     int // running items allowed for each caller; 0 means no limit
	callers map[model.CallerID]*rotating
	queued  map[ItemID]*waiting
	running map[ItemID]*rotating
	round   callerHeap
	after   callerHeap
	last    *model.CallerID // nil at the start of a round
}

type rotating struct {
	id      model.CallerID
	queue   queue
	live    int // queued and not cancelled
	running int
	listed  bool // in one of the heaps
}

func newRotation(compare func(a, b model.CallerID) int, limit int) *rotation {
	return &rotation{
		compare: compare, cap: limit,
		callers: map[model.CallerID]*rotating{}, queued: map[ItemID]*waiting{}, running: map[ItemID]*rotating{},
		round: callerHeap{compare: compare}, after: callerHeap{compare: compare},
	}
}

func (r *rotation) Arrive(_ time.Time, item Item) {
	c := r.callers[item.Caller]
	if c == nil {
		c = &rotating{id: item.Caller}
		r.callers[item.Caller] = c
	}
	w := &waiting{Item: item}
	r.queued[item.ID] = w
	c.queue.push(w)
	c.live++
	r.list(c)
}

// list puts a caller that may be served into the heap of its place in the rotation.
func (r *rotation) list(c *rotating) {
	if c.listed || c.live == 0 || (r.cap > 0 && c.running >= r.cap) {
		return
	}
	c.listed = true
	if r.last == nil || r.compare(c.id, *r.last) > 0 {
		heap.Push(&r.round, c)
		return
	}
	heap.Push(&r.after, c)
}

func (r *rotation) Next(now time.Time, free int) Decision {
	var d Decision
	for len(d.Start) < free {
		c := r.turn()
		if c == nil {
			break
		}
		r.serve(now, c, &d)
	}
	return d
}

// turn takes the next caller of the rotation out of its heap.
func (r *rotation) turn() *rotating {
	if r.round.Len() == 0 {
		if r.after.Len() == 0 {
			return nil // the place in the rotation is kept
		}
		r.round, r.after = r.after, r.round
		r.last = nil
	}
	c := heap.Pop(&r.round).(*rotating)
	c.listed = false
	return c
}

func (r *rotation) serve(now time.Time, c *rotating, d *Decision) {
	expired := len(d.Expired)
	w := c.queue.pop(now, &d.Expired)
	for _, item := range d.Expired[expired:] {
		delete(r.queued, item.ID)
		c.live--
	}
	if w != nil {
		c.live--
		c.running++
		delete(r.queued, w.ID)
		r.running[w.ID] = c
		r.last = &c.id
		d.Start = append(d.Start, w.Item)
	}
	r.list(c)
	r.forget(c)
}

// forget drops a caller with nothing queued or running.
func (r *rotation) forget(c *rotating) {
	if c.live == 0 && c.running == 0 && !c.listed {
		delete(r.callers, c.id)
	}
}

func (r *rotation) Complete(_ time.Time, id ItemID, _ time.Duration) {
	c, ok := r.running[id]
	if !ok {
		return
	}
	delete(r.running, id)
	c.running--
	r.list(c)
	r.forget(c)
}

func (r *rotation) Cancel(_ time.Time, id ItemID) bool {
	w, ok := r.queued[id]
	if !ok {
		return false
	}
	w.cancelled = true
	delete(r.queued, id)
	r.callers[w.Caller].live--
	return true
}

func (r *rotation) Stats(time.Time) Stats {
	return Stats{Queued: len(r.queued), Running: len(r.running)}
}

// callerHeap is a heap of callers by their IDs.
type callerHeap struct {
	compare func(a, b model.CallerID) int
	list    []*rotating
}

func (h *callerHeap) Len() int           { return len(h.list) }
func (h *callerHeap) Less(i, j int) bool { return h.compare(h.list[i].id, h.list[j].id) < 0 }
func (h *callerHeap) Swap(i, j int)      { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *callerHeap) Push(x any)         { h.list = append(h.list, x.(*rotating)) }
func (h *callerHeap) Pop() any {
	n := len(h.list) - 1
	c := h.list[n]
	h.list[n] = nil
	h.list = h.list[:n]
	return c
}
