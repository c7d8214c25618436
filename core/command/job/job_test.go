package job_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command/job"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Guards against a job that waits for ever because nothing can hold it.
func TestImpossibleJobIsRefusedWithTheResource(t *testing.T) {
	w := newWorld(t, 2)
	for resource, declared := range map[string]model.Resources{
		"processors":   {MilliCPU: 9000, MemoryMB: 1},
		"memory":       {MilliCPU: 1, MemoryMB: 20_000},
		"accelerators": {MilliCPU: 1, MemoryMB: 1, Accelerators: 2},
	} {
		r := w.refused(model.SubmitJob{Job: model.Job{ID: "x", Pool: "jobs", Declared: declared}}, result.JobImpossible)
		assert.Assert(t, strings.HasPrefix(r.Detail, resource), r.Detail)
	}
	w.refused(model.SubmitJob{Job: model.Job{ID: "x", Pool: "none", Declared: cores(1)}}, result.JobImpossible)
	w.refused(model.SubmitJob{Job: model.Job{ID: "x", Pool: "jobs", Declared: model.Resources{MilliCPU: -1}}}, result.InvalidInput)
	assert.Equal(t, w.s.Jobs.Len(), 0)
	w.must(model.SubmitJob{Job: model.Job{ID: "x", Pool: "jobs"}})
	w.reconcile()
	assert.Assert(t, w.job("x").Reserved.MilliCPU > 0, "a job without declared size takes something")
}

// Guards against two jobs that get the same capacity, and against work on a
// worker that is leaving or quarantined.
func TestPlacementIsCheckedAtTheApplier(t *testing.T) {
	w := newWorld(t, 2)
	for _, id := range []model.JobID{"a", "b"} {
		w.submit(id, func(j *model.Job) { j.Declared = cores(5) })
	}
	w.must(model.PlaceJob{ID: "a", Worker: "w000"})
	w.refused(model.PlaceJob{ID: "b", Worker: "w000"}, result.NoCapacity)
	w.refused(model.PlaceJob{ID: "a", Worker: "w001"}, result.StaleToken)
	i, _ := w.s.Instances.Get("w001")
	for _, c := range []struct {
		change func(*model.Instance)
		code   result.Code
	}{
		{func(i *model.Instance) { i.Phase = model.PhaseDraining }, result.WrongPhase},
		{func(i *model.Instance) { i.HeldBy = "wave/1" }, result.WrongPhase},
		{func(i *model.Instance) { i.Quarantined = true }, result.WorkerExcluded},
		{func(i *model.Instance) { i.Pool = "other" }, result.PoolMismatch},
	} {
		changed := i
		c.change(&changed)
		w.s.Instances = w.s.Instances.Set(i.ID, changed)
		w.refused(model.PlaceJob{ID: "b", Worker: "w001"}, c.code)
		w.reconcile()
		assert.Equal(t, w.job("b").Phase, model.JobQueued)
	}
}

// Guards against a worker that lost its lease and still records an outcome.
func TestLostLeaseReturnsTheJobAndFencesTheWorker(t *testing.T) {
	w := newWorld(t, 2)
	w.submit("a", nil)
	w.reconcile()
	w.start("a")
	first := w.job("a").Lease
	w.pass(job.LeaseTerm / 2)
	w.must(model.JobReport{ID: "a", Token: first.Token, Used: cores(1)})
	w.pass(job.LeaseTerm - time.Millisecond)
	assert.Equal(t, w.do(model.ExpireLease{ID: "a", Token: first.Token}).Code, result.Unchanged, "renewed")
	w.pass(time.Millisecond)
	w.reconcile()
	assert.Equal(t, w.job("a").Phase, model.JobQueued)
	assert.Equal(t, w.job("a").Failures, 0)
	w.reconcile()
	second := w.job("a").Lease
	assert.Assert(t, second.Token > first.Token)
	w.refused(model.JobEnded{ID: "a", Token: first.Token, Succeeded: true}, result.StaleToken)
	w.refused(model.JobReport{ID: "a", Token: first.Token}, result.StaleToken)
	w.must(model.JobEnded{ID: "a", Token: second.Token, Succeeded: true})
	w.refused(model.JobEnded{ID: "a", Token: second.Token}, result.JobFinished)
	assert.Equal(t, w.job("a").Phase, model.JobDone)
}

