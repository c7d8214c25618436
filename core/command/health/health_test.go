package health

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

var start = time.Unix(1000, 0)

func newService(n int) (*Service, []*Target) {
	var targets []*Target
	for i := range n {
		targets = append(targets, NewTarget(model.TargetID(fmt.Sprintf("t%d", i))))
	}
	s := &Service{}
	s.SetTargets(targets)
	return s, targets
}

func stateOf(t *Target, now time.Time) string {
	state, reason := t.State(now)
	return state.String() + " " + string(reason)
}

// Guards against the ejection of a working target because one of its connections
// does not answer any more.
func TestSilentConnectionIsReplaced(t *testing.T) {
	s, targets := newService(4)
	assert.Equal(t, s.RecordOutcome(start, targets[0], Silent, time.Second), Check)
	assert.Equal(t, s.RecordOutcome(start, targets[0], Silent, time.Second), NoAction, "one check at a time")
	assert.Equal(t, s.RecordCheck(start, targets[0], true), Replace)
	assert.Equal(t, stateOf(targets[0], start), "healthy ")
}

// Guards against an unresponsive target that still gets requests, and against an
// ejection that never ends although the target has recovered.
func TestSilentTargetIsEjectedAndReturns(t *testing.T) {
	s, targets := newService(4)
	s.RecordOutcome(start, targets[0], Silent, time.Second)
	assert.Equal(t, s.RecordCheck(start, targets[0], false), Eject)
	assert.Equal(t, stateOf(targets[0], start), "ejected silent")
	assert.Equal(t, targets[0].Limit(start), 0)
	later := start.Add(BaseEjection)
	assert.Equal(t, targets[0].Limit(later), 1)
	s.RecordOutcome(later, targets[0], Silent, time.Second)
	s.RecordCheck(later, targets[0], false)
	assert.Equal(t, targets[0].Limit(later.Add(BaseEjection)), 0, "the second ejection is longer")
	s.RecordOutcome(later.Add(time.Minute), targets[0], Done, time.Millisecond)
	assert.Equal(t, targets[0].Limit(later.Add(time.Minute)), -1)
}

// Guards against a target that stays in use although it never answers requests,
// because it answers every check on a new connection.
func TestStuckTargetIsEjected(t *testing.T) {
	s, targets := newService(4)
	for range StuckToEject - 1 {
		s.RecordOutcome(start, targets[0], Silent, time.Second)
		assert.Equal(t, s.RecordCheck(start, targets[0], true), Replace)
	}
	s.RecordOutcome(start, targets[0], Silent, time.Second)
	assert.Equal(t, s.RecordCheck(start, targets[0], true), Eject)
	assert.Equal(t, stateOf(targets[0], start), "ejected stuck")
}

// Guards against a target that attracts requests by failing fast, as it always has
// few of them in flight.
func TestFastFailureDoesNotAttractWork(t *testing.T) {
	s, targets := newService(4)
	s.RecordOutcome(start, targets[0], Failed, time.Millisecond)
	assert.Assert(t, targets[0].Penalty(start) > 2*targets[1].Penalty(start))
	assert.Equal(t, targets[0].Penalty(start.Add(3*FailureHalfLife)), 1.0, "the failure rate decays")
	for range FailuresToEject - 2 {
		assert.Equal(t, s.RecordOutcome(start, targets[0], Failed, time.Millisecond), NoAction)
	}
	assert.Equal(t, s.RecordOutcome(start, targets[0], Failed, time.Millisecond), Eject)
	assert.Equal(t, stateOf(targets[0], start), "ejected failing")
}

// Guards against ejections that leave fewer than half of the targets in use, such as
// after a fault that affects all targets.
func TestHalfOfTheTargetsStayInUse(t *testing.T) {
	for n := 1; n <= 7; n++ {
		s, targets := newService(n)
		out := 0
		for _, target := range targets {
			for range RefusalsToEject {
				if s.RecordOutcome(start, target, Refused, 0) == Eject {
					out++
				}
			}
		}
		assert.Equal(t, out, n/2, "%d targets", n)
	}
}

// Guards against a slow target that is ejected, or that gets as much work as the
// others.
func TestSlowTargetKeepsLessWork(t *testing.T) {
	s, targets := newService(4)
	for range minSamples {
		for i, target := range targets {
			run := 10 * time.Millisecond
			if i == 0 {
				run = 100 * time.Millisecond
			}
			s.RecordOutcome(start, target, Done, run)
		}
	}
	assert.Equal(t, stateOf(targets[0], start), "healthy ")
	s.RecordOutcome(start, targets[0], Done, 100*time.Millisecond)
	assert.Equal(t, stateOf(targets[0], start), "slow ")
	assert.Equal(t, targets[0].Limit(start), -1)
	assert.Assert(t, targets[0].Penalty(start) > targets[1].Penalty(start))
}
