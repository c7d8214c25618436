package faults

import (
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
)

// Guards against two accepted changes of the same base revision, a refused operator
// who is not told which change was accepted instead, and a resend that is applied a
// second time. Two operators submit at the same time; in every fifth round the first
// answer to one of them is lost.
func TestConcurrentChangesAcceptOneAndResendsGetFirstResult(t *testing.T) {
	t.Parallel()
	const rounds = 20
	s := Start(t, 1)
	noReplies, err := NewRelay(FreeAddress(t), s.Controls[s.Leader()].Address, s.pids.List)
	assert.NilError(t, err)
	defer noReplies.Close()
	noReplies.Cut(ToClient)
	type contender struct {
		name   string
		client *client.Client
		change
	}
	for round := range rounds {
		base := model.Revision(round + 1)
		// Every fifth round the first answer to bob is lost; his client resends.
		addresses := []string{s.Controls[0].Address, s.Controls[1].Address, s.Controls[2].Address}
		if round%5 == 0 {
			addresses = append([]string{noReplies.Address()}, addresses...)
		}
		both := []*contender{{name: "ann", client: s.Operator("ann")}, {name: "bob", client: s.OperatorAt("bob", addresses...)}}
		var all sync.WaitGroup
		for _, e := range both {
			e.id, e.command = client.NewRequestID(), model.AcceptConfig{Base: base, Config: s.ConfigWithSiteName(fmt.Sprintf("%s-%d", e.name, round))}
			all.Go(func() { e.result = e.client.Submit(t.Context(), e.id, e.command) })
		}
		all.Wait()
		winner, loser := both[0], both[1]
		if winner.result.Code != result.Accepted {
			winner, loser = loser, winner
		}
		assert.Equal(t, winner.result.Code, result.Accepted, "%s", winner.result.Error())
		assert.Equal(t, winner.result.Revision, uint64(base)+1)
		assert.Equal(t, loser.result.Code, result.Conflicting, "%s", loser.result.Error())
		conflict := loser.result.Conflict
		assert.Assert(t, conflict != nil)
		assert.Equal(t, conflict.Revision, winner.result.Revision)
		assert.Equal(t, conflict.Actor, winner.name+" (local)")
		assert.Check(t, len(conflict.Difference) > 0)
		for _, e := range both {
			assert.DeepEqual(t, s.Operator(e.name).Submit(t.Context(), e.id, e.command), e.result)
		}
	}
	var history query.HistoryView
	_, err = s.Operator("reader").Read(t.Context(), operatorv1.View_VIEW_HISTORY, "", &history)
	assert.NilError(t, err)
	assert.Equal(t, history.Revision, uint64(rounds+1))
}
