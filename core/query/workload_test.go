package query_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
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
	phase, known, found := query.WorkloadAt(s, "h", "/q/00000000000000a1")
	assert.Assert(t, known && found)
	assert.Equal(t, phase, model.WorkloadQueued)
	n, ok := query.PendingAt(s, "h", "/q/")
	assert.Assert(t, ok)
	assert.Equal(t, n, 1)
	s = started(s, 0, 0)
	phase, _, _ = query.WorkloadAt(s, "h", "/q/00000000000000a1")
	assert.Equal(t, phase, model.WorkloadActive)
	n, _ = query.PendingAt(s, "h", "/q/")
	assert.Equal(t, n, 0)
	_, known, found = query.WorkloadAt(s, "h", "/q/00000000000000ff")
	assert.Assert(t, !known && found)
	_, ok = query.PendingAt(s, "h", "/other/")
	assert.Assert(t, !ok)
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
