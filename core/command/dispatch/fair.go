package dispatch

import (
	"container/heap"
	"container/list"
	"time"

	"lacewingturn.example/core/model"
)

// Constants of the default policy; docs/decisions/queue-policy.md has the measurements behind
// them.
const (
	// floorDivisor gives the floor: the part of the slots (total/floorDivisor, at least one)
	// that longer work may always use, whatever is reserved for shorter work.
	floorDivisor = 16
	// flowDivisor gives the part of the slots (total/flowDivisor) that one flow can reserve, so
	// that a large batch of short items does not block all other flows.
	flowDivisor = 2
	// overdueRuns is how many of its own run times a class waits before it may use the floor
	// ahead of shorter work.
	overdueRuns = 4
	// idleShare bounds the slot time that the reserve leaves idle, as a share of the work
	// completed and queued. The goal for the replay trace slow-bulk, to finish in 28.0 s where
	// 26.0 s is possible, allows 0.08; the difference covers the end of the batch, when not all
	// slots have work.
	idleShare = 0.05
	// initialIdleCredit is the idle time for each slot that is allowed before any item has
	// completed.
	initialIdleCredit = 250 * time.Millisecond
	// maxIdleCredit bounds the accumulated idle credit, as a time for each slot.
	maxIdleCredit = 2 * time.Second
	// A flow of unknown run time starts slowly if it has more items than slowStartAbove and
	// more than total/slowStartDivisor. The thresholds are low because several such flows may
	// arrive together.
	slowStartAbove   = 2
	slowStartDivisor = 8
	// slowStartFirst bounds the initial limit of a slow start in a small group; in larger
	// groups the initial limit is the floor.
	slowStartFirst = 4
	// maxSlowStartPeriod is the longest interval at which the limit of a slow start doubles while
	// none of the flow's items has completed. The interval is shorter if other run times show
	// earlier that its items are longer work.
	maxSlowStartPeriod = 250 * time.Millisecond
	// maxIdleFlows bounds the flows that are remembered without queued or running items.
	maxIdleFlows = 10_000
	// minNextCallDelay is the shortest delay until Decision.NextCall.
	minNextCallDelay = time.Millisecond
)

// fair is the default policy. Flows share the slot time by start-time fair queueing with
// learned run times; longer work leaves slots free for the recent peak of shorter work.
type fair struct {
	weight     float64   // of the reserve, 0 to 1
	total      int       // slots of the group at the last call of Next
	now        time.Time // time of the last call of advance
	flows      map[flowKey]*flow
	prior      estimate   // typical first run time of a flow, used for flows of unknown run time
	idle       *list.List // of *flow, least recently used first
	arrived    []*flow    // flows with arrivals since the last call of Next
	slowStarts []*flow    // in slow start
	queued     map[ItemID]*waiting
	running    map[ItemID]execution
	ready      [classes]flowHeap
	virtual    time.Duration // highest start tag of the started items
	lastOrder  uint64

	demands   [classes]demand        // of this class and all shorter ones
	runningIn [classes]int           // number of running items
	backlog   [classes]time.Duration // expected run time of the queued items
	servedAt  [classes]time.Time     // when the class was last served or its heap became non-empty

	idleSlots  int           // slots left idle since the time in now, although items are queued
	idleTotal  time.Duration // total slot time left idle by the reserve and by slow starts
	idleCredit time.Duration // slot time that may still be left idle, besides the share of the queued work
}

// execution is a running item with its flow.
type execution struct {
	*flow
	*started
}

func newFair(w model.Weights) *fair {
	return &fair{
		weight: reserveWeight(w), flows: map[flowKey]*flow{}, idle: list.New(),
		queued: map[ItemID]*waiting{}, running: map[ItemID]execution{},
	}
}

// reserveWeight returns the weight of the reserve: 1 if short waits weigh at least as much as the
// buffer cost, otherwise twice the share of short waits in the sum of both weights.
func reserveWeight(w model.Weights) float64 {
	if w.ShortWait+w.BufferCost <= 0 {
		return 1
	}
	return min(1, 2*w.ShortWait/(w.ShortWait+w.BufferCost))
}

func (f *fair) Arrive(now time.Time, item Item) {
	f.advance(now)
	key := keyOf(item)
	fl := f.flows[key]
	if fl == nil {
		fl = &flow{key: key, index: -1, class: f.shortClass()}
		f.flows[key] = fl
	}
	if fl.idle != nil {
		f.idle.Remove(fl.idle)
		fl.idle = nil
	}
	w := &waiting{Item: item}
	f.queued[item.ID] = w
	fl.queue.push(w)
	fl.queued++
	if fl.arrived == 0 {
		f.arrived = append(f.arrived, fl)
	}
	fl.arrived++
}

