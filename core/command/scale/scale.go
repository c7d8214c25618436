// Package scale decides which instances change their pool, so that each pool
// follows the demand of its queues and idle instances are powered off in a
// standby pool. It is pure; the caller carries the moves out.
package scale

import (
	"cmp"
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

const (
	// headroom is the number of instances kept beyond the present demand.
	headroom = 1
	// minSize is the smallest size of a pool with queues.
	minSize = 2
	// idleTime is how long an instance must be idle before it is powered off. It
	// is longer than the time that pays for two moves.
	idleTime = 800 * time.Millisecond
)

// Input is what a decision depends on.
type Input struct {
	Pools     []Pool
	Instances []Instance
}

// Pool is the demand of a pool.
type Pool struct {
	Name    model.PoolName
	Standby bool
	// Demand is what running and waiting tasks take together.
	Demand model.Resources
	// Spread is the number of instances that lasting tasks need to keep apart.
	Spread int
}

// Instance is one that may be moved.
type Instance struct {
	ID       model.InstanceID
	Pool     model.PoolName // to which it belongs, or is being moved
	Capacity model.Resources
	// Movable is set if nothing runs on it and no other work is planned for it.
	Movable bool
	// Retirable is set if it may be emptied: no lasting task is on it.
	Retirable bool
	// Load is what the runs on it take, in thousandths of a processor.
	Load int64
	Off  bool
	Idle time.Duration // how long nothing has run on it
}

// Move is a change of pool.
type Move struct {
	Instance model.InstanceID
	From     model.PoolName
	To       model.PoolName
}

// Decision is what to do next.
type Decision struct {
	Moves []Move
	// Retire lists the instances beyond what their pool wants. They get work last,
	// so that they can be powered off once they are empty.
	Retire []model.InstanceID
}

// Decide returns the moves to begin now: first those that a pool lacks
// instances for, then those to a standby pool.
func Decide(in Input) Decision {
	p := &planner{wanted: map[model.PoolName]int{}, size: map[model.PoolName]int{}}
	p.instances = slices.Clone(in.Instances)
	slices.SortFunc(p.instances, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(b.Idle, a.Idle), cmp.Compare(a.ID, b.ID))
	})
	for _, i := range p.instances {
		p.size[i.Pool]++
	}
	for _, pool := range in.Pools {
		if pool.Standby {
			p.standby = cmp.Or(p.standby, pool.Name)
			continue
		}
		p.wanted[pool.Name] = wanted(pool, p.capacity(pool.Name))
	}
	p.grow(in.Pools)
	p.shrink()
	p.retire()
	return p.out
}

type planner struct {
	instances []Instance
	wanted    map[model.PoolName]int
	size      map[model.PoolName]int
	standby   model.PoolName // empty if there is none
	out       Decision
}

// capacity returns the smallest capacity of an instance of the pool, or of any.
func (p *planner) capacity(pool model.PoolName) model.Resources {
	var least, any model.Resources
	for _, i := range p.instances {
		if i.Pool == pool && (least.MilliCPU == 0 || i.Capacity.MilliCPU < least.MilliCPU) {
			least = i.Capacity
		}
		any = i.Capacity
	}
	if least.MilliCPU == 0 {
		return any
	}
	return least
}

// wanted returns the number of instances that the demand of a pool calls for.
func wanted(p Pool, one model.Resources) int {
	n := max(parts(p.Demand.MilliCPU, one.MilliCPU), parts(p.Demand.MemoryMB, one.MemoryMB), parts(p.Demand.Accelerators, one.Accelerators))
	return max(n+headroom, p.Spread+headroom, minSize)
}

// parts returns how many times one is needed for all.
func parts(all, one int64) int {
	if one <= 0 {
		return 0
	}
	return int((all + one - 1) / one)
}

// grow moves instances to pools that lack some: from standby first, else from
// pools that have more than they want.
func (p *planner) grow(pools []Pool) {
	for _, pool := range pools {
		for !pool.Standby && p.size[pool.Name] < p.wanted[pool.Name] {
			i := p.spare(pool.Name)
			if i < 0 {
				break
			}
			p.move(i, pool.Name)
		}
	}
}

func (p *planner) spare(to model.PoolName) int {
	best := -1
	for i, instance := range p.instances {
		if !instance.Movable || instance.Pool == to {
			continue
		}
		if instance.Off {
			return i
		}
		if best < 0 && p.size[instance.Pool] > p.wanted[instance.Pool] {
			best = i
		}
	}
	return best
}

// shrink powers idle instances off.
func (p *planner) shrink() {
	if p.standby == "" {
		return
	}
	for i, instance := range p.instances {
		if instance.Movable && !instance.Off && instance.Pool != p.standby && instance.Idle >= idleTime &&
			p.size[instance.Pool] > p.wanted[instance.Pool] {
			p.move(i, p.standby)
		}
	}
}

// retire chooses the instances with the least load of pools that are too large.
func (p *planner) retire() {
	if p.standby == "" {
		return
	}
	slices.SortFunc(p.instances, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID))
	})
	for _, i := range p.instances {
		if i.Retirable && !i.Off && p.size[i.Pool] > p.wanted[i.Pool] {
			p.out.Retire = append(p.out.Retire, i.ID)
			p.size[i.Pool]--
		}
	}
}

func (p *planner) move(i int, to model.PoolName) {
	instance := &p.instances[i]
	p.out.Moves = append(p.out.Moves, Move{instance.ID, instance.Pool, to})
	p.size[instance.Pool]--
	p.size[to]++
	instance.Pool, instance.Movable, instance.Off = to, false, false
}
