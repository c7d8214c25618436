// Package health decides which targets of a service get work, from what the
// requests sent to them taught. It tells apart a silent connection, a silent
// target, a target that accepts work and never answers it, one that fails
// everything fast, one that refuses connections and one that is slow. At least
// half of the targets of a service stay in use.
package health

import (
	"math"
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

// Limits of the decisions.
const (
	// FailuresToEject is the number of failed answers in a row after which a
	// target is ejected.
	FailuresToEject = 5
	// RefusalsToEject is the number of refused connections in a row.
	RefusalsToEject = 2
	// StuckToEject is the number of requests in a row that a target did not
	// answer although it passed the check on a new connection each time.
	StuckToEject = 3
	// FirstEjection doubles with each ejection in a row, up to MaxEjection.
	FirstEjection = 2 * time.Second
	MaxEjection   = 60 * time.Second
	// SlowFactor is the run time relative to the median of the service above
	// which a target counts as slow; minSamples run times are needed.
	SlowFactor = 4
	minSamples = 5
	// MedianEvery is how long the median run time of a service is used.
	MedianEvery = 500 * time.Millisecond
	// FailureHalfLife is the time in which the memory of failures halves, so that
	// a target that lost its work by a failure gets work again.
	FailureHalfLife = 2 * time.Second
	// negligible is the share of failures below which there is no penalty.
	negligible = 0.05
	// weight of a new sample in the moving averages.
	weight = 0.2
)

// Kind is what a request taught about its target.
type Kind uint8

// Kinds of samples.
const (
	Done    Kind = iota + 1 // complete answer
	Failed                  // complete answer that reports an error of the target
	Refused                 // connection refused, or the target stated that it did not run the request
	Silent                  // no answer in time
	Broken                  // connection or answer ended early
)

// State is the health of a target.
type State uint8

// States of a target. Only Ejected targets get no work.
const (
	Healthy State = iota + 1
	Slow
	Checking  // a request was not answered; a new connection is being tried
	Ejected   // gets no work until its ejection ends
	Returning // gets one request at a time until one succeeds
	Suspect   // would be ejected, but for the floor
)

func (s State) String() string {
	return [...]string{"none", "healthy", "slow", "checking", "ejected", "returning", "suspect"}[min(int(s), 6)]
}

// Reason is why a target was ejected.
type Reason string

// Reasons of an ejection.
const (
	ReasonSilent   Reason = "silent"   // no answer on a new connection either
	ReasonStuck    Reason = "stuck"    // accepts work and never answers it
	ReasonFailing  Reason = "failing"  // fails everything
	ReasonRefusing Reason = "refusing" // accepts no connection
)

// Action is what has to be done after a sample or check.
type Action uint8

// Actions.
const (
	None    Action = iota
	Check          // try the target on a new connection, then call Checked
	Replace        // the target works: drop its silent connections
	Eject          // the target was ejected
)

// Target is the health of one target.
type Target struct {
	ID       model.TargetID
	state    State
	reason   Reason
	failures int // failed answers in a row
	refusals int
	stuck    int     // unanswered requests in a row, with a working new connection
	failing  float64 // moving share of failures, as of sampled
	sampled  time.Time
	mean     time.Duration
	samples  int
	ejected  int // ejections in a row
	until    time.Time
}

// Service is the health of the targets of one service.
type Service struct {
	targets  []*Target
	median   time.Duration // of the run times; 0 if too few are known
	medianAt time.Time
}

// Set replaces the targets. Those that stay keep their health.
func (s *Service) Set(targets []*Target) { s.targets = targets }

// NewTarget returns a healthy target.
func NewTarget(id model.TargetID) *Target { return &Target{ID: id, state: Healthy} }

// State returns the health of a target and, if ejected, the reason.
func (t *Target) State(now time.Time) (State, Reason) {
	if t.state == Ejected && !now.Before(t.until) {
		return Returning, t.reason
	}
	return t.state, t.reason
}

// Limit returns how many requests a target may run for this instance; a
// negative limit means no limit.
func (t *Target) Limit(now time.Time) int {
	switch state, _ := t.State(now); state {
	case Ejected:
		return 0
	case Returning:
		return 1
	}
	return -1
}

// Penalty scales the load of a target in the choice between targets, from 1 for
// a good one. A target that fails fast is free again soon; the penalty keeps it
// from attracting work by that.
func (t *Target) Penalty(now time.Time) float64 {
	p := 1.0
	if f := t.recentFailures(now); f >= negligible {
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

func (t *Target) recentFailures(now time.Time) float64 {
	if t.failing == 0 {
		return 0
	}
	return t.failing * math.Exp2(-float64(now.Sub(t.sampled))/float64(FailureHalfLife))
}

// Observe takes a sample of a request that ran for the time given.
func (s *Service) Observe(now time.Time, t *Target, k Kind, run time.Duration) Action {
	failed := 1.0
	if k == Done {
		failed = 0
	}
	t.failing = t.recentFailures(now)
	t.failing += weight * (failed - t.failing)
	t.sampled = now
	switch k {
	case Done:
		s.succeed(now, t, run)
		return None
	case Failed:
		t.refusals, t.stuck = 0, 0
		t.failures++
		if t.failures >= FailuresToEject || t.returning(now) {
			return s.eject(now, t, ReasonFailing)
		}
	case Refused, Broken:
		t.refusals++
		if t.refusals >= RefusalsToEject || t.returning(now) {
			return s.eject(now, t, ReasonRefusing)
		}
	case Silent:
		if t.state == Checking {
			return None
		}
		if t.returning(now) || t.state != Ejected {
			t.state = Checking
			return Check
		}
	}
	return None
}

// Checked takes the result of a check on a new connection.
func (s *Service) Checked(now time.Time, t *Target, answered bool) Action {
	if t.state != Checking {
		return None
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

func (t *Target) returning(now time.Time) bool {
	state, _ := t.State(now)
	return state == Returning
}

func (s *Service) succeed(now time.Time, t *Target, run time.Duration) {
	t.failures, t.refusals, t.stuck, t.ejected = 0, 0, 0, 0
	t.samples++
	if t.samples == 1 {
		t.mean = run
	}
	t.mean += time.Duration(weight * float64(run-t.mean))
	t.state, t.reason = Healthy, ""
	if m := s.medianRun(now); m > 0 && t.samples >= minSamples && t.mean > SlowFactor*m {
		t.state = Slow
	}
}

// medianRun returns the median run time of the targets, or 0 while fewer than
// three are known. It is kept for MedianEvery, because it is needed after each
// request and costs a sort.
func (s *Service) medianRun(now time.Time) time.Duration {
	if s.median > 0 && now.Sub(s.medianAt) < MedianEvery {
		return s.median
	}
	var means []time.Duration
	for _, o := range s.targets {
		if o.samples >= minSamples {
			means = append(means, o.mean)
		}
	}
	s.median = 0
	if len(means) >= 3 {
		slices.Sort(means)
		s.median, s.medianAt = means[(len(means)-1)/2], now
	}
	return s.median
}

// eject takes a target out of use unless fewer than half would be left.
func (s *Service) eject(now time.Time, t *Target, why Reason) Action {
	out := 0
	for _, o := range s.targets {
		if state, _ := o.State(now); o != t && state == Ejected {
			out++
		}
	}
	t.reason = why
	if (out+1)*2 > len(s.targets) {
		t.state = Suspect
		return None
	}
	t.state = Ejected
	t.until = now.Add(min(FirstEjection<<min(t.ejected, 10), MaxEjection))
	t.ejected++
	t.failures, t.refusals, t.stuck = 0, 0, 0
	return Eject
}
