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

// Options of a replay.
type Options struct {
	Policy  dispatch.Policy
	Weights model.Weights // the zero value means the defaults of the policy
}

// Run replays the trace and reports the outcome. At one instant completions
// come first, then arrivals in file order, then cancellations, then dispatch.
// A cancellation removes queued work only; work that has started runs to its end.
func Run(t Trace, o Options) (Report, error) {
	d, err := dispatch.New(o.Policy, dispatch.Options{Weights: o.Weights, CompareCallers: callerOrder(t)})
	if err != nil {
		return Report{}, err
	}
	p := newPlayer(t, d)
	for p.step() {
	}
	return p.report(o.Policy), nil
}

// callerOrder compares callers as numbers if all of the trace are, else as strings.
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

// player holds the virtual clock and the events to come.
type player struct {
	trace    Trace
	dispatch dispatch.Dispatcher
	arrivals []int // indexes of records by time of arrival
	cancels  []int // indexes of records by time of cancellation
	running  endHeap
	free     int
	again    time.Duration // 0 if the dispatcher asked for nothing
	outcomes []outcome
}

// outcome is what happened to one record.
type outcome struct {
	state    outcomeState
	wait     time.Duration
	finished time.Duration
}

type outcomeState uint8

const (
	pending outcomeState = iota
	completed
	rejected
	cancelled
)

func newPlayer(t Trace, d dispatch.Dispatcher) *player {
	p := &player{trace: t, dispatch: d, free: t.Slots(), outcomes: make([]outcome, len(t.Records))}
	for i, r := range t.Records {
		p.arrivals = append(p.arrivals, i)
		if r.Cancel {
			p.cancels = append(p.cancels, i)
		}
	}
	slices.SortStableFunc(p.arrivals, func(a, b int) int { return cmp.Compare(t.Records[a].At, t.Records[b].At) })
	slices.SortStableFunc(p.cancels, func(a, b int) int { return cmp.Compare(t.Records[a].CancelAt, t.Records[b].CancelAt) })
	return p
}

// step processes the next instant at which something happens. It reports false
// at the end of the trace.
func (p *player) step() bool {
	now, ok := p.next()
	if !ok {
		return false
	}
	p.complete(now)
	for len(p.arrivals) > 0 && p.trace.Records[p.arrivals[0]].At <= now {
		p.arrive(now, p.arrivals[0])
		p.arrivals = p.arrivals[1:]
	}
	for len(p.cancels) > 0 && p.trace.Records[p.cancels[0]].CancelAt <= now {
		if i := p.cancels[0]; p.dispatch.Cancel(clock(now), dispatch.ItemID(i)) {
			p.outcomes[i].state = cancelled
		}
		p.cancels = p.cancels[1:]
	}
	p.start(now)
	return true
}

func (p *player) next() (time.Duration, bool) {
	var now time.Duration
	found := false
	earliest := func(t time.Duration) {
		if !found || t < now {
			now, found = t, true
		}
	}
	if len(p.running) > 0 {
		earliest(p.running[0].at)
	}
	if len(p.arrivals) > 0 {
		earliest(p.trace.Records[p.arrivals[0]].At)
	}
	if len(p.cancels) > 0 {
		earliest(p.trace.Records[p.cancels[0]].CancelAt)
	}
	if p.again > 0 {
		earliest(p.again)
	}
	return now, found
}

func (p *player) complete(now time.Duration) {
	for len(p.running) > 0 && p.running[0].at <= now {
		e := heap.Pop(&p.running).(ending)
		p.free++
		p.outcomes[e.record].state = completed
		p.outcomes[e.record].finished = now
		p.dispatch.Complete(clock(now), dispatch.ItemID(e.record), p.trace.Records[e.record].Run)
	}
}

func (p *player) arrive(now time.Duration, i int) {
	r := p.trace.Records[i]
	item := dispatch.Item{ID: dispatch.ItemID(i), Caller: r.Caller, Service: r.Service, Declared: r.Declared}
	if r.Deadline > 0 {
		item.Deadline = clock(r.At + r.Deadline)
	}
	p.dispatch.Arrive(clock(now), item)
}

func (p *player) start(now time.Duration) {
	d := p.dispatch.Next(clock(now), p.free)
	p.free -= len(d.Start)
	for _, item := range d.Start {
		r := p.trace.Records[item.ID]
		p.outcomes[item.ID].wait = now - r.At
		heap.Push(&p.running, ending{at: now + r.Run, record: int(item.ID)})
	}
	for _, item := range d.Expired {
		p.outcomes[item.ID].state = rejected
	}
	p.again = 0
	if !d.NextCall.IsZero() {
		p.again = d.NextCall.Sub(clock(0))
	}
}

// clock converts trace time to the time that the dispatcher sees.
func clock(t time.Duration) time.Time { return time.Unix(0, 0).Add(t) }

// ending is the completion of a running record. Completions at one instant
// come in file order.
type ending struct {
	at     time.Duration
	record int
}

type endHeap []ending

func (h endHeap) Len() int { return len(h) }
func (h endHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].record < h[j].record)
}
func (h endHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)   { *h = append(*h, x.(ending)) }
func (h *endHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
