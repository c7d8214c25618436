package scale

import (
	"math"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

// maxGrowth bounds the arrival rate that is expected by the end of the lead time, as a
// multiple of the rate seen last.
const maxGrowth = 2.5

// Horizon holds the times that a forecast works with.
type Horizon struct {
	// Window is the length of the windows in which the inflow was counted.
	Window time.Duration
	// Lead is the time from a decision until the instance is in its new pool.
	Lead time.Duration
	// Clearing is the time after the lead time within which the waiting work should be
	// done.
	Clearing time.Duration
}

// Forecast returns the capacity that a pool needs by the end of the lead time. It answers
// queues whose demand rises within a few seconds to several times its mean, faster than
// instances can be moved: the arrival rate is extrapolated, and the work that the pool will
// not have done by then is added. done is the work, in resources multiplied by seconds,
// that the pool can do within the lead time.
//
// The rate grows only as far as the number of arrivals supports it, and the work of an
// arrival is the mean of both windows, so that single large workloads do not pass for the
// start of a burst.
func Forecast(in query.Inflow, done model.Resources, h Horizon) model.Resources {
	recent, expected := arrivalRates(float64(in.Recent.Rounds), float64(in.Earlier.Rounds), h)
	arrivals := (recent+expected)/2*h.Lead.Seconds() + expected*h.Clearing.Seconds()
	seen := in.Recent.Seconds.Add(in.Earlier.Seconds)
	rounds := float64(max(in.Recent.Rounds+in.Earlier.Rounds, 1))
	needed := func(waiting, seen, done int64) int64 {
		work := float64(seen) / rounds // of one arrival
		left := float64(waiting) + arrivals*work - float64(done)
		return int64(max(expected*work, left/h.Clearing.Seconds()))
	}
	waiting := in.Waiting.Seconds
	return model.Resources{
		MilliCPU:     needed(waiting.MilliCPU, seen.MilliCPU, done.MilliCPU),
		MemoryMB:     needed(waiting.MemoryMB, seen.MemoryMB, done.MemoryMB),
		Accelerators: needed(waiting.Accelerators, seen.Accelerators, done.Accelerators),
	}
}

// arrivalRates returns the arrivals per second in the recent window and those expected by
// the end of the lead time, given the arrivals in the recent window and in the one before.
// Both are reduced by one standard deviation of as many independent arrivals, and a change
// counts only as far as it exceeds the deviations of both windows.
func arrivalRates(recent, earlier float64, h Horizon) (now, expected float64) {
	window := h.Window.Seconds()
	now = (recent - math.Sqrt(recent)) / window
	change := recent - earlier
	uncertain := math.Sqrt(recent) + math.Sqrt(earlier)
	growth := math.Copysign(max(0, math.Abs(change)-uncertain), change) / window / window
	// The recent rate is the mean of a window, so it is half a window old.
	ahead := (h.Lead + h.Window/2).Seconds()
	return now, min(max(now+growth*ahead, 0), maxGrowth*now)
}
