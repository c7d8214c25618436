// Package health implements passive health checking of targets. From the outcomes
// of requests it distinguishes a dead connection, an unresponsive target, a target
// that accepts requests and never answers them, one that fails all requests fast,
// one that refuses connections, and one that is slow. At least half of the targets
// of a service stay in use.
package health

import (
	"math"
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

// Thresholds and time constants.
const (
	// FailuresToEject is the number of consecutive failed answers after which a
	// target is ejected.
	FailuresToEject = 5
	// RefusalsToEject is the number of consecutive refused or broken connections
	// after which a target is ejected.
	RefusalsToEject = 2
	// StuckToEject is the number of consecutive unanswered requests after which a
	// target is ejected although it passed the check on a new connection each time.
	StuckToEject = 3
	// BaseEjection is the duration of a target's first ejection. It doubles with
	// each further one, up to MaxEjection, until a request succeeds.
	BaseEjection = 2 * time.Second
	// MaxEjection is the longest duration of an ejection.
	MaxEjection = 60 * time.Second
	// SlowFactor is the multiple of the service's median run time above which the
	// mean run time of a target counts as slow. A mean needs minSamples run times.
	SlowFactor = 4
	minSamples = 5
	// MedianInterval is the interval between computations of a service's median.
	MedianInterval = 500 * time.Millisecond
	// FailureHalfLife is the half-life of a target's failure rate. The rate decays
	// without requests too, so a target that gets none because of a failure gets
	// requests again.
	FailureHalfLife = 2 * time.Second
	// negligibleRate is the failure rate below which there is no penalty.
	negligibleRate = 0.05
	// sampleWeight is the weight of a new sample in the exponential moving averages.
	sampleWeight = 0.2
)

// RequestOutcome classifies the outcome of a request for its target.
type RequestOutcome uint8

// Outcomes of requests.
const (
	Done    RequestOutcome = iota + 1 // complete answer
	Failed                            // complete answer that reports an error in the target
	Refused                           // connection refused, or the target reported that it did not run the request
	Silent                            // no answer before the timeout
	Broken                            // connection closed before the answer was complete
)

// State is the health of a target.
type State uint8

// States of a target. Targets in all states but Ejected get requests.
const (
	Healthy   State = iota + 1
	Slow            // its mean run time exceeds SlowFactor times the median of the service
	Checking        // a request timed out; a check on a new connection is in progress
	Ejected         // gets no requests until its ejection ends
	Returning       // gets one request at a time until one succeeds
	Suspect         // not ejected only because half of the targets must stay in use
)

func (s State) String() string {
	return [...]string{"none", "healthy", "slow", "checking", "ejected", "returning", "suspect"}[min(int(s), 6)]
}

// EjectionReason is why a target was ejected.
type EjectionReason string

// Reasons of an ejection.
const (
	ReasonSilent   EjectionReason = "silent"   // no answer on a new connection either
	ReasonStuck    EjectionReason = "stuck"    // accepts requests and never answers them
	ReasonFailing  EjectionReason = "failing"  // fails all requests
	ReasonRefusing EjectionReason = "refusing" // refuses connections
)

// Action is what the caller must do after an outcome or a check.
type Action uint8

// Actions.
const (
	NoAction Action = iota
	Check           // check the target on a new connection, then call RecordCheck
	Replace         // the target works: close its unresponsive connections
	Eject           // the target was ejected
)

// Target holds the health of one target.
type Target struct {
	ID           model.TargetID
	state        State
	reason       EjectionReason
	failures     int     // consecutive failed answers
	refusals     int     // consecutive refused or broken connections
	stuck        int     // consecutive unanswered requests, each with a passed check
	failureRate  float64 // moving average of the failure rate, as of sampledAt
	sampledAt    time.Time
	meanRun      time.Duration // moving average of the run time
	samples      int
	ejections    int       // consecutive ejections
	ejectedUntil time.Time // end of the ejection
}

// Service holds the health of the targets of one service. It is not safe for
// concurrent use.
type Service struct {
	targets  []*Target
	median   time.Duration // of the targets' mean run times; 0 if too few are known
	medianAt time.Time
}

// SetTargets replaces the targets. The caller passes the same Target again for a
// target that stays, so that its health is kept.
func (s *Service) SetTargets(targets []*Target) { s.targets = targets }

// NewTarget returns a healthy target.
func NewTarget(id model.TargetID) *Target { return &Target{ID: id, state: Healthy} }

// State returns the state of the target at the time given and the reason of its
// last attempted ejection, which is empty after a success.
func (t *Target) State(now time.Time) (State, EjectionReason) {
	if t.state == Ejected && !now.Before(t.ejectedUntil) {
		return Returning, t.reason
	}
	return t.state, t.reason
}

// Limit returns how many requests this entry instance may have in flight on the
// target, or a negative number for no limit.
func (t *Target) Limit(now time.Time) int {
	switch state, _ := t.State(now); state {
	case Ejected:
		return 0
	case Returning:
		return 1
	}
	return -1
}

// Penalty returns the factor, at least 1, by which load balancing multiplies the
// load of the target. A target that fails fast has few requests in flight; without
// the penalty it would attract more of them.
func (t *Target) Penalty(now time.Time) float64 {
	p := 1.0
	if f := t.recentFailures(now); f >= negligibleRate {
		p += 8 * f
	}
	switch t.state {
	case Slow:
		p *= 2
	case Checking, Suspect:
		p *= 8
	}
	return p
}

// recentFailures returns the failure rate, decayed to the time given.
func (t *Target) recentFailures(now time.Time) float64 {
	if t.failureRate == 0 {
		return 0
	}
	return t.failureRate * math.Exp2(-float64(now.Sub(t.sampledAt))/float64(FailureHalfLife))
}

// RecordOutcome records the outcome of a request and its run time, and returns what the
// caller must do.
func (s *Service) RecordOutcome(now time.Time, t *Target, o RequestOutcome, run time.Duration) Action {
	failed := 1.0
	if o == Done {
		failed = 0
	}
	t.failureRate = t.recentFailures(now)
	t.failureRate += sampleWeight * (failed - t.failureRate)
	t.sampledAt = now
	switch o {
	case Done:
		s.succeed(now, t, run)
		return NoAction
	case Failed:
		t.refusals, t.stuck = 0, 0
		t.failures++
		if t.failures >= FailuresToEject || t.isReturning(now) {
			return s.eject(now, t, ReasonFailing)
		}
	case Refused, Broken:
		t.refusals++
		if t.refusals >= RefusalsToEject || t.isReturning(now) {
			return s.eject(now, t, ReasonRefusing)
		}
	case Silent:
		if t.state == Checking {
			return NoAction
		}
		if t.isReturning(now) || t.state != Ejected {
			t.state = Checking
			return Check
		}
	}
	return NoAction
}

// RecordCheck records the result of a check on a new connection, and returns what
// the caller must do. It has no effect if the target has left the state Checking.
func (s *Service) RecordCheck(now time.Time, t *Target, answered bool) Action {
	if t.state != Checking {
		return NoAction
	}
	if !answered {
		return s.eject(now, t, ReasonSilent)
	}
	t.stuck++
	if t.stuck >= StuckToEject {
		return s.eject(now, t, ReasonStuck)
	}
	t.state = Healthy
	return Replace
}

func (t *Target) isReturning(now time.Time) bool {
	state, _ := t.State(now)
	return state == Returning
}

func (s *Service) succeed(now time.Time, t *Target, run time.Duration) {
	t.failures, t.refusals, t.stuck, t.ejections = 0, 0, 0, 0
	t.samples++
	if t.samples == 1 {
		t.meanRun = run
	}
	t.meanRun += time.Duration(sampleWeight * float64(run-t.meanRun))
	t.state, t.reason = Healthy, ""
	if m := s.medianRun(now); m > 0 && t.samples >= minSamples && t.meanRun > SlowFactor*m {
		t.state = Slow
	}
}

// medianRun returns the median of the targets' mean run times, or 0 while fewer
// than three are known. It is cached for MedianInterval, because it is needed after
// each request and requires a sort.
func (s *Service) medianRun(now time.Time) time.Duration {
	if s.median > 0 && now.Sub(s.medianAt) < MedianInterval {
		return s.median
	}
	var means []time.Duration
	for _, o := range s.targets {
		if o.samples >= minSamples {
			means = append(means, o.meanRun)
		}
	}
	s.median = 0
	if len(means) >= 3 {
		slices.Sort(means)
		s.median, s.medianAt = means[(len(means)-1)/2], now
	}
	return s.median
}

// eject ejects a target unless fewer than half of the targets would stay in use; in
// that case the target becomes Suspect.
func (s *Service) eject(now time.Time, t *Target, why EjectionReason) Action {
	out := 0
	for _, o := range s.targets {
		if state, _ := o.State(now); o != t && state == Ejected {
			out++
		}
	}
	t.reason = why
	if (out+1)*2 > len(s.targets) {
		t.state = Suspect
		return NoAction
	}
	t.state = Ejected
	t.ejectedUntil = now.Add(min(BaseEjection<<min(t.ejections, 10), MaxEjection))
	t.ejections++
	t.failures, t.refusals, t.stuck = 0, 0, 0
	return Eject
}
