// Package pace decides at which share of their speed fillers work beside
// serving tasks, so that the response times of those stay below their targets.
package pace

import "time"

const (
	// Full is the share in percent at which a filler starts.
	Full = 100
	// alert and calm are the parts of a target at which fillers are slowed down
	// and let go on.
	alert = 0.85
	calm  = 0.65
	// stopAfter is how long a serving task may be over its target before the
	// fillers beside it stand still.
	stopAfter = time.Second
	// raiseEvery is the time between two steps up, and raise the step in percent.
	raiseEvery = 600 * time.Millisecond
	raise      = 10
)

// Serving is a task with a target, as its worker has last measured it.
type Serving struct {
	Tail   time.Duration
	Target time.Duration
}

// Worker is the pace of the fillers on one worker.
type Worker struct {
	Percent   int
	overSince time.Time // since when a serving task is over its target; zero if none is
	changedAt time.Time
}

// NewWorker returns a worker whose fillers work at full speed.
func NewWorker() Worker { return Worker{Percent: Full} }

// Next returns the pace after a measurement of all serving tasks of the worker.
func (w Worker) Next(now time.Time, serving []Serving) Worker {
	worst := 0.0
	for _, s := range serving {
		if s.Target > 0 {
			worst = max(worst, float64(s.Tail)/float64(s.Target))
		}
	}
	if worst < 1 {
		w.overSince = time.Time{}
	} else if w.overSince.IsZero() {
		w.overSince = now
	}
	switch {
	case !w.overSince.IsZero() && now.Sub(w.overSince) >= stopAfter:
		return w.set(now, 0)
	case worst >= alert:
		return w.set(now, w.Percent/2)
	case worst < calm && w.Percent < Full && now.Sub(w.changedAt) >= raiseEvery:
		return w.set(now, min(Full, w.Percent+raise))
	}
	return w
}

func (w Worker) set(now time.Time, percent int) Worker {
	if percent != w.Percent {
		w.Percent, w.changedAt = percent, now
	}
	return w
}
