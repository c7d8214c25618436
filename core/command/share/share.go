// Package share decides how client accounts share the fleet: what each of them may have
// running, and whose work comes first while more work waits than fits. It has no side
// effects: the result depends only on the state, the runs that the state does not list any
// more, and the time, which the caller passes.
package share

import "lacewingturn.example/core/model"

// FitsCap reports whether the use is within the cap. A component of the cap that is 0 sets
// no limit.
func FitsCap(limit, use model.Resources) bool {
	return fitsComponent(limit.MilliCPU, use.MilliCPU) && fitsComponent(limit.MemoryMB, use.MemoryMB) &&
		fitsComponent(limit.Accelerators, use.Accelerators)
}

func fitsComponent(limit, use int64) bool { return limit == 0 || use <= limit }

// fitsCopies reports whether the cap has room for so many runs that need the same, beside
// what is in use. It divides instead of multiplying, because needs come from callers and a
// product could overflow.
func fitsCopies(limit, use, need model.Resources, copies int) bool {
	fits := func(limit, use, need int64) bool {
		return limit == 0 || need <= 0 || copies <= 0 || use <= limit && need <= (limit-use)/int64(copies)
	}
	return fits(limit.MilliCPU, use.MilliCPU, need.MilliCPU) && fits(limit.MemoryMB, use.MemoryMB, need.MemoryMB) &&
		fits(limit.Accelerators, use.Accelerators, need.Accelerators)
}