func (f *fair) Next(now time.Time, free int) Decision {
	f.advance(now)
	if f.total == 0 {
		f.idleCredit = time.Duration(f.weight * float64(free) * float64(initialIdleCredit))
	}
	f.total = free + len(f.running)
	f.admit(now)
	f.growSlowStarts(now)
	for c := range f.demands {
		f.demands[c].decay(now)
	}
	var d Decision
	limits := f.limits()
	for len(d.Start) < free {
		c := f.choose(now, &limits)
		if c < 0 {
			break
		}
		f.serve(now, c, &d)
	}
	f.recordIdle(now, free-len(d.Start), &limits, &d)
	return d
}

// choose returns the class whose first flow is served next, or -1. A class at its limit also
// blocks the longer classes, because their slots count towards its limit too.
func (f *fair) choose(now time.Time, limits *[classes]int) int {
	best, blocked := -1, false
	running := len(f.running)
	for c := range f.ready {
		blocked = blocked || running >= limits[c]
		if f.ready[c].Len() > 0 {
			if running < f.floor() && f.overdue(now, c) {
				return c
			}
			// On equal tags the shorter class is served first.
			if (!blocked || f.endsBeforeBurst(now, c)) && (best < 0 || f.ready[c][0].tag < f.ready[best][0].tag) {
				best = c
			}
		}
		running -= f.runningIn[c]
	}
	return best
}

// overdue reports whether the class of longer work has not been served for overdueRuns of its
// typical run times.
func (f *fair) overdue(now time.Time, c int) bool {
	return c >= separation && now.Sub(f.servedAt[c]) > overdueRuns*typicalRunTime(c)
}

// serve starts the next item of the first flow of the class. Expired items that precede it in the
// queue are moved to d.Expired.
func (f *fair) serve(now time.Time, c int, d *Decision) {
	fl := heap.Pop(&f.ready[c]).(*flow)
	expired := len(d.Expired)
	w := fl.queue.pop(now, &d.Expired)
	for _, item := range d.Expired[expired:] {
		f.leaveQueue(fl, item.ID)
	}
	if w != nil {
		f.leaveQueue(fl, w.ID)
		f.running[w.ID] = execution{fl, fl.starts.add(now)}
		fl.running++
		f.runningIn[c]++
		f.virtual = max(f.virtual, fl.tag)
		fl.finish = fl.tag + fl.cost()
		f.servedAt[c] = now
		if fl.slowStartLimit > 0 && fl.slowStartAt.IsZero() {
			fl.slowStartAt, fl.grownAt = now, now
		}
		d.Start = append(d.Start, w.Item)
	}
	f.updateFlow(now, fl)
}

func (f *fair) leaveQueue(fl *flow, id ItemID) {
	delete(f.queued, id)
	fl.queued--
}

func (f *fair) Complete(now time.Time, id ItemID, run time.Duration) {
	f.advance(now)
	e, ok := f.running[id]
	if !ok {
		return
	}
	fl := e.flow
	delete(f.running, id)
	fl.starts.end(e.started)
	fl.running--
	f.runningIn[fl.class]--
	if run > 0 {
		f.learn(now, fl, run)
	}
	f.updateFlow(now, fl)
}

func (f *fair) Cancel(now time.Time, id ItemID) bool {
	f.advance(now)
	w, ok := f.queued[id]
	if !ok {
		return false
	}
	w.cancelled = true
	fl := f.flows[keyOf(w.Item)]
	f.leaveQueue(fl, id)
	f.idleSlots = min(f.idleSlots, len(f.queued))
	f.updateFlow(now, fl)
	return true
}

// updateFlow recomputes what depends on the counts of the flow: its demand, its backlog, its
// place in the heap of its class and its place in the list of idle flows.
func (f *fair) updateFlow(now time.Time, fl *flow) {
	if fl.arrived == 0 { // otherwise admit counts the arrivals first
		f.updateDemand(now, fl)
	}
	f.updateBacklog(fl)
	f.updateReady(now, fl)
	if fl.demand() > 0 || fl.idle != nil {
		return
	}
	fl.idle = f.idle.PushBack(fl)
	if f.idle.Len() > maxIdleFlows {
		old := f.idle.Remove(f.idle.Front()).(*flow)
		delete(f.flows, old.key)
	}
}

// updateReady adds the flow to the heap of its class or removes it from there. The start tag of an
// added flow is the finish tag of its last started item, but never below the virtual time and at
// most the cost of one item above it.
func (f *fair) updateReady(now time.Time, fl *flow) {
	eligible := fl.queued > 0 && fl.mayStart()
	h := &f.ready[fl.class]
	switch {
	case !eligible && fl.index >= 0:
		heap.Remove(h, fl.index)
	case eligible && fl.index < 0:
		if h.Len() == 0 {
			f.servedAt[fl.class] = now
		}
		fl.tag = max(f.virtual, min(fl.finish, f.virtual+fl.cost()))
		f.lastOrder++
		fl.order = f.lastOrder
		heap.Push(h, fl)
	}
}

// Stats includes the idle time that advance has not recorded yet.
func (f *fair) Stats(now time.Time) Stats {
	return Stats{
		Queued: len(f.queued), Running: len(f.running),
		IdleWhileQueued: f.idleTotal + time.Duration(f.idleSlots)*now.Sub(f.now),
	}
}