// Guards against a second outcome, or none, when a cancellation races with the
// start or the end of a job.
func TestCancellationGivesOneOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		steps func(w *world)
		want  model.JobPhase
	}{
		"queued":           {func(w *world) { w.must(model.CancelJob{ID: "a"}) }, model.JobCancelled},
		"before the start": {func(w *world) { w.reconcile(); w.must(model.CancelJob{ID: "a"}); w.start("a"); w.end("a", false) }, model.JobCancelled},
		"finished first": {func(w *world) {
			w.reconcile()
			w.start("a")
			w.end("a", true)
			w.refused(model.CancelJob{ID: "a"}, result.JobFinished)
		}, model.JobDone},
		"finished later":  {func(w *world) { w.reconcile(); w.start("a"); w.must(model.CancelJob{ID: "a"}); w.end("a", true) }, model.JobDone},
		"worker lost":     {func(w *world) { w.reconcile(); w.must(model.CancelJob{ID: "a"}); w.pass(job.LeaseTerm); w.reconcile() }, model.JobCancelled},
		"cancelled twice": {func(w *world) { w.must(model.CancelJob{ID: "a"}); w.must(model.CancelJob{ID: "a"}) }, model.JobCancelled},
		"placed after that": {func(w *world) {
			w.must(model.CancelJob{ID: "a"})
			w.refused(model.PlaceJob{ID: "a", Worker: "w000"}, result.JobFinished)
		}, model.JobCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2)
			w.submit("a", nil)
			c.steps(w)
			assert.Equal(t, w.job("a").Phase, c.want)
			assert.Equal(t, w.s.JobIndex.Loads.Len(), 0)
			assert.Equal(t, w.s.JobIndex.Queue.Len(), 0)
		})
	}
}

// Guards against a worker that attracts work by failing it fast, and against
// jobs that pay for it.
func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	w := newWorld(t, 4)
	ids := []model.JobID{"a", "b", "c"}
	for _, id := range ids {
		w.submit(id, nil)
	}
	for i := range job.QuarantineFailures {
		id := ids[i%len(ids)]
		w.must(model.PlaceJob{ID: id, Worker: "w000"})
		w.must(model.JobEnded{ID: id, Token: w.job(id).Lease.Token, Reason: "crashed"})
	}
	bad, _ := w.s.Instances.Get("w000")
	assert.Assert(t, bad.Quarantined)
	for _, id := range ids {
		assert.Equal(t, w.job(id).Phase, model.JobQueued)
		assert.Equal(t, w.job(id).Failures, 0)
	}
	w.refused(model.PlaceJob{ID: "a", Worker: "w000"}, result.WorkerExcluded)
}

// Guards against a faulty job that takes workers out of use or runs for ever.
func TestFaultyJobFailsAndWorkersStay(t *testing.T) {
	w := newWorld(t, 4)
	w.submit("bad", nil)
	tried := map[model.InstanceID]bool{}
	for !w.job("bad").Phase.Final() {
		w.reconcile()
		tried[w.job("bad").Lease.Worker] = true
		w.must(model.JobEnded{ID: "bad", Token: w.job("bad").Lease.Token, Reason: "crashed"})
	}
	assert.Equal(t, w.job("bad").Phase, model.JobFailed)
	assert.Equal(t, len(tried), job.MaxFailures, "each time on another worker")
	for _, i := range w.s.Instances.All() {
		assert.Assert(t, !i.Quarantined)
	}
}

// Guards against placement by declared sizes, which are far from the real ones.
func TestSizesAndRunTimesAreLearned(t *testing.T) {
	w := newWorld(t, 1)
	for i := range 8 {
		w.submit(model.JobID(fmt.Sprint("j", i)), func(j *model.Job) { j.Declared = cores(4) })
	}
	w.reconcile()
	assert.Equal(t, w.s.JobIndex.Active.Len(), 2, "by declared size")
	for range 3 {
		for _, j := range w.s.JobIndex.Active.All() {
			w.must(model.JobEnded{ID: j.ID, Token: j.Lease.Token, Succeeded: true, Run: 3 * time.Second, Used: cores(1)})
			break
		}
		w.reconcile()
	}
	assert.Equal(t, w.s.JobIndex.Active.Len(), 5, "all others by learned size")
	e, _ := w.s.Classes.Get("work")
	assert.Equal(t, e.Run, 3*time.Second)
	for _, j := range w.s.JobIndex.Active.All() {
		w.must(model.JobReport{ID: j.ID, Token: j.Lease.Token, Used: model.Resources{MilliCPU: 2500, MemoryMB: 100}})
		break
	}
	e, _ = w.s.Classes.Get("work")
	assert.Equal(t, e.Used.MilliCPU, int64(2500), "a higher usage counts at once")
}

// Guards against a cancellation of many jobs that is refused as a whole or
// leaves some behind.
func TestManyJobsAreCancelledInOneCommand(t *testing.T) {
	w := newWorld(t, 1)
	var ids []model.JobID
	for i := range 50 {
		ids = append(ids, model.JobID(fmt.Sprint("j", i)))
		w.submit(ids[i], nil)
	}
	w.reconcile()
	r := w.must(model.CancelJobs{IDs: append(ids, "unknown")})
	assert.Equal(t, r.Detail, "46 cancelled, 4 asked to end, 0 cancelled before, 0 had ended, 1 unknown")
	assert.Equal(t, w.s.JobIndex.Queue.Len(), 0)
}
