// Package near decides whether a step waits for a place near its data, or for one rack
// with room for its whole gang, or starts at once where its tasks run longer. It has no
// clock and no side effects.
package near

import (
	"math"
	"time"

	"lacewingturn.example/core/model"
)

// Wait is the wait of a step for near places. It lasts while at least one of its tasks
// waits, and is kept after that until the step is complete, so that the tasks of a step
// never wait beyond Until.
type Wait struct {
	Since model.Timestamp
	// Until is when the step stops waiting in any case.
	Until model.Timestamp
	// Expected is when the latest decision expected the near place.
	Expected model.Timestamp
	// Rack holds the workers that the step waits for.
	Rack Rack
	// Tasks is the number of tasks that wait; 0 once the wait has ended.
	Tasks int
	// Near and Far count the tasks that started near and far since the wait began.
	Near, Far int
	// Extra is the expected extra run time of a task that runs far.
	Extra time.Duration
}

// Waits holds the waits by step.
type Waits map[model.StepRef]Wait

// History is what the next decisions need to know about the earlier ones.
type History struct {
	Waits Waits
	// Use holds the use of the racks that steps have preferred recently.
	Use map[Rack]Use
}

// Rack identifies the workers of a pool in one rack.
type Rack struct {
	Pool model.PoolName
	Name string
}

// Use says how long a rack has had too little capacity for the steps that prefer it.
type Use struct {
	// Short is the share of the time until At in which it had too little capacity, as a moving
	// average; a queue that does not clear brings it to 1.
	Short float64
	At    model.Timestamp
	// IsShort is set if there was too little capacity at that time, for a task of the size Need.
	IsShort bool
	Need    model.Resources
}

const (
	// useWindow is the time constant of the average.
	useWindow = MaxWait
	// negligibleUse is the share of time below which a shortage is forgotten.
	negligibleUse = 0.01
)

// Until returns the use with the average until now.
func (u Use) Until(now model.Timestamp) Use {
	observed := 0.0
	if u.IsShort {
		observed = 1
	}
	weight := 1 - math.Exp(-float64(max(0, now.Sub(u.At)))/float64(useWindow))
	u.Short += weight * (observed - u.Short)
	u.At = now
	return u
}

// Negligible reports whether the rack has had room for long.
func (u Use) Negligible() bool { return u.Short < negligibleUse && !u.IsShort }

// Choice is a step that could start now far from its data, or later near it.
type Choice struct {
	Now model.Timestamp
	// Wait is the expected time until the near place is free; Never if none will be.
	Wait time.Duration
	// Run is the expected run time near the data; 0 if it is unknown.
	Run time.Duration
	// Factor is the run time far from the data as a multiple of Run.
	Factor float64
	// Slack is the time from now to the target completion time, less the expected run
	// time of all that is left of the workload. It is negative if the target will be missed.
	Slack time.Duration
	// OthersFar is set if other tasks of the step run far anyway, so that a near place for this
	// one does not complete the step sooner.
	OthersFar bool
	// Contended is set if other work waits for the capacity that a longer run would use.
	Contended bool
	// Short is the share of the recent time in which the rack had too little capacity. It stands
	// for the chance that another task would use the near place, and runs far in exchange.
	Short float64
	// Begun is the wait that the step has begun; nil if it has not waited yet.
	Begun *Wait
	// Continues is set if the task, and not only another one of its step, waited before.
	Continues bool
}

const (
	// MaxWait is the longest wait of a step, however much a near place would save. It
	// limits the cost of wrong estimates.
	MaxWait = 1500 * time.Millisecond
	// beginShare is the part of what a near place saves that a new wait must gain. A wait
	// that has begun goes on while it gains anything, so that small changes of the
	// expectation do not start and end waits by turns.
	beginShare = 0.1
)

// Extra returns the extra run time of a task far from its data; 0 if it is unknown.
func (c Choice) Extra() time.Duration {
	return max(0, time.Duration((c.Factor-1)*float64(c.Run)))
}

// Saved returns what a near place saves: the extra run time of the task, unless the step
// does not complete sooner, and as much again if others wait for the capacity that the task
// would use meanwhile; less what is lost by the task that would have used the near place
// instead. A task that waits already has its place: what it takes from others no longer
// counts.
func (c Choice) Saved() time.Duration {
	var saved time.Duration
	if !c.OthersFar {
		saved += c.Extra()
	}
	if c.Contended {
		saved += c.Extra()
	}
	if c.Continues {
		return saved
	}
	return time.Duration((1 - min(1, c.Short)) * float64(saved))
}

// Limit returns the longest expected wait that can still pay.
func (c Choice) Limit() time.Duration { return min(c.Saved(), MaxWait) }

// Decide returns the wait of the step, and whether it should wait now. A step whose run
// time is unknown does not wait.
func Decide(c Choice) (Wait, bool) {
	if c.Wait == Never || c.Wait > MaxWait || c.missesTarget() {
		return Wait{}, false
	}
	gain := c.Saved() - c.Wait
	if !c.Continues {
		gain -= time.Duration(beginShare * float64(c.Saved()))
	}
	w := Wait{Since: c.Now, Until: c.Now.Add(c.bound()), Extra: c.Extra()}
	if c.Begun != nil {
		w = *c.Begun
	}
	w.Expected = c.Now.Add(c.Wait)
	return w, gain > 0 && c.Now < w.Until
}

// missesTarget reports whether the workload would miss its target after the wait although
// a far run meets it.
func (c Choice) missesTarget() bool { return c.Slack >= c.Extra() && c.Slack < c.Wait }

// bound returns the longest time that a new wait may last. Waiting no longer than it can
// save costs at most twice as much as the better choice. If there is time, the wait ends
// early enough for a far run to meet the target.
func (c Choice) bound() time.Duration {
	bound := c.Limit()
	if spare := c.Slack - c.Extra(); spare >= c.Wait {
		bound = min(bound, spare)
	}
	return bound
}

// TimeLeft returns how much longer a run is expected to take after the elapsed time, if
// runs like it take the given time; Never if that is unknown. The longer a run has exceeded
// its expected run time, the longer it is expected to go on.
func TimeLeft(run, elapsed time.Duration) time.Duration {
	switch {
	case run <= 0:
		return Never
	case elapsed < run:
		return run - max(0, elapsed)
	}
	return elapsed / 2
}
