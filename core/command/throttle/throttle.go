// Package throttle throttles fillers, the tasks that use the processor time that
// others leave idle, so that the response times of the serving tasks on the same
// worker stay below their targets.
package throttle

import "time"

const (
	// FullPercent is the speed, in percent, of fillers that are not throttled. It
	// is also their initial speed.
	FullPercent = 100
	// slowDownRatio and speedUpRatio are the ratios of tail latency to target from
	// which fillers are slowed down, and below which they are sped up again. The
	// gap between them is hysteresis.
	slowDownRatio = 0.85
	speedUpRatio  = 0.65
	// pauseAfter is how long a serving task may exceed its target before the
	// fillers on its worker are paused.
	pauseAfter = time.Second
	// raiseInterval is the minimum time from a change of speed to the next
	// increase, and raisePercent is the size of an increase in percentage points.
	raiseInterval = 600 * time.Millisecond
	raisePercent  = 10
)

// Serving is the latest measurement of a serving task.
type Serving struct {
	TailLatency time.Duration // tail latency of its responses
	Target      time.Duration // for the tail latency; zero if there is none
}

// WorkerState is the throttling state of the fillers on one worker.
type WorkerState struct {
	Percent   int       // speed of the fillers; 0 pauses them
	overSince time.Time // when a serving task began to exceed its target; zero if none does
	changedAt time.Time // last change of Percent
}

// NewWorker returns the initial state, in which fillers run at full speed.
func NewWorker() WorkerState { return WorkerState{Percent: FullPercent} }

// Update returns the state after a measurement of all serving tasks of the worker.
// The task with the highest ratio of tail latency to target decides whether the speed
// of the fillers is halved, set to 0 (paused), raised by raisePercent, or left as it is.
func (w WorkerState) Update(now time.Time, serving []Serving) WorkerState {
	worstRatio := 0.0
	for _, s := range serving {
		if s.Target > 0 {
			worstRatio = max(worstRatio, float64(s.TailLatency)/float64(s.Target))
		}
	}
	if worstRatio < 1 {
		w.overSince = time.Time{}
	} else if w.overSince.IsZero() {
		w.overSince = now
	}
	switch {
	case !w.overSince.IsZero() && now.Sub(w.overSince) >= pauseAfter:
		return w.withPercent(now, 0)
	case worstRatio >= slowDownRatio:
		return w.withPercent(now, w.Percent/2)
	case worstRatio < speedUpRatio && w.Percent < FullPercent && now.Sub(w.changedAt) >= raiseInterval:
		return w.withPercent(now, min(FullPercent, w.Percent+raisePercent))
	}
	return w
}

func (w WorkerState) withPercent(now time.Time, percent int) WorkerState {
	if percent != w.Percent {
		w.Percent, w.changedAt = percent, now
	}
	return w
}
