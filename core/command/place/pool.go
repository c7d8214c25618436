package place

import "lacewingturn.example/core/model"

// pool is a group of workers that the planner considers for the same tasks: those of a
// pool, or those of a pool in one rack.
type pool struct {
	workers []*Worker // in the order in which they were given
	// largestFree is no less than the free capacity of any worker, in each component. It
	// rejects a task that fits on no worker without looking at the workers, which is the
	// common case while more work waits than the pool can hold.
	largestFree model.Resources
}

// groupByPool groups the workers by pool. The groups point into the slice.
func groupByPool(workers []Worker) map[model.PoolName]*pool {
	pools := map[model.PoolName]*pool{}
	for i := range workers {
		w := &workers[i]
		group := pools[w.Pool]
		if group == nil {
			group = &pool{}
			pools[w.Pool] = group
		}
		group.workers = append(group.workers, w)
	}
	for _, group := range pools {
		group.updateLargestFree()
	}
	return pools
}

func (g *pool) updateLargestFree() {
	g.largestFree = model.Resources{}
	for _, w := range g.workers {
		g.largestFree = g.largestFree.Max(w.Free)
	}
}

// mayFit reports whether the need may fit on a worker; if not, it certainly fits on none.
func (g *pool) mayFit(need model.Resources) bool { return g.largestFree.Fits(need) }

// roomFor returns how many tasks with the need fit on the workers, counted up to a maximum. Fewer
// may be allowed to run there.
func (g *pool) roomFor(need model.Resources, most int) int {
	n := 0
	for _, w := range g.workers {
		if n += copies(w.Free, need, most-n); n >= most {
			return most
		}
	}
	return n
}

// copies returns how often the need fits into what is free, counted up to a maximum.
func copies(free, need model.Resources, most int) int {
	if !free.Fits(need) {
		return 0
	}
	n := int64(most)
	for _, component := range [][2]int64{{free.MilliCPU, need.MilliCPU}, {free.MemoryMB, need.MemoryMB}, {free.Accelerators, need.Accelerators}} {
		if component[1] > 0 {
			n = min(n, component[0]/component[1])
		}
	}
	return int(n)
}

// minFreeMilliCPU is the free processor time, in thousandths of a processor, below
// which a worker counts as full.
const minFreeMilliCPU = 50

// hasCapacity reports whether a worker may have free capacity. It is false for nil, the
// group of a pool without workers.
func (g *pool) hasCapacity() bool { return g != nil && g.largestFree.MilliCPU >= minFreeMilliCPU }
