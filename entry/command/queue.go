package command

import (
	"time"

	"lacewingturn.example/core/model"
)

// waiting is a request in a queue.
type waiting struct {
	id       uint64
	caller   model.CallerID
	deadline time.Time
	arrived  time.Time
}

// queue orders the waiting requests of one service.
type queue interface {
	// Arrive adds a request; it reports false if the queue of its caller is full.
	Arrive(now time.Time, w waiting) bool
	// Next removes the request to be sent next.
	Next(now time.Time) (waiting, bool)
	// Complete reports the run time of a request that Next returned.
	Complete(now time.Time, id uint64, run time.Duration)
	// Cancel removes a waiting request and reports whether it was there.
	Cancel(id uint64) bool
	// Len returns the number of waiting requests.
	Len() int
}

// fairQueue serves callers in turn and each caller's requests in order.
type fairQueue struct {
	limit   int
	size    int
	callers []model.CallerID // with waiting requests, next turn first
	lists   map[model.CallerID][]waiting
}

func newFairQueue(limit int) *fairQueue {
	return &fairQueue{limit: limit, lists: map[model.CallerID][]waiting{}}
}

func (q *fairQueue) Arrive(_ time.Time, w waiting) bool {
	list := q.lists[w.caller]
	if len(list) >= q.limit {
		return false
	}
	if len(list) == 0 {
		q.callers = append(q.callers, w.caller)
	}
	q.lists[w.caller] = append(list, w)
	q.size++
	return true
}

func (q *fairQueue) Next(time.Time) (waiting, bool) {
	if len(q.callers) == 0 {
		return waiting{}, false
	}
	caller := q.callers[0]
	list := q.lists[caller]
	w := list[0]
	q.callers = q.callers[1:]
	q.size--
	if len(list) == 1 {
		delete(q.lists, caller)
		return w, true
	}
	q.lists[caller] = list[1:]
	q.callers = append(q.callers, caller)
	return w, true
}

func (q *fairQueue) Complete(time.Time, uint64, time.Duration) {}

func (q *fairQueue) Cancel(id uint64) bool {
	for caller, list := range q.lists {
		for i, w := range list {
			if w.id == id {
				q.remove(caller, list, i)
				return true
			}
		}
	}
	return false
}

func (q *fairQueue) remove(caller model.CallerID, list []waiting, i int) {
	q.size--
	if len(list) > 1 {
		q.lists[caller] = append(append([]waiting(nil), list[:i]...), list[i+1:]...)
		return
	}
	delete(q.lists, caller)
	for j, c := range q.callers {
		if c == caller {
			q.callers = append(append([]model.CallerID(nil), q.callers[:j]...), q.callers[j+1:]...)
			return
		}
	}
}

func (q *fairQueue) Len() int { return q.size }
