package health

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

var start = time.Unix(1000, 0)

func service(n int) (*Service, []*Target) {
	var list []*Target
	for i := range n {
		list = append(list, NewTarget(model.TargetID(fmt.Sprintf("t%d", i))))
	}
	s := &Service{}
	s.Set(list)
	return s, list
}

func stateOf(t *Target, now time.Time) string {
	state, reason := t.State(now)
	return state.String() + " " + string(reason)
}

// Guards against a dead connection that costs a working target its work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	s, list := service(4)
	assert.Equal(t, s.Observe(start, list[0], Silent, time.Second), Check)
	assert.Equal(t, s.Observe(start, list[0], Silent, time.Second), None, "one check at a time")
	assert.Equal(t, s.Checked(start, list[0], true), Replace)
	assert.Equal(t, stateOf(list[0], start), "healthy ")
}

// Guards against a silent target that goes on getting work, and against one
// that never comes back.
func TestSilentTargetIsEjectedAndReturns(t *testing.T) {
	s, list := service(4)
	s.Observe(start, list[0], Silent, time.Second)
	assert.Equal(t, s.Checked(start, list[0], false), Eject)
	assert.Equal(t, stateOf(list[0], start), "ejected silent")
	assert.Equal(t, list[0].Limit(start), 0)
	later := start.Add(FirstEjection)
	assert.Equal(t, list[0].Limit(later), 1)
	s.Observe(later, list[0], Silent, time.Second)
	s.Checked(later, list[0], false)
	assert.Equal(t, list[0].Limit(later.Add(FirstEjection)), 0, "the second ejection is longer")
	s.Observe(later.Add(time.Minute), list[0], Done, time.Millisecond)
	assert.Equal(t, list[0].Limit(later.Add(time.Minute)), -1)
}

// Guards against a target that answers checks but no work.
func TestStuckTargetIsEjected(t *testing.T) {
	s, list := service(4)
	for range StuckToEject - 1 {
		s.Observe(start, list[0], Silent, time.Second)
		assert.Equal(t, s.Checked(start, list[0], true), Replace)
	}
	s.Observe(start, list[0], Silent, time.Second)
	assert.Equal(t, s.Checked(start, list[0], true), Eject)
	assert.Equal(t, stateOf(list[0], start), "ejected stuck")
}

// Guards against a target that attracts work by failing fast.
func TestFastFailureDoesNotAttractWork(t *testing.T) {
	s, list := service(4)
	s.Observe(start, list[0], Failed, time.Millisecond)
	assert.Assert(t, list[0].Penalty(start) > 2*list[1].Penalty(start))
	assert.Equal(t, list[0].Penalty(start.Add(3*FailureHalfLife)), 1.0, "failures are forgotten in time")
	for range FailuresToEject - 2 {
		assert.Equal(t, s.Observe(start, list[0], Failed, time.Millisecond), None)
	}
	assert.Equal(t, s.Observe(start, list[0], Failed, time.Millisecond), Eject)
	assert.Equal(t, stateOf(list[0], start), "ejected failing")
}

// Guards against ejections that leave less than half of the targets in use.
func TestHalfOfTheTargetsStayInUse(t *testing.T) {
	for n := 1; n <= 7; n++ {
		s, list := service(n)
		out := 0
		for _, target := range list {
			for range RefusalsToEject {
				if s.Observe(start, target, Refused, 0) == Eject {
					out++
				}
			}
		}
		assert.Equal(t, out, n/2, "%d targets", n)
	}
}

// Guards against a slow target that is treated as dead, or as equal.
func TestSlowTargetKeepsLessWork(t *testing.T) {
	s, list := service(4)
	for range minSamples {
		for i, target := range list {
			run := 10 * time.Millisecond
			if i == 0 {
				run = 100 * time.Millisecond
			}
			s.Observe(start, target, Done, run)
		}
	}
	assert.Equal(t, stateOf(list[0], start), "healthy ")
	s.Observe(start, list[0], Done, 100*time.Millisecond)
	assert.Equal(t, stateOf(list[0], start), "slow ")
	assert.Equal(t, list[0].Limit(start), -1)
	assert.Assert(t, list[0].Penalty(start) > list[1].Penalty(start))
}
