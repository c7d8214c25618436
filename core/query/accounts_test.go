package query_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

// accountState returns a state in which account a has a running and a waiting workload, and
// account b has neither.
func accountState(t *testing.T) model.State {
	key := model.DigestKey("secret-key")
	c := model.Catalog{
		Version: 3, RequireKeys: true, Pools: []model.WorkerPool{{Name: "p"}}, Queues: []model.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p"}},
		Accounts: []model.ClientAccount{{Name: "a", Weight: 2, Rate: 2, Cap: model.Resources{MilliCPU: 4000}}, {Name: "b", Weight: 1}},
		Keys:     []model.AccountKey{{Digest: key, Account: "a"}}, Document: []byte(`{"keys":["secret-key"]}`),
	}
	var s model.State
	apply := func(c model.Command) {
		next, r := command.Apply(s, s.Index+1, 1, model.Envelope{Time: 1000, Command: c})
		assert.Assert(t, r.Code.OK(), r.Detail)
		s = next
	}
	apply(model.PublishCatalog{Catalog: c})
	steps := []model.Step{{Count: 2, Need: model.Resources{MilliCPU: 1500}}}
	for _, id := range []string{"00000000000000a1", "00000000000000a2"} {
		apply(model.SubmitWorkload{Host: "h", Path: "/q/" + id, Key: &key, Workload: model.Workload{Steps: steps}})
	}
	run := model.RunRef{Task: model.TaskRef{Workload: "00000000000000a1"}, Number: 1}
	apply(model.RecordProgress{Starts: []model.RunStart{{Run: run, Worker: "w@1"}}})
	return s
}

// Guards against work that is shown for another account or not at all, and against a view or
// an explanation that contains a key.
func TestAccountsView(t *testing.T) {
	s := accountState(t)
	now := s.Clock.Add(7 * time.Second)
	v, ok := query.Accounts(s, now, "")
	assert.Assert(t, ok && v.RequireKeys)
	assert.Equal(t, len(v.Accounts), 2)
	a := v.Accounts[0]
	assert.Equal(t, a.Name, "a")
	assert.Equal(t, fmt.Sprint(a.Keys, a.Workloads, a.Waiting, a.RunningTasks, a.OldestWaitSeconds), "1 2 1 1 7")
	assert.Equal(t, a.Running, query.Capacity(model.Resources{MilliCPU: 1500}))
	assert.Equal(t, a.Cap, "4 processors")
	assert.Equal(t, v.Accounts[1].Cap, "none")
	assert.Equal(t, v.Accounts[1].Workloads, 0)
	_, ok = query.Accounts(s, now, "none")
	assert.Assert(t, !ok)
	e, ok := query.Explain(s, model.Observations{}, now, query.KindAccount, "a")
	assert.Assert(t, ok)
	assert.Assert(t, strings.Contains(fmt.Sprint(e.Reasons), "1 workloads wait, the oldest for 7s"), e.Reasons)
	_, ok = query.Explain(s, model.Observations{}, now, query.KindAccount, "none")
	assert.Assert(t, !ok)
	_, ok = query.Explain(s, model.Observations{}, now, query.KindAccount, "")
	assert.Assert(t, !ok)
	for _, view := range []any{v, e} {
		data, err := json.Marshal(view)
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(data), "secret"))
	}
}

// Guards against an operator who cannot see from the account why its callers get 401.
func TestAccountWithoutKeysIsExplained(t *testing.T) {
	s := accountState(t)
	e, ok := query.Explain(s, model.Observations{}, s.Clock, query.KindAccount, "b")
	assert.Assert(t, ok)
	assert.Assert(t, strings.Contains(fmt.Sprint(e.Reasons), "it has no keys"), e.Reasons)
}
