package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// Guards against an overcommitted worker: a workload is cancelled after the worker was told
// to start its run and before the worker has listed the run, whose resources then counted
// as free at once.
func TestOrderedRunsUseResourcesUntilTheNextReport(t *testing.T) {
	runHarness(t, func(h *harness) {
		large := model.Step{Count: 1, Need: model.Resources{MilliCPU: 3000}}
		first := h.submit(1, large)
		start := h.mustReport("a", 1, nil).Start
		assert.Equal(t, len(start), 1)
		h.propose(model.CancelWorkload{Host: "h", Path: "/" + string(first)})
		second := h.submit(2, large)
		time.Sleep(planInterval)
		h.mustReport("small", 1, func(r *Report) { r.Capacity.MilliCPU = 1 }) // causes a planning pass
		w, _ := h.replica.View().State.Workloads.Get(second)
		assert.Assert(t, !w.Started())
		o := h.mustReport("a", 1, running(start...))
		assert.Equal(t, len(o.Start), 0)
		assert.Equal(t, len(o.Stop), 1)
		assert.Equal(t, len(h.mustReport("a", 1, nil).Start), 1)
	})
}

// Guards against two tasks of a step on one worker beyond the limit: the copy of a task
// has ended elsewhere, and the worker still runs the original.
func TestRunsThatAreNotAssignedCountForTheLimit(t *testing.T) {
	runHarness(t, func(h *harness) {
		apart := oneTask
		apart.Count, apart.MaxPerWorker, apart.Speculative = 2, 1, true
		id := h.submit(1, apart)
		start := h.mustReport("a", 1, nil).Start
		assert.Equal(t, len(start), 1)
		h.mustReport("a", 1, running(start...))
		done := model.RunRef{Task: start[0].Run.Task, Number: 2}
		h.propose(model.RecordProgress{Starts: []model.RunStart{{Run: done, Worker: "elsewhere@1"}}})
		h.propose(model.RecordProgress{Ends: []model.RunEnd{{Run: done, Worker: "elsewhere@1", Outcome: model.RunDone}}})
		time.Sleep(planInterval)
		assert.Equal(t, len(h.mustReport("a", 1, running(start...)).Start), 0)
		time.Sleep(planInterval)
		assert.Equal(t, len(h.mustReport("a", 1, nil).Start), 1)
		w, _ := h.replica.View().State.Workloads.Get(id)
		assert.Equal(t, w.Rounds.Step(0, 0).Done, 1)
	})
}

// Guards against an accepted workload that never ends, because a worker goes on reporting
// and does not start its runs; and against a worker that gets nothing any more after that.
func TestIgnoredStartsAreMadeElsewhere(t *testing.T) {
	runHarness(t, func(h *harness) {
		id := h.submit(1, oneTask)
		began := time.Now()
		for len(h.mustReport("silent", 1, nil).Start) > 0 {
			assert.Assert(t, time.Since(began) < 2*startTimeout)
			assert.Equal(t, len(h.mustReport("b", 1, nil).Start), 0)
			time.Sleep(idleInterval)
		}
		assert.Assert(t, time.Since(began) >= startTimeout)
		assert.Equal(t, len(h.mustReport("b", 1, nil).Start), 0, "the silent worker has not been told to stop the run yet")
		h.mustReport("silent", 1, nil)
		time.Sleep(planInterval)
		o := h.mustReport("b", 1, nil)
		assert.Equal(t, len(o.Start), 1)
		assert.Equal(t, o.Start[0].Run.Number, 2)
		h.mustReport("b", 1, ended(model.RunDone, o.Start[0]))
		assert.Assert(t, h.replica.View().State.Finished.Has(id))

		time.Sleep(ignoredBackoff)
		h.submit(2, oneTask)
		assert.Equal(t, len(h.mustReport("silent", 1, nil).Start), 1)
	})
}

// Guards against a worker that is punished because the answers with its start order were
// lost while it could not be reached.
func TestLostAnswersAreNotIgnoredStarts(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		assert.Equal(t, len(h.mustReport("a", 1, nil).Start), 1)
		time.Sleep(startTimeout + time.Second)
		assert.Equal(t, len(h.mustReport("a", 1, nil).Start), 1)
	})
}
