package query

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/replica"
)

// Guards against a leader that was frozen and shows an old state as the newest.
func TestLeaderWithoutQuorumDoesNotLead(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Assert(t, leads(&replica.View{IsLeader: true, QuorumContact: now.Add(-300 * time.Millisecond)}, now))
	assert.Assert(t, !leads(&replica.View{IsLeader: true, QuorumContact: now.Add(-3 * time.Second)}, now))
	assert.Assert(t, !leads(&replica.View{QuorumContact: now}, now))
}
