package dispatch

import (
	"container/heap"
	"container/list"
	"time"

	"lacewingturn.example/core/model"
)

// Constants of the default policy; docs/decisions/queue-policy.md has the
// measurements behind them.
const (
	// floorShare is the part of the slots, at least one, that longer work may
	// always use, whatever is reserved for shorter work.
	floorShare = 16
	// flowShare is the part of the slots that one flow can reserve, so that a
	// large batch of short items does not shut out everybody else.
	flowShare = 2
	// overdueRuns is how many of its own run times a class waits before its
	// floor goes before shorter work.
	overdueRuns = 4
	// idleShare bounds the slot time left idle on purpose, as a part of the work
	// done and queued. The goal that slow-bulk finishes in 28.0 s where 26.0 s
	// is possible allows 0.08; some is kept for the end, when not all slots have work.
	idleShare = 0.05
	// initialCredit is the idle time allowed before any work was seen, for each slot.
	initialCredit = 250 * time.Millisecond
	// creditLimit bounds the idle time saved up, as a time for each slot.
	creditLimit = 2 * time.Second
	// A flow of unknown run time starts slowly if it has more items than this
	// number and this part of the slots. Several such flows may arrive together.
	slowStartAbove = 2
	slowStartShare = 8
	// slowStartFirst is how many items a slow start begins with at most in a small
	// group; larger groups begin with their floor.
	slowStartFirst = 4
	// slowStartPeriod is the time after which the slow start of a flow none of
	// whose items completed doubles, unless other run times show earlier that its
	// items are longer work.
	slowStartPeriod = 250 * time.Millisecond
	// maxIdleFlows bounds the flows remembered without queued or running items.
	maxIdleFlows = 10_000
	// minAgain is the shortest time until a held-back item is looked at again.
	minAgain = time.Millisecond
)

// fair is the default policy. Flows share the slot time by start-time fair
// queueing with learned run times; longer work leaves room for the recent peak
// of shorter work.
type fair struct {
	weight  float64 // of the reserve, 0 to 1
	total   int     // slots of the group at the last Next
	now     time.Time
	flows   map[flowKey]*flow
	prior   estimate   // typical first run time of a flow; stands in while it is unknown
	idle    *list.List // of *flow, least recently used first
	fresh   []*flow
	slow    []*flow // in slow start
	queued  map[ItemID]*waiting
	running map[ItemID]execution
	ready   [classes]flowHeap
	virtual time.Duration // start tag of the latest item
	orders  uint64

	demands   [classes]demand // of this class and all shorter ones
	runningIn [classes]int
	backlog   [classes]time.Duration // expected run time of the queued items
	servedAt  [classes]time.Time     // when the class was last served or became ready

	held      int           // slots left idle on purpose since now
	idleTotal time.Duration // slot time left idle on purpose
	credit    time.Duration // slot time that the reserve may still leave idle
}

// execution is a running item.
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

// reserveWeight is 1 if the wait of short work weighs at least as much as
// buffer cost, and falls to 0 with its share of the two.
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
	fl.live++
	if fl.fresh == 0 {
		f.fresh = append(f.fresh, fl)
	}
	fl.fresh++
}

func (f *fair) Next(now time.Time, free int) Decision {
	f.advance(now)
	if f.total == 0 {
		f.credit = time.Duration(f.weight * float64(free) * float64(initialCredit))
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
	f.hold(now, free-len(d.Start), &limits, &d)
	return d
}

// choose returns the class whose first flow is served next, or -1. A class at
// its limit also blocks the longer ones, which take their slots out of the same share.
func (f *fair) choose(now time.Time, limits *[classes]int) int {
	best, blocked := -1, false
	running := len(f.running)
	for c := range f.ready {
		blocked = blocked || running >= limits[c]
		if f.ready[c].Len() > 0 {
			if running < f.floor() && f.overdue(now, c) {
				return c
			}
			// Of equal tags the shorter class wins.
			if (!blocked || f.endsInTime(now, c)) && (best < 0 || f.ready[c][0].tag < f.ready[best][0].tag) {
				best = c
			}
		}
		running -= f.runningIn[c]
	}
	return best
}

func (f *fair) overdue(now time.Time, c int) bool {
	return c >= separation && now.Sub(f.servedAt[c]) > overdueRuns*typical(c)
}

// serve starts the next item of the first flow of the class.
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
		if fl.allowed > 0 && fl.rampStart.IsZero() {
			fl.rampStart, fl.grown = now, now
		}
		d.Start = append(d.Start, w.Item)
	}
	f.settle(now, fl)
}

func (f *fair) leaveQueue(fl *flow, id ItemID) {
	delete(f.queued, id)
	fl.live--
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
	f.settle(now, fl)
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
	f.held = min(f.held, len(f.queued))
	f.settle(now, fl)
	return true
}

// settle brings the flow's place in the heaps, its share in the demand and the
// list of idle flows in line with its counts.
func (f *fair) settle(now time.Time, fl *flow) {
	if fl.fresh == 0 {
		f.count(now, fl)
	}
	f.weigh(fl)
	f.list(now, fl)
	if fl.demand() > 0 || fl.idle != nil {
		return
	}
	fl.idle = f.idle.PushBack(fl)
	if f.idle.Len() > maxIdleFlows {
		old := f.idle.Remove(f.idle.Front()).(*flow)
		delete(f.flows, old.key)
	}
}

// list puts the flow into or takes it out of the heap of its class.
func (f *fair) list(now time.Time, fl *flow) {
	eligible := fl.live > 0 && fl.mayStart()
	h := &f.ready[fl.class]
	switch {
	case !eligible && fl.index >= 0:
		heap.Remove(h, fl.index)
	case eligible && fl.index < 0:
		if h.Len() == 0 {
			f.servedAt[fl.class] = now
		}
		fl.tag = max(f.virtual, min(fl.finish, f.virtual+fl.cost()))
		f.orders++
		fl.order = f.orders
		heap.Push(h, fl)
	}
}

// Stats implements Dispatcher.
func (f *fair) Stats(now time.Time) Stats {
	return Stats{
		Queued: len(f.queued), Running: len(f.running),
		ReserveIdle: f.idleTotal + time.Duration(f.held)*now.Sub(f.now),
	}
}
