package dispatch

import "time"

// fifo starts the oldest item first.
type fifo struct {
	queue   queue
	queued  map[ItemID]*waiting
	running map[ItemID]struct{}
}

func newFIFO() *fifo {
	return &fifo{queued: map[ItemID]*waiting{}, running: map[ItemID]struct{}{}}
}

func (f *fifo) Arrive(_ time.Time, item Item) {
	w := &waiting{Item: item}
	f.queued[item.ID] = w
	f.queue.push(w)
}

func (f *fifo) Next(now time.Time, free int) Decision {
	var d Decision
	for len(d.Start) < free {
		w := f.queue.pop(now, &d.Expired)
		if w == nil {
			break
		}
		delete(f.queued, w.ID)
		f.running[w.ID] = struct{}{}
		d.Start = append(d.Start, w.Item)
	}
	for _, item := range d.Expired {
		delete(f.queued, item.ID)
	}
	return d
}

func (f *fifo) Complete(_ time.Time, id ItemID, _ time.Duration) { delete(f.running, id) }

func (f *fifo) Cancel(_ time.Time, id ItemID) bool {
	w, ok := f.queued[id]
	if !ok {
		return false
	}
	w.cancelled = true
	delete(f.queued, id)
	return true
}

func (f *fifo) Stats(time.Time) Stats {
	return Stats{Queued: len(f.queued), Running: len(f.running)}
}
