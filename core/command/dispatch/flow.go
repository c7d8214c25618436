package dispatch

import (
	"container/list"
	"math"
	"time"

	"lacewingturn.example/core/model"
)

// flowKey identifies a flow: the items of one caller for one service with declared run times of
// similar size. Their real run times are learned together.
type flowKey struct {
	service  model.ServiceName
	caller   model.CallerID
	declared int
}

// declaredClasses is the number of run time classes that form one group of declared run times.
// Declared times are often far from the real ones. Groups that span a factor of 4 separated
// stragglers whose declared times were wrong by a factor of up to 4; groups that span a factor of
// 2 or 16 separated them less well.
const declaredClasses = 2

func keyOf(item Item) flowKey {
	return flowKey{item.Service, item.Caller, classOf(item.Declared) / declaredClasses}
}

// flow is the state of one flow in the default policy.
type flow struct {
	key           flowKey
	queue         queue
	queued        int // items that are queued and not cancelled
	running       int
	starts        starts // the running items, for finding stragglers
	arrived       int    // items that arrived since the last call of Next
	estimate      estimate
	class         int
	finish        time.Duration // virtual finish time of its last started item
	tag           time.Duration // virtual start time of its next item
	order         uint64        // sequence of insertion into the heap; breaks ties of tags
	index         int           // position in the heap of its class; -1 if in none
	countedDemand int           // its contribution to the demand of its class and of longer ones
	backlog       time.Duration // expected run time of its queued items
	guessedDemand int           // highest countedDemand before its run time was known
	// slowStartLimit is the number of items that may run during slow start; 0 without one.
	slowStartLimit int
	slowStartDone  bool          // slow start has ended or was not needed
	slowStartAt    time.Time     // start of the first item of the slow start; zero before
	grownAt        time.Time     // when slowStartLimit last grew with time
	idle           *list.Element // element of the list of idle flows; nil if not idle
}

func (f *flow) demand() int { return f.queued + f.running }

// mayStart reports whether the slow start permits another item to start.
func (f *flow) mayStart() bool { return f.slowStartLimit == 0 || f.running < f.slowStartLimit }

// cost returns the virtual time charged for one item.
func (f *flow) cost() time.Duration {
	if f.estimate.samples == 0 {
		return typicalRunTime(f.class)
	}
	return max(f.estimate.run(), time.Millisecond)
}

// flowHeap orders the flows of one class by their start tags.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].order < h[j].order
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}

// stragglerRuns is how many times its expected run time an item runs before it no longer counts
// as demand of its class.
const stragglerRuns = 4

// stragglerAfter returns the run time above which an item is a straggler. While the run time of
// the flow is unknown, no item is a straggler.
func (f *flow) stragglerAfter() time.Duration {
	if f.estimate.samples == 0 {
		return math.MaxInt64
	}
	return stragglerRuns * f.cost()
}

// started is the start of an item and whether the item has ended or is a straggler.
type started struct {
	at        time.Time
	ended     bool
	straggler bool
}

// starts lists the started items of a flow in the order of their starts and counts the running
// stragglers. Stragglers, and ended items at the head of the list, are removed by markStragglers.
type starts struct {
	items      []*started
	stragglers int
}

func (s *starts) add(now time.Time) *started {
	item := &started{at: now}
	s.items = append(s.items, item)
	return item
}

func (s *starts) end(item *started) {
	item.ended = true
	if item.straggler {
		s.stragglers--
	}
}

// oldest returns the start of the item that has run for longest, and reports false if none runs.
func (s *starts) oldest() (time.Time, bool) {
	for _, item := range s.items {
		if !item.ended {
			return item.at, true
		}
	}
	return time.Time{}, false
}

// markStragglers marks the items that have run for longer than limit.
func (s *starts) markStragglers(now time.Time, limit time.Duration) {
	n := 0
	for ; n < len(s.items); n++ {
		item := s.items[n]
		if !item.ended {
			if now.Sub(item.at) <= limit {
				break
			}
			item.straggler = true
			s.stragglers++
		}
		s.items[n] = nil
	}
	s.items = s.items[n:]
}
