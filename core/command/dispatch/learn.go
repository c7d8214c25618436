package dispatch

import (
	"container/heap"
	"time"
)

// admit counts the items that arrived since the last call of Next. This is not done in Arrive
// because the number of slots, which Next gets, decides whether a flow starts slowly.
func (f *fair) admit(now time.Time) {
	for i, fl := range f.arrived {
		fl.arrived = 0
		f.arrived[i] = nil
		if !fl.slowStartDone && fl.slowStartLimit == 0 && fl.estimate.samples == 0 && fl.demand() > max(slowStartAbove, f.total/slowStartDivisor) {
			fl.slowStartLimit = max(1, f.total/floorDivisor, min(f.total/slowStartDivisor, slowStartFirst))
			f.slowStarts = append(f.slowStarts, fl)
			// An item that started earlier may fill the limit, so that no start begins the growth.
			if first, ok := fl.starts.oldest(); ok {
				fl.slowStartAt, fl.grownAt = first, first
			}
		}
		f.updateFlow(now, fl)
	}
	f.arrived = f.arrived[:0]
}

// shortClass returns the class assigned to new flows: the class of the shortest work with a
// substantial recent demand, so that a few items of unknown run time are not held back.
func (f *fair) shortClass() int {
	prior := classOf(f.prior.run())
	for c := range prior {
		if f.demands[c].peak > f.total/floorDivisor {
			return c
		}
	}
	return prior
}

// yieldsToShorter reports whether the flow must leave slots free for shorter work.
func (f *fair) yieldsToShorter(fl *flow) bool {
	return fl.class >= separation && f.demands[fl.class-separation].peak > 0
}

// learn updates the run time estimate of the flow, its class, the idle credit and its slow
// start.
func (f *fair) learn(now time.Time, fl *flow, run time.Duration) {
	if fl.estimate.samples == 0 {
		f.prior.learn(run)
	}
	fl.estimate.learn(run)
	f.reclass(now, fl, classOf(fl.estimate.run()))
	earned := time.Duration(idleShare * f.weight * float64(run))
	f.idleCredit = min(f.idleCredit+earned, time.Duration(f.total)*maxIdleCredit)
	if fl.slowStartLimit == 0 {
		fl.slowStartDone = true
		return
	}
	// One more item for each completion doubles the number of running items in each run time.
	// Once there has been shorter demand, the reserve for it limits the flow instead.
	fl.slowStartLimit++
	if fl.slowStartLimit >= f.total || f.yieldsToShorter(fl) {
		f.endSlowStart(now, fl)
	}
}

// reclass moves the flow to another class, with its demand, running items and backlog. A move to
// a longer class retracts the demand that was counted before the run time was known.
func (f *fair) reclass(now time.Time, fl *flow, class int) {
	if class == fl.class {
		return
	}
	if fl.index >= 0 {
		heap.Remove(&f.ready[fl.class], fl.index)
	}
	for c := fl.class; c < class; c++ {
		f.demands[c].remove(now, fl.countedDemand)
		f.demands[c].retract(fl.guessedDemand)
	}
	fl.guessedDemand = 0
	for c := class; c < fl.class; c++ {
		f.demands[c].current += fl.countedDemand // work that is already counted does not begin a burst
	}
	f.runningIn[fl.class] -= fl.running
	f.backlog[fl.class] -= fl.backlog
	fl.backlog = 0
	fl.class = class
	f.runningIn[class] += fl.running
	f.updateBacklog(fl)
	f.updateReady(now, fl)
}

// growSlowStarts doubles the limit of flows whose first items are still running, once in each
// slowStartPeriod. The run time of these items so far gives the minimum class of the flow.
func (f *fair) growSlowStarts(now time.Time) {
	period := f.slowStartPeriod()
	for _, fl := range f.slowStarts {
		if fl.estimate.samples > 0 || fl.slowStartAt.IsZero() || now.Sub(fl.grownAt) < period {
			continue
		}
		fl.grownAt = now
		fl.slowStartLimit = min(2*fl.slowStartLimit, f.total)
		f.reclass(now, fl, max(fl.class, classOf(now.Sub(fl.slowStartAt))))
		f.updateFlow(now, fl)
	}
}

// slowStartPeriod returns how long the first items of a flow run before they count as longer
// than the recent short work; it is also the interval at which growSlowStarts raises limits.
func (f *fair) slowStartPeriod() time.Duration {
	short := f.shortClass()
	if short == 0 {
		return maxSlowStartPeriod
	}
	return min(maxSlowStartPeriod, minRunTime(short+separation))
}

func (f *fair) endSlowStart(now time.Time, fl *flow) {
	fl.slowStartLimit, fl.slowStartDone = 0, true
	for i, other := range f.slowStarts {
		if other == fl {
			f.slowStarts = append(f.slowStarts[:i], f.slowStarts[i+1:]...)
			break
		}
	}
	f.updateFlow(now, fl)
}

// updateDemand recomputes the flow's contribution to the demand. A flow in slow start
// contributes nothing, because its run time is unknown; stragglers do not count either, because
// new short items cannot use their slots anyway.
func (f *fair) updateDemand(now time.Time, fl *flow) {
	fl.starts.markStragglers(now, fl.stragglerAfter())
	want := min(fl.demand()-fl.starts.stragglers, max(1, f.total/flowDivisor))
	if fl.slowStartLimit > 0 {
		want = 0
	}
	change := want - fl.countedDemand
	fl.countedDemand = want
	if fl.estimate.samples == 0 {
		fl.guessedDemand = max(fl.guessedDemand, want)
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

// updateBacklog recomputes the flow's contribution to the backlog of its class.
func (f *fair) updateBacklog(fl *flow) {
	want := time.Duration(fl.queued) * fl.cost()
	f.backlog[fl.class] += want - fl.backlog
	fl.backlog = want
}
