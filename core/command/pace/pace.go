// Package pace decides how often the workers of a fleet report to the leader, and how often
// the leader plans. In a large fleet, reports and plans would otherwise use up the leader's
// processor, and leases would expire before their renewals are handled.
package pace

import "time"

const (
	// smallFleet is the number of workers up to which they report at the base interval.
	smallFleet = 600
	// workersPerSecond is the number of further workers for which the interval grows by one
	// second.
	workersPerSecond = 1300
	// MaxInterval is the longest interval. A worker whose report gets no answer within a
	// second can send it again before a lease of 3.5 s ends.
	MaxInterval = 2 * time.Second
	// passPerWorker is by how much the time between two planning passes grows with each
	// further worker. A pass looks at each worker.
	passPerWorker = 15 * time.Microsecond
)

// Interval returns the time between two reports of a worker in a fleet of the given number
// of workers. In a small fleet it is base; it grows with the fleet up to MaxInterval, so that
// the number of reports per second stops growing.
func Interval(workers int, base time.Duration) time.Duration {
	more := time.Duration(max(0, workers-smallFleet)) * time.Second / workersPerSecond
	return max(base, min(base+more, MaxInterval))
}

// PassInterval returns the shortest time between two planning passes: 0 in a small fleet,
// where a pass takes less time than the commit of its starts.
func PassInterval(workers int) time.Duration {
	return time.Duration(max(0, workers-smallFleet)) * passPerWorker
}
