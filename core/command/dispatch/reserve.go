package dispatch

import (
	"time"

	"lacewingturn.example/core/compare"
)

// rounding allows for the rounding of estimates, which are kept as logarithms.
const rounding = time.Microsecond

// floor is the number of slots that longer work may always use.
func (f *fair) floor() int { return max(1, f.total/floorShare) }

// limits returns for each class how many slots it and the longer classes may
// occupy together: all but the recent peak of shorter work.
func (f *fair) limits() [classes]int {
	var l [classes]int
	exhausted := f.allowance() <= 0
	for c := range l {
		l[c] = f.total
		if c < separation {
			continue
		}
		shorter := &f.demands[c-separation]
		if exhausted {
			l[c] = max(f.floor(), f.total-f.reserve(shorter.least()))
			continue
		}
		l[c] = max(f.floor(), f.total-f.reserve(shorter.expected(f.now)))
	}
	return l
}

// endsInTime reports whether the next item of the class is expected to end
// before the next burst of shorter work.
func (f *fair) endsInTime(now time.Time, c int) bool {
	if c < separation {
		return false
	}
	next := f.demands[c-separation].next()
	return !next.IsZero() && !now.Add(f.ready[c][0].cost()).After(next.Add(rounding))
}

// reserve returns the slots kept for a burst of n items: the fewest on which it
// takes no more rounds of one run each than on all slots.
func (f *fair) reserve(n int) int {
	if n <= 0 || f.total <= 0 {
		return 0
	}
	rounds := (n + f.total - 1) / f.total
	return int(f.weight * float64((n+rounds-1)/rounds))
}

// allowance is the slot time that the reserve may still leave idle.
func (f *fair) allowance() time.Duration {
	var queued time.Duration
	for _, b := range f.backlog {
		queued += b
	}
	return f.credit + time.Duration(idleShare*f.weight*float64(queued))
}

// advance accounts for the slots left idle on purpose since the last call.
func (f *fair) advance(now time.Time) {
	if idle := time.Duration(f.held) * now.Sub(f.now); idle > 0 {
		f.idleTotal += idle
		f.credit -= idle
	}
	f.now = now
}

// hold records the slots left idle on purpose and sets the time at which they
// may be used at the latest.
func (f *fair) hold(now time.Time, free int, limits *[classes]int, d *Decision) {
	f.held = min(free, len(f.queued))
	reserved := false
	if f.held <= 0 {
		return
	}
	var again time.Time
	earlier := func(t time.Time) { again = compare.EarlierDeadline(again, t) }
	for _, fl := range f.slow {
		if fl.estimate.samples == 0 && !fl.rampStart.IsZero() {
			earlier(fl.grown.Add(f.slowStartPeriod()))
		}
	}
	for c := separation; c < classes; c++ {
		if f.ready[c].Len() == 0 || limits[c] == f.total {
			continue
		}
		reserved = true
		earlier(f.demands[c-separation].expiry())
	}
	// Without allowance only an arrival or a completion can change the decision.
	if left := f.allowance(); reserved && left > 0 {
		earlier(now.Add(left / time.Duration(f.held)))
	}
	if !again.IsZero() {
		d.Again = again
		if soonest := now.Add(minAgain); again.Before(soonest) {
			d.Again = soonest
		}
	}
}
