package schedule

import (
	"time"

	"lacewingturn.example/core/model"
)

const (
	// readmitAfter is how long an incarnation whose heartbeats are refused as expired has to
	// go on reporting until it is used again. It is much shorter than a lease, so that the
	// runs of a live worker do not lapse meanwhile.
	readmitAfter = time.Second
	// minRefusals is the number of heartbeats that are refused at least. Late heartbeats of
	// a life that has ended may arrive one after the other, but few of them.
	minRefusals = 3
	// refusalMemory is the longest time between two refused heartbeats that count together.
	refusalMemory = 5 * time.Second
)

// refusals holds the incarnations whose heartbeats are refused as expired.
type refusals map[model.WorkerID]refusal

type refusal struct {
	first    time.Time
	last     time.Time
	sequence int64
	count    int
}

// add records a heartbeat that would be refused. It reports true if the incarnation goes on
// reporting for so long that the heartbeat is to be used. Only heartbeats with rising
// sequences count; a lower sequence shows that there are two senders, and the count goes on
// from it.
func (f refusals) add(now time.Time, id model.WorkerID, sequence int64) bool {
	x, ok := f[id]
	if !ok || now.Sub(x.last) > refusalMemory {
		x = refusal{first: now}
	}
	rising := sequence > x.sequence
	if rising {
		x.count++
	}
	if sequence != x.sequence {
		x.last, x.sequence = now, sequence
	}
	if rising && x.count > minRefusals && now.Sub(x.first) >= readmitAfter {
		delete(f, id)
		return true
	}
	f[id] = x
	return false
}

// prune removes the incarnations that have not reported for refusalMemory.
func (f refusals) prune(now time.Time) {
	for id, x := range f {
		if now.Sub(x.last) > refusalMemory {
			delete(f, id)
		}
	}
}
