package query

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/replica"
)

// views is a replica whose View method returns the listed views in order, and then
// the last one.
type views struct{ list []*replica.View }

func (v *views) Propose(context.Context, []model.Envelope) ([]result.Result, error) { return nil, nil }

func (v *views) View() *replica.View {
	next := v.list[0]
	if len(v.list) > 1 {
		v.list = v.list[1:]
	}
	return next
}

// leaderAddress returns what a reader answers within 30 ms on a replica with the views.
func leaderAddress(t *testing.T, list ...*replica.View) string {
	t.Helper()
	published := make(chan struct{})
	close(published)
	for i, v := range list {
		if v.ID = "self"; i < len(list)-1 {
			v.Next = published
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	return New(&views{list}, nil).LeaderAddress(ctx)
}

// Guards against redirects of workers and operators to a leader that has failed, or
// to the replica that redirects: only a leader with recent contact may be named.
func TestOnlyLeaderWithRecentContactIsNamed(t *testing.T) {
	now, before := time.Now(), time.Now().Add(-2*maxLeaderContactAge)
	fresh := func() *replica.View { return &replica.View{Leader: "b", LeaderAddress: "b:1", LeaderContact: now} }
	stale := func() *replica.View { return &replica.View{Leader: "a", LeaderAddress: "a:1", LeaderContact: before} }
	own := func() *replica.View {
		return &replica.View{Leader: "self", LeaderAddress: "self:1", LeaderContact: now}
	}
	assert.Equal(t, leaderAddress(t, fresh()), "b:1")
	assert.Equal(t, leaderAddress(t, stale(), &replica.View{}, fresh()), "b:1")
	assert.Equal(t, leaderAddress(t, stale()), "")
	assert.Equal(t, leaderAddress(t, own()), "")
	assert.Equal(t, leaderAddress(t, &replica.View{IsLeader: true}, fresh()), "", "a leader without a quorum does not wait")
}
