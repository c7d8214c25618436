package dispatch

import "time"

// floor is the number of slots that longer work may always use.
func (f *fair) floor() int { return max(1, f.total/floorShare) }

// limits returns for each class how many slots it and the longer classes may
// occupy together: all but the recent peak of shorter work.
func (f *fair) limits() [classes]int {
	var l [classes]int
	exhausted := f.allowance() <= 0
	for c := range l {
		l[c] = f.total
		if c < separation || exhausted {
			continue
		}
		reserve := int(f.weight * float64(f.demands[c-separation].peak))
		l[c] = max(f.floor(), f.total-reserve)
	}
	return l
}

// allowance is the slot time that the reserve may still leave idle.
func (f *fair) allowance() time.Duration {
	var queued time.Duration
	for c := separation; c < classes; c++ {
		if f.demands[c-separation].peak > 0 {
			queued += time.Duration(f.queuedIn[c]) * typical(c)
		}
	}
	return f.credit + time.Duration(idleShare*f.weight*float64(queued))
}

// advance accounts for the slots left idle on purpose since the last call.
func (f *fair) advance(now time.Time) {
	if idle := time.Duration(f.held) * now.Sub(f.now); idle > 0 {
		f.idleTotal += idle
		if f.reserved {
			f.credit -= idle
		}
	}
	f.now = now
}

// hold records the slots left idle on purpose and sets the time at which they
// may be used at the latest.
func (f *fair) hold(now time.Time, left int, limits *[classes]int, d *Decision) {
	f.held, f.reserved = min(left, len(f.queued)), false
	if f.held <= 0 {
		return
	}
	var again time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (again.IsZero() || t.Before(again)) {
			again = t
		}
	}
	for _, fl := range f.slow {
		if fl.estimate.samples == 0 && !fl.rampStart.IsZero() {
			earlier(fl.rampStart.Add(slowStartLimit))
		}
	}
	for c := separation; c < classes; c++ {
		if f.ready[c].Len() == 0 || limits[c] == f.total {
			continue
		}
		f.reserved = true
		earlier(f.demands[c-separation].expiry())
	}
	if f.reserved {
		earlier(now.Add(f.allowance() / time.Duration(f.held)))
	}
	if !again.IsZero() {
		d.Again = again
		if soonest := now.Add(minAgain); again.Before(soonest) {
			d.Again = soonest
		}
	}
}
