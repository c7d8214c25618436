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

// DominantShare returns the largest share of the total that the use has of any kind of
// resource. A component of the total that is 0 is left out.
func DominantShare(total, use model.Resources) float64 {
	return max(ratio(use.MilliCPU, total.MilliCPU), ratio(use.MemoryMB, total.MemoryMB), ratio(use.Accelerators, total.Accelerators))
}

func ratio(use, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(use) / float64(total)
}

// fitsCopies reports whether the cap has room for so many runs that need the same, beside
// what is in use. It divides instead of multiplying, because needs come from callers and a
// product could overflow.
func fitsCopies(limit, use, need model.Resources, copies int) bool {
	fits := func(limit, use, need int64) bool {
		return limit == 0 || use <= limit && (copies <= 0 || need <= (limit-use)/int64(copies))
	}
	return fits(limit.MilliCPU, use.MilliCPU, need.MilliCPU) && fits(limit.MemoryMB, use.MemoryMB, need.MemoryMB) &&
		fits(limit.Accelerators, use.Accelerators, need.Accelerators)
}
