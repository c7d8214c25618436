package query

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// Guards against a view of accounts that leaves out stopping runs, or takes work that waits
// for room for work that the cap holds back. It follows the walk "one account's work waits
// while others run" of docs/OPERATIONS.md.
func TestAccountsShowWhyWorkWaits(t *testing.T) {
	s := model.State{Catalog: &model.Catalog{Accounts: []model.ClientAccount{
		{Name: "b", Weight: 1}, {Name: "a", Weight: 3, Rate: 2, Cap: model.Resources{MilliCPU: 3000}},
	}}}
	add := func(id model.WorkloadID, account model.AccountName, beyond bool, active int) {
		rounds := model.NewRounds(1, []int{2})
		for i := range active {
			rounds = rounds.WithStep(0, 0, rounds.Step(0, 0).WithTask(i, model.Task{LastRun: 1, Active: []model.Run{{Number: 1}}}))
		}
		s.Workloads = s.Workloads.Set(id, model.Workload{
			ID: id, Account: account, BeyondRate: beyond, AcceptedAt: 1000, Steps: []model.Step{{Count: 2, Need: model.Resources{MilliCPU: 1000}}},
			Rounds: rounds,
		})
	}
	add("1", "a", false, 2)
	add("2", "a", false, 0)
	add("3", "a", true, 0)
	add("4", "b", false, 1)
	views := AccountShares(s, 5000, map[model.AccountName]model.Resources{"a": {MilliCPU: 500}})
	assert.Equal(t, len(views), 2)
	a, b := views[0], views[1]
	assert.Equal(t, a.Running, model.Resources{MilliCPU: 2500})
	assert.Equal(t, [4]int{a.Waiting, a.HeldByCap, a.BeyondRate}, [4]int{2, 2, 1})
	assert.Equal(t, a.OldestWait, 4*time.Second)
	assert.Equal(t, a.FairShare, 0.75)
	assert.Assert(t, a.Share > 0.71 && a.Share < 0.72)
	assert.Equal(t, [2]int{b.Waiting, b.HeldByCap}, [2]int{1, 0})
	assert.Equal(t, b.OldestWait, time.Duration(0))
	s.Catalog.Accounts = nil
	assert.Equal(t, len(AccountShares(s, 5000, nil)), 0)
}
