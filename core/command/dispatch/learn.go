package dispatch

import (
	"container/heap"
	"time"
)

// admit takes note of the items that arrived since the last Next. They are
// counted here and not in Arrive because the number of slots decides whether a
// flow starts slowly.
func (f *fair) admit(now time.Time) {
	for i, fl := range f.fresh {
		fl.fresh = 0
		f.fresh[i] = nil
		if !fl.ramped && fl.allowed == 0 && fl.estimate.samples == 0 && fl.demand() > max(slowStartAbove, f.total/slowStartShare) {
			fl.allowed = max(1, f.total/floorShare, min(f.total/slowStartShare, slowStartFirst))
			f.slow = append(f.slow, fl)
		}
		f.settle(now, fl)
	}
	f.fresh = f.fresh[:0]
}

// shortClass returns the class of new flows: that of the shortest work that has
// had a substantial demand of late, so that a few items of unknown run time are
// not held back.
func (f *fair) shortClass() int {
	prior := classOf(f.prior.run())
	for c := range prior {
		if f.demands[c].peak > f.total/floorShare {
			return c
		}
	}
	return prior
}

// yields reports whether the flow leaves room for shorter work.
func (f *fair) yields(fl *flow) bool {
	return fl.class >= separation && f.demands[fl.class-separation].peak > 0
}

// learn updates the estimate of the flow and moves it to its class.
func (f *fair) learn(now time.Time, fl *flow, run time.Duration) {
	if fl.estimate.samples == 0 {
		f.prior.learn(run)
	}
	fl.estimate.learn(run)
	f.reclass(now, fl, classOf(fl.estimate.run()))
	earned := time.Duration(idleShare * f.weight * float64(run))
	f.credit = min(f.credit+earned, time.Duration(f.total)*creditLimit)
	if fl.allowed == 0 {
		fl.ramped = true
		return
	}
	// One more item for each completion doubles the flow in each run time. Once
	// shorter demand has been seen, the reserve for it limits the flow instead.
	fl.allowed++
	if fl.allowed >= f.total || f.yields(fl) {
		f.endSlowStart(now, fl)
	}
}

func (f *fair) reclass(now time.Time, fl *flow, class int) {
	if class == fl.class {
		return
	}
	if fl.index >= 0 {
		heap.Remove(&f.ready[fl.class], fl.index)
	}
	for c := fl.class; c < class; c++ {
		f.demands[c].remove(now, fl.counted)
		f.demands[c].retract(fl.guessed)
	}
	fl.guessed = 0
	for c := class; c < fl.class; c++ {
		f.demands[c].current += fl.counted // known work is not a new burst
	}
	f.runningIn[fl.class] -= fl.running
	f.backlog[fl.class] -= fl.backlog
	fl.backlog = 0
	fl.class = class
	f.runningIn[class] += fl.running
	f.weigh(fl)
	f.list(now, fl)
}

// growSlowStarts lets more items of a flow start whose first items run for
// long. Their run time so far stands for the estimate.
func (f *fair) growSlowStarts(now time.Time) {
	period := f.slowStartPeriod()
	for _, fl := range f.slow {
		if fl.estimate.samples > 0 || fl.rampStart.IsZero() || now.Sub(fl.grown) < period {
			continue
		}
		fl.grown = now
		fl.allowed = min(2*fl.allowed, f.total)
		f.reclass(now, fl, max(fl.class, classOf(now.Sub(fl.rampStart))))
		f.settle(now, fl)
	}
}

// slowStartPeriod returns how long the first items of a flow run before they
// count as longer work than the short work seen of late.
func (f *fair) slowStartPeriod() time.Duration {
	short := f.shortClass()
	if short == 0 {
		return slowStartPeriod
	}
	return min(slowStartPeriod, shortest(short+separation))
}

func (f *fair) endSlowStart(now time.Time, fl *flow) {
	fl.allowed, fl.ramped = 0, true
	for i, other := range f.slow {
		if other == fl {
			f.slow = append(f.slow[:i], f.slow[i+1:]...)
			break
		}
	}
	f.settle(now, fl)
}

// count brings the flow's share in the demand in line with its items. A flow
// in slow start is not counted, because its run time is not known, and neither
// are stragglers, because new short work cannot use their slots anyway.
func (f *fair) count(now time.Time, fl *flow) {
	fl.starts.mark(now, fl.strayAfter())
	want := min(fl.demand()-fl.starts.strays, max(1, f.total/flowShare))
	if fl.allowed > 0 {
		want = 0
	}
	change := want - fl.counted
	fl.counted = want
	if fl.estimate.samples == 0 {
		fl.guessed = max(fl.guessed, want)
	}
	for c := fl.class; c < classes; c++ {
		switch {
		case change > 0:
			f.demands[c].add(now, change)
		case change < 0:
			f.demands[c].remove(now, -change)
		}
	}
}

// weigh brings the flow's share in the backlog in line with its queue.
func (f *fair) weigh(fl *flow) {
	want := time.Duration(fl.live) * fl.cost()
	f.backlog[fl.class] += want - fl.backlog
	fl.backlog = want
}
