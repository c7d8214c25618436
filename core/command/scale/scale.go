// Package scale decides which instances to move between pools, so that the size
// of each pool follows the demand of its queues and idle instances are powered
// off in a standby pool. It has no side effects; the caller carries out the moves.
package scale

import (
	"cmp"
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

const (
	// headroom is the number of instances kept beyond the current demand.
	headroom = 1
	// minSize is the minimum size of a pool with queues.
	minSize = 2
	// minIdle is how long an instance must be idle, or surplus to the demand, before it is
	// powered off. It is longer than the break-even time of moving an instance away and
	// back.
	minIdle = 800 * time.Millisecond
)

// Input is the data that a decision depends on. The order of Pools matters: pools
// get instances in this order, and the first standby pool is the one used.
type Input struct {
	Pools     []Pool
	Instances []Instance
}

// Pool describes the demand on a pool.
type Pool struct {
	Name    model.PoolName
	Standby bool // its instances are powered off
	// Demand is the sum of the resources of running and waiting tasks.
	Demand model.Resources
	// MinInstances is the number of instances that lasting tasks need because some of
	// them must not share an instance.
	MinInstances int
}

// Instance describes an instance that may be moved.
type Instance struct {
	ID       model.InstanceID
	Pool     model.PoolName // current pool, or the destination if it is being moved
	Capacity model.Resources
	// Movable is set if nothing runs on the instance and no other operation is
	// planned for it.
	Movable bool
	// Draining is set while the instance is being emptied for upkeep or is maintained. It
	// does not count for the size of its pool: it takes no tasks, and those that leave it
	// need another instance.
	Draining bool
	// Retirable is set if no lasting task runs on the instance, so that it becomes
	// empty once it gets no new work.
	Retirable bool
	// LoadMilliCPU is the processor time that its runs reserve, in thousandths of
	// a processor.
	LoadMilliCPU int64
	PoweredOff   bool
	IdleTime     time.Duration // how long nothing has run on it
	// SurplusTime is how long the instance has been among those to retire without a
	// break; 0 if it was not at the last decision.
	SurplusTime time.Duration
}

// maySwitchOff reports whether the instance may be powered off if its pool is larger than
// desired. When the demand of a pool falls, an instance is surplus for longer than its last
// runs take, and leaves as soon as it is empty; the wait only keeps instances that a
// short gap in the demand leaves idle.
func (i *Instance) maySwitchOff() bool {
	return i.Movable && !i.PoweredOff && max(i.IdleTime, i.SurplusTime) >= minIdle
}

// Move asks the caller to move an instance to another pool.
type Move struct {
	Instance model.InstanceID
	From     model.PoolName
	To       model.PoolName
}

// Decision is the result of Decide.
type Decision struct {
	Moves []Move
	// Retire lists the instances beyond the desired size of their pool. Placement
	// uses them last, so that they become empty and can be powered off.
	Retire []model.InstanceID
}

// Decide returns the moves to start now: first those into pools that are below
// their desired size, then those of idle instances to the standby pool.
func Decide(in Input) Decision {
	p := &planner{desired: map[model.PoolName]int{}, size: map[model.PoolName]int{}}
	p.instances = slices.Clone(in.Instances)
	slices.SortFunc(p.instances, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(b.IdleTime, a.IdleTime), cmp.Compare(a.ID, b.ID))
	})
	for _, i := range p.instances {
		if !i.Draining {
			p.size[i.Pool]++
		}
	}
	for _, pool := range in.Pools {
		if pool.Standby {
			p.standby = cmp.Or(p.standby, pool.Name)
			continue
		}
		p.desired[pool.Name] = desiredSize(pool, p.instanceCapacity(pool.Name))
	}
	p.grow(in.Pools)
	p.shrink()
	p.retire()
	return p.out
}

type planner struct {
	instances []Instance
	desired   map[model.PoolName]int
	size      map[model.PoolName]int
	standby   model.PoolName // empty if there is none
	out       Decision
}

// instanceCapacity returns the capacity of the pool's instance with the fewest
// processors. For an empty pool it returns the capacity of an instance of another pool,
// or zero if there are no instances.
func (p *planner) instanceCapacity(pool model.PoolName) model.Resources {
	var least, anyCapacity model.Resources
	for _, i := range p.instances {
		if i.Pool == pool && (least.MilliCPU == 0 || i.Capacity.MilliCPU < least.MilliCPU) {
			least = i.Capacity
		}
		anyCapacity = i.Capacity
	}
	if least.MilliCPU == 0 {
		return anyCapacity
	}
	return least
}

// desiredSize returns the number of instances that a pool needs for its demand,
// given the capacity of one instance.
func desiredSize(p Pool, one model.Resources) int {
	n := max(ceilDiv(p.Demand.MilliCPU, one.MilliCPU), ceilDiv(p.Demand.MemoryMB, one.MemoryMB), ceilDiv(p.Demand.Accelerators, one.Accelerators))
	return max(n+headroom, p.MinInstances+headroom, minSize)
}

// ceilDiv returns total/unit rounded up, and 0 if unit is not positive.
func ceilDiv(total, unit int64) int {
	if unit <= 0 {
		return 0
	}
	return int((total + unit - 1) / unit)
}

// grow moves instances into pools below their desired size.
func (p *planner) grow(pools []Pool) {
	for _, pool := range pools {
		for !pool.Standby && p.size[pool.Name] < p.desired[pool.Name] {
			i := p.findSpare(pool.Name)
			if i < 0 {
				break
			}
			p.move(i, pool.Name)
		}
	}
}

// findSpare returns the index in p.instances of an instance to move to the pool, or -1
// if there is none. It prefers surplus instances that would be powered off otherwise,
// which saves a move when demand goes from one pool to another, then powered-off ones,
// then other surplus instances.
func (p *planner) findSpare(to model.PoolName) int {
	off, surplus := -1, -1
	for i, instance := range p.instances {
		if !instance.Movable || instance.Pool == to {
			continue
		}
		switch {
		case instance.PoweredOff:
			off = firstFound(off, i)
		case p.size[instance.Pool] <= p.desired[instance.Pool]:
		case p.standby != "" && instance.Pool != p.standby && instance.maySwitchOff():
			return i
		default:
			surplus = firstFound(surplus, i)
		}
	}
	if off >= 0 {
		return off
	}
	return surplus
}

// firstFound returns index unless an earlier one was found, which is not negative.
func firstFound(earlier, index int) int {
	if earlier >= 0 {
		return earlier
	}
	return index
}

// shrink moves idle instances of pools above their desired size to the standby
// pool, where they are powered off.
func (p *planner) shrink() {
	if p.standby == "" {
		return
	}
	for i, instance := range p.instances {
		if instance.Pool != p.standby && instance.maySwitchOff() && p.size[instance.Pool] > p.desired[instance.Pool] {
			p.move(i, p.standby)
		}
	}
}

// retire selects the surplus instances of each pool above its desired size, the least
// loaded first. It selects none if there is no standby pool.
func (p *planner) retire() {
	if p.standby == "" {
		return
	}
	slices.SortFunc(p.instances, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.LoadMilliCPU, b.LoadMilliCPU), cmp.Compare(a.ID, b.ID))
	})
	for _, i := range p.instances {
		if i.Retirable && !i.PoweredOff && p.size[i.Pool] > p.desired[i.Pool] {
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
	instance.Pool, instance.Movable, instance.PoweredOff = to, false, false
}
