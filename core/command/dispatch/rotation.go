package dispatch

import (
	"container/heap"
	"time"

	"lacewingturn.example/core/model"
)

// rotation serves one item of each caller in turn, ordered by caller ID. Callers with IDs above
// that of the last caller served are in thisRound, the others in nextRound.
type rotation struct {
	compare   func(a, b model.CallerID) int
	cap       int // running items allowed for each caller; 0 means no limit
	callers   map[model.CallerID]*callerState
	queued    map[ItemID]*waiting
	running   map[ItemID]*callerState
	thisRound callerHeap
	nextRound callerHeap
	last      *model.CallerID // last caller served; nil at the start of a round
}

type callerState struct {
	id      model.CallerID
	queue   queue
	queued  int // items that are queued and not cancelled
	running int
	listed  bool // in one of the heaps
}

func newRotation(compare func(a, b model.CallerID) int, limit int) *rotation {
	return &rotation{
		compare: compare, cap: limit,
		callers: map[model.CallerID]*callerState{}, queued: map[ItemID]*waiting{}, running: map[ItemID]*callerState{},
		thisRound: callerHeap{compare: compare}, nextRound: callerHeap{compare: compare},
	}
}

func (r *rotation) Arrive(_ time.Time, item Item) {
	c := r.callers[item.Caller]
	if c == nil {
		c = &callerState{id: item.Caller}
		r.callers[item.Caller] = c
	}
	w := &waiting{Item: item}
	r.queued[item.ID] = w
	c.queue.push(w)
	c.queued++
	r.enqueue(c)
}

// enqueue adds a caller that may be served to the heap for this or the next round.
func (r *rotation) enqueue(c *callerState) {
	if c.listed || c.queued == 0 || (r.cap > 0 && c.running >= r.cap) {
		return
	}
	c.listed = true
	if r.last == nil || r.compare(c.id, *r.last) > 0 {
		heap.Push(&r.thisRound, c)
		return
	}
	heap.Push(&r.nextRound, c)
}

func (r *rotation) Next(now time.Time, free int) Decision {
	var d Decision
	for len(d.Start) < free {
		c := r.nextCaller()
		if c == nil {
			break
		}
		r.serve(now, c, &d)
	}
	return d
}

// nextCaller removes the next caller of the rotation from its heap; nil if there is none.
func (r *rotation) nextCaller() *callerState {
	if r.thisRound.Len() == 0 {
		if r.nextRound.Len() == 0 {
			return nil // last is kept, so that the round continues with the next arrival
		}
		r.thisRound, r.nextRound = r.nextRound, r.thisRound
		r.last = nil
	}
	c := heap.Pop(&r.thisRound).(*callerState)
	c.listed = false
	return c
}

func (r *rotation) serve(now time.Time, c *callerState, d *Decision) {
	expired := len(d.Expired)
	w := c.queue.pop(now, &d.Expired)
	for _, item := range d.Expired[expired:] {
		delete(r.queued, item.ID)
		c.queued--
	}
	if w != nil {
		c.queued--
		c.running++
		delete(r.queued, w.ID)
		r.running[w.ID] = c
		r.last = &c.id
		d.Start = append(d.Start, w.Item)
	}
	r.enqueue(c)
	r.dropIfIdle(c)
}

// dropIfIdle removes a caller with nothing queued or running.
func (r *rotation) dropIfIdle(c *callerState) {
	if c.queued == 0 && c.running == 0 && !c.listed {
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
	r.enqueue(c)
	r.dropIfIdle(c)
}

func (r *rotation) Cancel(_ time.Time, id ItemID) bool {
	w, ok := r.queued[id]
	if !ok {
		return false
	}
	w.cancelled = true
	delete(r.queued, id)
	r.callers[w.Caller].queued--
	return true
}

func (r *rotation) Stats(time.Time) Stats {
	return Stats{Queued: len(r.queued), Running: len(r.running)}
}

// callerHeap is a heap of callers ordered by ID.
type callerHeap struct {
	compare func(a, b model.CallerID) int
	list    []*callerState
}

func (h *callerHeap) Len() int           { return len(h.list) }
func (h *callerHeap) Less(i, j int) bool { return h.compare(h.list[i].id, h.list[j].id) < 0 }
func (h *callerHeap) Swap(i, j int)      { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *callerHeap) Push(x any)         { h.list = append(h.list, x.(*callerState)) }
func (h *callerHeap) Pop() any {
	n := len(h.list) - 1
	c := h.list[n]
	h.list[n] = nil
	h.list = h.list[:n]
	return c
}
