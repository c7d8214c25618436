package query_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

const workloadID = "00000000000000a1"

// Guards against explanations that omit why a workload waits or has failed, on
// which workers its runs are, and which runs a worker has.
func TestExplainWorkload(t *testing.T) {
	one := model.Resources{MilliCPU: 500, MemoryMB: 1}
	s := started(workloadState(t, model.Step{Count: 2, Need: one}, model.Step{Count: 1, Need: one, After: []int{0}}), 0, 1)
	explain := func(kind, id string) string {
		e, ok := query.Explain(s, model.Observations{}, s.Clock, kind, id)
		assert.Assert(t, ok, "%s %s", kind, id)
		return e.Condition + "\n" + strings.Join(e.Reasons, "\n")
	}
	contains := func(text string, wanted ...string) {
		t.Helper()
		for _, want := range wanted {
			assert.Assert(t, strings.Contains(text, want), "missing %q in\n%s", want, text)
		}
	}
	contains(explain(query.KindJob, workloadID), "active, queue q, pool p",
		"step 0 of round 0: 0 of 2 tasks are done, 1 runs are active, 1 tasks wait", "run 1 of task 1 of step 0 in round 0 is on worker w@1", "step 1 of round 0 waits for steps [0]")
	contains(explain(query.KindWorker, "w"), "w@1 has 1 runs", "of workload "+workloadID)
	waits := map[model.WorkloadID][]model.StepWait{workloadID: {{Rack: "r1", Tasks: 1, Expected: s.Clock.Add(400 * time.Millisecond), Until: s.Clock.Add(time.Second)}}}
	waiting, ok := query.Explain(s, model.Observations{Waits: waits}, s.Clock, query.KindJob, workloadID)
	assert.Assert(t, ok)
	contains(strings.Join(waiting.Reasons, "\n"), "1 tasks wait for workers in rack r1, expected in 400ms, and start elsewhere in 1s at the latest")
	for run := 1; run <= 2; run++ {
		ref := model.RunRef{Task: model.TaskRef{Workload: workloadID, Index: 1}, Number: run}
		s, _ = command.Apply(s, s.Index+1, 1, model.Envelope{Time: s.Clock, Command: model.RecordProgress{Starts: []model.RunStart{{Run: ref, Worker: "w@1"}}}})
		s, _ = command.Apply(s, s.Index+1, 1, model.Envelope{Time: s.Clock, Command: model.RecordProgress{Ends: []model.RunEnd{{Run: ref, Worker: "w@1", Outcome: model.RunFailed}}}})
	}
	contains(explain(query.KindJob, workloadID), "failed, queue q", "task 1 of step 0 in round 0 has failed 2 times")
	_, ok = query.Explain(s, model.Observations{}, s.Clock, query.KindJob, "other")
	assert.Assert(t, !ok)
}

// Guards against jobs, pools, waves and status views that are empty at a site that
// has a catalog but no configuration.
func TestViewsShowWorkloads(t *testing.T) {
	one := model.Resources{MilliCPU: 500, MemoryMB: 1}
	s := started(workloadState(t, model.Step{Count: 2, Need: one}), 0, 0)
	s = apply(t, s, model.OrderUpkeep{Upkeep: model.Upkeep{Number: 7, Limit: 1, Instances: []model.UpkeepInstance{{ID: "m1"}}}})
	jobs, ok := query.Jobs(s, workloadID)
	assert.Assert(t, ok)
	assert.Equal(t, jobs.Workloads[0].Phase, "active")
	assert.Equal(t, jobs.Workloads[0].Running, 1)
	pools, ok := query.Pools(s, "p")
	assert.Assert(t, ok)
	assert.DeepEqual(t, pools.WorkerPools[0].Queues, []string{"q"})
	assert.Equal(t, pools.WorkerPools[0].Running, query.Capacity(one))
	assert.Equal(t, pools.WorkerPools[0].Waiting, query.Capacity(one), "the step has no estimate")
	waves, _ := query.Waves(s, "")
	assert.DeepEqual(t, waves.Upkeeps[0].Open, []string{"m1"})
	status := query.Status(s, query.LocalStatus{Leader: "r"})
	assert.Equal(t, status.Catalog, int64(1))
	assert.DeepEqual(t, status.Counts.Workloads, map[string]int{"active": 1})
	assert.Equal(t, status.Counts.Upkeeps, 1)
	assert.Equal(t, len(status.Warnings), 0)
}
