package replay

import (
	"cmp"
	"container/heap"
	"slices"
	"strconv"
	"time"

	"lacewingturn.example/core/command/dispatch"
	"lacewingturn.example/core/model"
)

// Options configure a replay.
type Options struct {
	Policy  dispatch.Policy
	Weights model.Weights // the zero value selects the defaults of the policy
}

// Run replays the trace and reports the outcome. At each instant, completions are
// processed first, then arrivals in file order, then cancellations, then dispatch.
// A cancellation removes queued requests only; a request that has started completes.
// Run fails if the policy is unknown.
func Run(t Trace, o Options) (Report, error) {
	d, err := dispatch.New(o.Policy, dispatch.Options{Weights: o.Weights, CompareCallers: callerOrder(t)})
	if err != nil {
		return Report{}, err
	}
	s := newSimulation(t, d)
	for s.step() {
	}
	return s.report(o.Policy), nil
}

// callerOrder returns a function that compares callers as numbers. It returns nil if
// a caller of the trace is not a number; the dispatcher then compares them as strings.
func callerOrder(t Trace) func(a, b model.CallerID) int {
	numbers := map[model.CallerID]uint64{}
	for _, r := range t.Records {
		n, err := strconv.ParseUint(string(r.Caller), 10, 64)
		if err != nil {
			return nil
		}
		numbers[r.Caller] = n
	}
	return func(a, b model.CallerID) int {
		return cmp.Or(cmp.Compare(numbers[a], numbers[b]), cmp.Compare(a, b))
	}
}

// simulation holds the pending events and the outcomes of a replay.
type simulation struct {
	trace    Trace
	dispatch dispatch.Dispatcher
	arrivals []int // indexes of records by time of arrival
	cancels  []int // indexes of records by time of cancellation
	running  completionHeap
	free     int           // slots
	nextCall time.Duration // time at which the dispatcher must be called again; 0 if unset
	outcomes []outcome
}

// outcome is the outcome of one record.
type outcome struct {
	state    outcomeState
	wait     time.Duration // in the queue
	finished time.Duration // since the start of the trace
}

type outcomeState uint8

const (
	pending outcomeState = iota
	completed
	rejected
	cancelled
)

func newSimulation(t Trace, d dispatch.Dispatcher) *simulation {
	s := &simulation{trace: t, dispatch: d, free: t.Slots(), outcomes: make([]outcome, len(t.Records))}
	for i, r := range t.Records {
		s.arrivals = append(s.arrivals, i)
		if r.Cancel {
			s.cancels = append(s.cancels, i)
		}
	}
	slices.SortStableFunc(s.arrivals, func(a, b int) int { return cmp.Compare(t.Records[a].At, t.Records[b].At) })
	slices.SortStableFunc(s.cancels, func(a, b int) int { return cmp.Compare(t.Records[a].CancelAt, t.Records[b].CancelAt) })
	return s
}

// step processes all events of the next instant that has any. It returns false if no
// events are left.
func (s *simulation) step() bool {
	now, ok := s.nextInstant()
	if !ok {
		return false
	}
	s.complete(now)
	for len(s.arrivals) > 0 && s.trace.Records[s.arrivals[0]].At <= now {
		s.arrive(now, s.arrivals[0])
		s.arrivals = s.arrivals[1:]
	}
	for len(s.cancels) > 0 && s.trace.Records[s.cancels[0]].CancelAt <= now {
		if i := s.cancels[0]; s.dispatch.Cancel(dispatcherTime(now), dispatch.ItemID(i)) {
			s.outcomes[i].state = cancelled
		}
		s.cancels = s.cancels[1:]
	}
	s.start(now)
	return true
}

func (s *simulation) nextInstant() (time.Duration, bool) {
	var now time.Duration
	found := false
	earliest := func(t time.Duration) {
		if !found || t < now {
			now, found = t, true
		}
	}
	if len(s.running) > 0 {
		earliest(s.running[0].at)
	}
	if len(s.arrivals) > 0 {
		earliest(s.trace.Records[s.arrivals[0]].At)
	}
	if len(s.cancels) > 0 {
		earliest(s.trace.Records[s.cancels[0]].CancelAt)
	}
	if s.nextCall > 0 {
		earliest(s.nextCall)
	}
	return now, found
}

func (s *simulation) complete(now time.Duration) {
	for len(s.running) > 0 && s.running[0].at <= now {
		e := heap.Pop(&s.running).(completion)
		s.free++
		s.outcomes[e.record].state = completed
		s.outcomes[e.record].finished = now
		s.dispatch.Complete(dispatcherTime(now), dispatch.ItemID(e.record), s.trace.Records[e.record].Run)
	}
}

func (s *simulation) arrive(now time.Duration, i int) {
	r := s.trace.Records[i]
	item := dispatch.Item{ID: dispatch.ItemID(i), Caller: r.Caller, Service: r.Service, Declared: r.Declared}
	if r.Deadline > 0 {
		item.Deadline = dispatcherTime(r.At + r.Deadline)
	}
	s.dispatch.Arrive(dispatcherTime(now), item)
}

func (s *simulation) start(now time.Duration) {
	d := s.dispatch.Next(dispatcherTime(now), s.free)
	s.free -= len(d.Start)
	for _, item := range d.Start {
		r := s.trace.Records[item.ID]
		s.outcomes[item.ID].wait = now - r.At
		heap.Push(&s.running, completion{at: now + r.Run, record: int(item.ID)})
	}
	for _, item := range d.Expired {
		s.outcomes[item.ID].state = rejected
	}
	s.nextCall = 0
	if !d.NextCall.IsZero() {
		s.nextCall = d.NextCall.Sub(dispatcherTime(0))
	}
}

// dispatcherTime converts trace time to the time passed to the dispatcher.
func dispatcherTime(t time.Duration) time.Time { return time.Unix(0, 0).Add(t) }

// completion is the completion of a running record. Completions at the same instant
// are processed in file order.
type completion struct {
	at     time.Duration
	record int
}

type completionHeap []completion

func (h completionHeap) Len() int { return len(h) }
func (h completionHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].record < h[j].record)
}
func (h completionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)   { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
