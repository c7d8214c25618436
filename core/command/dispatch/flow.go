package dispatch

import (
	"container/list"
	"math"
	"time"

	"lacewingturn.example/core/model"
)

// flowKey names a flow: the items of one caller for one service whose declared
// run times are of about the same size. Their real run times are learned together.
type flowKey struct {
	service  model.ServiceName
	caller   model.CallerID
	declared int
}

// declaredClasses is the width of a group of declared run times in classes.
// Declared times are far from the real ones: groups of a factor of 4 separate
// stragglers declared up to 4 times wrong, those of 2 and of 16 did so worse.
const declaredClasses = 2

func keyOf(item Item) flowKey {
	return flowKey{item.Service, item.Caller, classOf(item.Declared) / declaredClasses}
}

// flow is the state of one flow in the default policy.
type flow struct {
	key      flowKey
	queue    queue
	live     int // queued and not cancelled
	running  int
	starts   starts // of the running items, to tell stragglers
	fresh    int    // arrived since the last Next
	estimate estimate
	class    int
	finish   time.Duration // virtual time at which its last started item ends
	tag      time.Duration // virtual time at which its next item should start
	order    uint64        // breaks ties of tags by time of listing
	index    int           // place in the heap of its class; -1 if in none
	counted  int           // its share in the demand of its class and longer ones
	backlog  time.Duration // expected run time of its queued items
	guessed  int           // highest share before its run time was known
	// allowed is the number of items that may run during slow start; 0 otherwise.
	allowed   int
	ramped    bool          // slow start is over or was not needed
	rampStart time.Time     // start of the first item of the slow start; zero before
	grown     time.Time     // when allowed last grew with time
	idle      *list.Element // place in the list of idle flows; nil if not idle
}

func (f *flow) demand() int { return f.live + f.running }

// mayStart reports whether the slow start lets another item start.
func (f *flow) mayStart() bool { return f.allowed == 0 || f.running < f.allowed }

// cost returns the virtual time charged for one item.
func (f *flow) cost() time.Duration {
	if f.estimate.samples == 0 {
		return typical(f.class)
	}
	return max(f.estimate.run(), time.Millisecond)
}

// flowHeap orders the flows of one class by their tags.
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

// strayRuns is how many times its expected run time an item runs before it no
// longer counts as demand of its class.
const strayRuns = 4

// strayAfter returns the run time from which an item is a straggler; while run
// times are unknown no item is.
func (f *flow) strayAfter() time.Duration {
	if f.estimate.samples == 0 {
		return math.MaxInt64
	}
	return strayRuns * f.cost()
}

// started is a running item of a flow.
type started struct {
	at    time.Time
	ended bool
	stray bool
}

// starts holds the running items of a flow in the order of their starts and
// counts the stragglers among them.
type starts struct {
	items  []*started
	strays int
}

func (s *starts) add(now time.Time) *started {
	item := &started{at: now}
	s.items = append(s.items, item)
	return item
}

func (s *starts) end(item *started) {
	item.ended = true
	if item.stray {
		s.strays--
	}
}

// mark finds items that have run for longer than limit.
func (s *starts) mark(now time.Time, limit time.Duration) {
	n := 0
	for ; n < len(s.items); n++ {
		item := s.items[n]
		if !item.ended {
			if now.Sub(item.at) <= limit {
				break
			}
			item.stray = true
			s.strays++
		}
		s.items[n] = nil
	}
	s.items = s.items[n:]
}
