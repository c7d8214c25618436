package query

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/replica"
)

// Guards against a former leader that presents outdated state as that of the leader.
// After it was frozen, it still considers itself the leader until it steps down.
func TestLeaderWithoutRecentQuorumDoesNotLead(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Assert(t, leads(&replica.View{IsLeader: true, QuorumContact: now.Add(-300 * time.Millisecond)}, now))
	assert.Assert(t, !leads(&replica.View{IsLeader: true, QuorumContact: now.Add(-3 * time.Second)}, now))
	assert.Assert(t, !leads(&replica.View{QuorumContact: now}, now))
}
