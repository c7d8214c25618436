package dispatch

import "time"

// waiting is a queued item. A cancelled item stays in its queue until it reaches the head, so
// that the cost of a cancellation does not depend on the queue length.
type waiting struct {
	Item
	cancelled bool
}

// queue is a first-in first-out queue of items with lazy removal.
type queue struct {
	items []*waiting
	head  int
}

// compactAt is the minimum number of removed entries at which the queue is compacted.
const compactAt = 64

func (q *queue) push(w *waiting) { q.items = append(q.items, w) }

// pop returns the oldest item that is not cancelled, or nil. Items whose deadline has passed
// are appended to expired.
func (q *queue) pop(now time.Time, expired *[]Item) *waiting {
	for q.head < len(q.items) {
		w := q.items[q.head]
		q.items[q.head] = nil
		q.head++
		q.compact()
		if w.cancelled {
			continue
		}
		if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
			*expired = append(*expired, w.Item)
			continue
		}
		return w
	}
	return nil
}

func (q *queue) compact() {
	if q.head < compactAt || q.head*2 < len(q.items) {
		return
	}
	n := copy(q.items, q.items[q.head:])
	clear(q.items[n:])
	q.items, q.head = q.items[:n], 0
}
