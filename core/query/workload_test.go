package query_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
)

// workloadState returns a state with a catalog of one queue and one workload.
func workloadState(t *testing.T, steps ...model.Step) model.State {
	s := model.State{Clock: 1000, Catalog: &model.Catalog{
		Version: 1, Pools: []model.WorkerPool{{Name: "p"}}, Queues: []model.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxFailures: 2}},
	}}
	s, r := command.Apply(s, 1, 1, model.Envelope{Time: 1000, Command: model.SubmitWorkload{
		Host: "h", Path: "/q/00000000000000a1", Workload: model.Workload{Steps: steps},
	}})
	assert.Assert(t, r.Code.OK(), r.Detail)
	return s
}

// started returns the state after the first run of a task was started.
func started(s model.State, step, index int) model.State {
	ref := model.TaskRef{Workload: "00000000000000a1", Step: step, Index: index}
	next, _ := command.Apply(s, 2, 1, model.Envelope{Time: 1000, Command: model.RecordProgress{
		Starts: []model.RunStart{{Run: model.RunRef{Task: ref, Number: 1}, Worker: "w@1"}},
	}})
	return next
}

// Guards against a wrong phase in the answer about a workload, and against a count
// of pending workloads that includes started ones.
func TestWorkloadQueries(t *testing.T) {
	s := workloadState(t, model.Step{Count: 1})
	phase, code := query.WorkloadAt(s, "h", "/q/00000000000000a1", nil)
	assert.Equal(t, code, result.OK)
	assert.Equal(t, phase, model.WorkloadQueued)
	n, code := query.PendingAt(s, "h", "/q/", nil)
	assert.Equal(t, code, result.OK)
	assert.Equal(t, n, 1)
	s = started(s, 0, 0)
	phase, _ = query.WorkloadAt(s, "h", "/q/00000000000000a1", nil)
	assert.Equal(t, phase, model.WorkloadActive)
	n, _ = query.PendingAt(s, "h", "/q/", nil)
	assert.Equal(t, n, 0)
	_, code = query.WorkloadAt(s, "h", "/q/00000000000000ff", nil)
	assert.Equal(t, code, result.Expired)
	_, code = query.PendingAt(s, "h", "/other/", nil)
	assert.Equal(t, code, result.NotFound)
}

// Guards against a workload or a queue that is shown to a caller without a key, with an
// unknown one or with that of another account, active or ended; and against a public queue
// that asks for keys.
func TestQueriesAreJudgedByTheKey(t *testing.T) {
	own, other, unknown := model.DigestKey("own"), model.DigestKey("other"), model.DigestKey("unknown")
	s := workloadState(t, model.Step{Count: 1})
	w, _ := s.Workloads.Get("00000000000000a1")
	w.Account = "a"
	s.Workloads = s.Workloads.Set(w.ID, w)
	s.Finished = s.Finished.Set("00000000000000a2", model.FinishedWorkload{ID: "00000000000000a2", Account: "a"})
	s.Finished = s.Finished.Set("00000000000000a3", model.FinishedWorkload{ID: "00000000000000a3", Account: "a", Public: true})
	c := *s.Catalog
	c.RequireKeys, c.Accounts = true, []model.ClientAccount{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}
	c.Keys = []model.AccountKey{{Digest: own, Account: "a"}, {Digest: other, Account: "b"}}
	slices.SortFunc(c.Keys, func(x, y model.AccountKey) int { return x.Digest.Compare(&y.Digest) })
	c.Queues = append(slices.Clone(c.Queues), model.Queue{Name: "open", Host: "h", Prefix: "/open/", Pool: "p", Public: true})
	s.Catalog = &c
	read := func(path string, key *model.KeyDigest) result.Code {
		_, code := query.WorkloadAt(s, "h", path, key)
		return code
	}
	for _, path := range []string{"/q/00000000000000a1", "/q/00000000000000a2"} {
		assert.Equal(t, read(path, &own), result.OK)
		assert.Equal(t, read(path, &other), result.WrongAccount)
		assert.Equal(t, read(path, &unknown), result.UnknownKey)
		assert.Equal(t, read(path, nil), result.UnknownKey)
		assert.Equal(t, read("/open"+path[2:], nil), result.WrongAccount, "by way of a public queue")
	}
	assert.Equal(t, read("/open/00000000000000a3", nil), result.OK)
	assert.Equal(t, read("/q/00000000000000ff", &other), result.Expired)
	assert.Equal(t, read("/none/00000000000000a1", nil), result.NotFound)
	for key, code := range map[*model.KeyDigest]result.Code{&own: result.OK, &unknown: result.UnknownKey, nil: result.UnknownKey} {
		_, got := query.PendingAt(s, "h", "/q/", key)
		assert.Equal(t, got, code)
		_, got = query.PendingAt(s, "h", "/open/", key)
		assert.Equal(t, got, result.OK)
	}
}

// Guards against an oversized pool: demand must not include steps whose
// dependencies are incomplete, and must not count short waiting tasks as if all of
// them ran at the same time.
func TestDemands(t *testing.T) {
	s := workloadState(t,
		model.Step{Count: 4, Need: model.Resources{MilliCPU: 1000}, Estimate: time.Second},
		model.Step{Count: 100, Need: model.Resources{MilliCPU: 1000}, Estimate: time.Second, After: []int{0}})
	s = started(s, 0, 0)
	d := query.Demands(s, s.Clock, 2*time.Second)["p"]
	assert.Equal(t, d.Running.MilliCPU, int64(1000))
	assert.Equal(t, d.Waiting.MilliCPU, int64(1500))
	lasting := workloadState(t, model.Step{Count: 5, MaxPerWorker: 2, Lasting: true, Need: model.Resources{MilliCPU: 1000}})
	d = query.Demands(lasting, lasting.Clock, 2*time.Second)["p"]
	assert.Equal(t, d.MinWorkers, 3)
	assert.Equal(t, d.Waiting.MilliCPU, int64(5000))
}

// Guards against a caller that reads the state of another queue's workload, because it uses the
// same ID.
func TestQueueShowsOnlyItsWorkloads(t *testing.T) {
	s := model.State{Clock: 1000, Catalog: &model.Catalog{Version: 1, Pools: []model.WorkerPool{{Name: "p"}}, Queues: []model.Queue{
		{Name: "a", Host: "h", Prefix: "/a/", Pool: "p"}, {Name: "b", Host: "h", Prefix: "/b/", Pool: "p"},
	}}}
	s, _ = command.Apply(s, 1, 1, model.Envelope{Command: model.SubmitWorkload{
		Host: "h", Path: "/a/00000000000000a1", Workload: model.Workload{Steps: []model.Step{{Count: 1}}},
	}})
	_, code := query.WorkloadAt(s, "h", "/a/00000000000000a1", nil)
	assert.Equal(t, code, result.OK)
	_, code = query.WorkloadAt(s, "h", "/b/00000000000000a1", nil)
	assert.Equal(t, code, result.Expired)
}
