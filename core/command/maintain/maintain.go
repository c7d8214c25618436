// Package maintain decides how operators' orders for upkeep are carried out:
// which instances are emptied, which runs are stopped for it, and which upkeep
// begins. It is pure and may be asked at any time.
package maintain

import (
	"cmp"
	"slices"
	"time"

	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
)

const (
	// patience is how long runs that are not lasting may take to end by
	// themselves on an instance that is being emptied.
	patience = 3 * time.Second
	// hurry is the part of the time after which patience ends.
	hurry = 0.7
	// maxPoolShare is the part of a pool that is emptied at the same time.
	maxPoolShare = 4
)

// Input is what a decision depends on.
type Input struct {
	Now       model.Timestamp
	Upkeeps   []model.Upkeep
	Instances []model.ObservedInstance
	// Down holds the instances whose upkeep has been asked for and that are not back.
	Down map[model.InstanceID]bool
	// Cordoned tells since when instances are being emptied.
	Cordoned map[model.InstanceID]model.Timestamp
	// Present reports whether a lasting task is at work.
	Present func(model.TaskRef) bool
	// Allowed returns how many tasks of a step may be away by the system's doing.
	Allowed func(model.TaskRef) (tasks int, missable int)
}

// Decision is what to do next.
type Decision struct {
	// Cordon lists the instances that get no new work.
	Cordon []model.InstanceID
	Stop   []model.RunRef
	Begin  []Upkeep
}

// Upkeep names an instance and the order that it is maintained for.
type Upkeep struct {
	Number   model.UpkeepNumber
	Instance model.InstanceID
}

// Decide returns the next steps of all orders.
func Decide(in Input) Decision {
	p := &planner{Input: in, byID: map[model.InstanceID]model.ObservedInstance{}, emptied: map[model.PoolName]int{}, size: map[model.PoolName]int{}}
	for _, i := range in.Instances {
		p.byID[i.ID] = i
		p.size[i.Pool]++
	}
	for _, u := range in.Upkeeps {
		p.advance(u)
	}
	return p.out
}

type planner struct {
	Input
	byID    map[model.InstanceID]model.ObservedInstance
	emptied map[model.PoolName]int // instances of a pool that are emptied or down
	size    map[model.PoolName]int
	out     Decision
	stopped []model.TaskRef
}

// advance takes the next steps of one order.
func (p *planner) advance(u model.Upkeep) {
	slots := u.Limit
	var open []model.ObservedInstance
	for _, i := range u.Instances {
		if p.Down[i.ID] {
			slots--
			p.emptied[p.byID[i.ID].Pool]++
			continue
		}
		if seen, ok := p.byID[i.ID]; ok && !i.Begun {
			open = append(open, seen)
		}
	}
	slices.SortFunc(open, p.compare)
	for _, i := range open {
		if slots <= 0 {
			return
		}
		if i.Away || i.Held || i.Leaving || !p.mayEmpty(u, i) {
			continue
		}
		slots--
		p.emptied[i.Pool]++
		p.out.Cordon = append(p.out.Cordon, i.ID)
		if i.Off || i.Idle() {
			p.out.Begin = append(p.out.Begin, Upkeep{u.Number, i.ID})
			continue
		}
		p.empty(u, i)
	}
}

// compare puts instances first that are being emptied or are empty, then those
// with less to stop.
func (p *planner) compare(a, b model.ObservedInstance) int {
	_, x := p.Cordoned[a.ID]
	_, y := p.Cordoned[b.ID]
	return cmp.Or(compare.TrueFirst(x, y), compare.TrueFirst(a.Off, b.Off), cmp.Compare(lasting(a), lasting(b)),
		cmp.Compare(len(a.Runs), len(b.Runs)), cmp.Compare(a.ID, b.ID))
}

func lasting(i model.ObservedInstance) int {
	n := 0
	for _, r := range i.Runs {
		if r.Lasting {
			n++
		}
	}
	return n
}

// mayEmpty bounds the part of a pool that is away, unless time is running out.
func (p *planner) mayEmpty(u model.Upkeep, i model.ObservedInstance) bool {
	if i.Off || p.hurried(u) {
		return true
	}
	return p.emptied[i.Pool] < max(1, p.size[i.Pool]/maxPoolShare)
}

func (p *planner) hurried(u model.Upkeep) bool {
	return p.Now.Sub(u.OrderedAt) > time.Duration(hurry*float64(u.Duration))
}

// empty stops what has to be stopped on a cordoned instance.
func (p *planner) empty(u model.Upkeep, i model.ObservedInstance) {
	since, ok := p.Cordoned[i.ID]
	if !ok {
		since = p.Now
	}
	tired := p.Now.Sub(since) > patience || p.hurried(u)
	for _, r := range i.Runs {
		switch {
		case r.Stopping:
		case r.Lasting:
			if p.mayStop(r) {
				p.stop(r)
			}
		case tired || r.Checkpointing:
			p.stop(r)
		}
	}
}

func (p *planner) stop(r model.ObservedRun) {
	p.stopped = append(p.stopped, r.Run.Task)
	p.out.Stop = append(p.out.Stop, r.Run)
}

// mayStop reports whether a lasting task may be ended: so few others of its
// step are away that its budget holds.
func (p *planner) mayStop(r model.ObservedRun) bool {
	tasks, missable := p.Allowed(r.Run.Task)
	away := 0
	for k := range tasks {
		other := r.Run.Task
		other.Index = k
		if other != r.Run.Task && (!p.Present(other) || slices.Contains(p.stopped, other)) {
			away++
		}
	}
	return away < max(missable, 1)
}
