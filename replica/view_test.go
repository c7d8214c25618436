package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/clock"
)

// Guards against a leader that acts on a state without the entries committed by an
// earlier leader, or acts after it has lost contact with its quorum.
func TestConfirmedLeader(t *testing.T) {
	now := time.Now().Add(time.Second)
	v := View{IsLeader: true, Term: 4, State: model.State{Term: 4}, QuorumContact: now}
	detector := clock.NewSuspendDetector()
	assert.Assert(t, IsConfirmedLeader(&v, detector, now))
	assert.Assert(t, !IsConfirmedLeader(&v, detector, now.Add(maxContactAge)))
	v.State.Term = 3
	assert.Assert(t, !IsConfirmedLeader(&v, detector, now))
	v.State.Term, v.IsLeader = 4, false
	assert.Assert(t, !IsConfirmedLeader(&v, detector, now))
}

// Guards against callers that wait at a partitioned replica, and against calls that
// are refused during a normal election.
func TestNoRecentLeader(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		view View
		lost bool
	}{
		{View{LeaderContact: now.Add(-leaderContactTimeout / 2)}, false},
		{View{LeaderContact: now.Add(-2 * leaderContactTimeout)}, true},
		{View{IsLeader: true, LeaderContact: now.Add(-2 * leaderContactTimeout)}, false},
		{View{}, true},
	} {
		assert.Equal(t, c.view.NoRecentLeader(now), c.lost, "%+v", c.view)
	}
}
