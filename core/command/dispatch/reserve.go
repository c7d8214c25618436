package dispatch

import (
	"time"

	"lacewingturn.example/core/compare"
)

// roundingSlack allows for rounding errors of estimates, which are stored as logarithms.
const roundingSlack = time.Microsecond

// floor returns the number of slots that longer work may always use.
func (f *fair) floor() int { return max(1, f.total/floorDivisor) }

// limits returns for each class how many slots it and the longer classes may occupy together:
// all slots except those reserved for shorter work.
func (f *fair) limits() [classes]int {
	var l [classes]int
	exhausted := f.idleAllowance() <= 0
	for c := range l {
		l[c] = f.total
		if c < separation {
			continue
		}
		shorter := &f.demands[c-separation]
		if exhausted {
			l[c] = max(f.floor(), f.total-f.reservedSlots(shorter.expectedMin()))
			continue
		}
		l[c] = max(f.floor(), f.total-f.reservedSlots(shorter.expected(f.now)))
	}
	return l
}

// endsBeforeBurst reports whether the next item of the class is expected to end before the next
// burst of shorter work.
func (f *fair) endsBeforeBurst(now time.Time, c int) bool {
	if c < separation {
		return false
	}
	next := f.demands[c-separation].nextBurst()
	return !next.IsZero() && !now.Add(f.ready[c][0].cost()).After(next.Add(roundingSlack))
}

// reservedSlots returns the number of slots kept free for a burst of n items: the smallest number
// on which the burst needs as many rounds as on all slots, multiplied by the weight of the
// reserve. A round runs one item on each slot.
func (f *fair) reservedSlots(n int) int {
	if n <= 0 || f.total <= 0 {
		return 0
	}
	rounds := (n + f.total - 1) / f.total
	return int(f.weight * float64((n+rounds-1)/rounds))
}

// idleAllowance returns the slot time that may still be left idle while items are queued.
func (f *fair) idleAllowance() time.Duration {
	var queued time.Duration
	for _, b := range f.backlog {
		queued += b
	}
	return f.idleCredit + time.Duration(idleShare*f.weight*float64(queued))
}

// advance accounts for the slots left idle by the reserve and by slow starts since the last call.
func (f *fair) advance(now time.Time) {
	if idle := time.Duration(f.idleSlots) * now.Sub(f.now); idle > 0 {
		f.idleTotal += idle
		f.idleCredit -= idle
	}
	f.now = now
}

// recordIdle records the slots left idle from now on and sets the time by which Next must be
// called again to use them.
func (f *fair) recordIdle(now time.Time, free int, limits *[classes]int, d *Decision) {
	f.idleSlots = min(free, len(f.queued))
	reserved := false
	if f.idleSlots <= 0 {
		return
	}
	var again time.Time
	callBy := func(t time.Time) { again = compare.EarlierDeadline(again, t) }
	for _, fl := range f.slowStarts {
		if fl.estimate.samples == 0 && !fl.slowStartAt.IsZero() {
			callBy(fl.grownAt.Add(f.slowStartPeriod()))
		}
	}
	for c := separation; c < classes; c++ {
		if f.ready[c].Len() == 0 || limits[c] == f.total {
			continue
		}
		reserved = true
		callBy(f.demands[c-separation].peakExpiry())
	}
	// The limits change when the allowance is used up; after that, only an arrival or a completion
	// changes them.
	if left := f.idleAllowance(); reserved && left > 0 {
		callBy(now.Add(left / time.Duration(f.idleSlots)))
	}
	if !again.IsZero() {
		d.NextCall = again
		if soonest := now.Add(minNextCallDelay); again.Before(soonest) {
			d.NextCall = soonest
		}
	}
}
