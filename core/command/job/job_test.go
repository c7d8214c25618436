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

// Guards against a job that stays queued forever because it fits on no worker. Such
// a job is refused, and the refusal names the resource.
func TestRefusalOfImpossibleJobNamesTheResource(t *testing.T) {
	f := newFleet(t, 2)
	for resource, declared := range map[string]model.Resources{
		"processors":   {MilliCPU: 9000, MemoryMB: 1},
		"memory":       {MilliCPU: 1, MemoryMB: 20_000},
		"accelerators": {MilliCPU: 1, MemoryMB: 1, Accelerators: 2},
	} {
		r := f.mustRefuse(model.SubmitJob{Job: model.Job{ID: "x", Pool: "jobs", Declared: declared}}, result.JobImpossible)
		assert.Assert(t, strings.HasPrefix(r.Detail, resource), r.Detail)
	}
	f.mustRefuse(model.SubmitJob{Job: model.Job{ID: "x", Pool: "none", Declared: cores(1)}}, result.JobImpossible)
	f.mustRefuse(model.SubmitJob{Job: model.Job{ID: "x", Pool: "jobs", Declared: model.Resources{MilliCPU: -1}}}, result.InvalidInput)
	assert.Equal(t, f.s.Jobs.Len(), 0)
	f.mustApply(model.SubmitJob{Job: model.Job{ID: "x", Pool: "jobs"}})
	f.reconcile()
	assert.Assert(t, f.job("x").Reserved.MilliCPU > 0, "a job without a declared size reserves some processor time")
}

// Guards against two jobs placed on the same capacity, and against placement on a
// worker that is draining, held, quarantined or in another pool. Proposals may be
// outdated, so Apply must check them.
func TestPlacementIsCheckedByApply(t *testing.T) {
	f := newFleet(t, 2)
	for _, id := range []model.JobID{"a", "b"} {
		f.submit(id, func(j *model.Job) { j.Declared = cores(5) })
	}
	f.mustApply(model.PlaceJob{ID: "a", Worker: "w000"})
	f.mustRefuse(model.PlaceJob{ID: "b", Worker: "w000"}, result.NoCapacity)
	f.mustRefuse(model.PlaceJob{ID: "a", Worker: "w001"}, result.StaleToken)
	i, _ := f.s.Instances.Get("w001")
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
		f.s.Instances = f.s.Instances.Set(i.ID, changed)
		f.mustRefuse(model.PlaceJob{ID: "b", Worker: "w001"}, c.code)
		f.reconcile()
		assert.Equal(t, f.job("b").Phase, model.JobQueued)
	}
}

// Guards against a worker that records an outcome after its lease expired, while the
// job runs on another worker.
func TestExpiredLeaseRequeuesTheJobAndFencesTheWorker(t *testing.T) {
	f := newFleet(t, 2)
	f.submit("a", nil)
	f.reconcile()
	f.start("a")
	first := f.job("a").Lease
	f.advance(job.MinLeaseDuration / 2)
	f.mustApply(model.JobReport{ID: "a", Token: first.Token, Used: cores(1)})
	f.advance(job.MinLeaseDuration - time.Millisecond)
	assert.Equal(t, f.do(model.ExpireLease{ID: "a", Token: first.Token}).Code, result.Unchanged, "renewed")
	f.advance(time.Millisecond)
	f.reconcile()
	assert.Equal(t, f.job("a").Phase, model.JobQueued)
	assert.Equal(t, f.job("a").Failures, 0)
	f.reconcile()
	second := f.job("a").Lease
	assert.Assert(t, second.Token > first.Token)
	f.mustRefuse(model.JobEnded{ID: "a", Token: first.Token, Succeeded: true}, result.StaleToken)
	f.mustRefuse(model.JobReport{ID: "a", Token: first.Token}, result.StaleToken)
	f.mustApply(model.JobEnded{ID: "a", Token: second.Token, Succeeded: true})
	f.mustRefuse(model.JobEnded{ID: "a", Token: second.Token}, result.JobFinished)
	assert.Equal(t, f.job("a").Phase, model.JobDone)
}

// Guards against a second outcome, or none, when a cancellation races with the
// placement, the start, the end or the lease expiry of a job.
func TestCancellationGivesOneOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		steps func(f *fleet)
		want  model.JobPhase
	}{
		"queued":                     {func(f *fleet) { f.mustApply(model.CancelJob{ID: "a"}) }, model.JobCancelled},
		"cancelled before the start": {func(f *fleet) { f.reconcile(); f.mustApply(model.CancelJob{ID: "a"}); f.start("a"); f.end("a", false) }, model.JobCancelled},
		"finished before the cancellation": {func(f *fleet) {
			f.reconcile()
			f.start("a")
			f.end("a", true)
			f.mustRefuse(model.CancelJob{ID: "a"}, result.JobFinished)
		}, model.JobDone},
		"finished after the cancellation": {func(f *fleet) { f.reconcile(); f.start("a"); f.mustApply(model.CancelJob{ID: "a"}); f.end("a", true) }, model.JobDone},
		"worker lost": {func(f *fleet) {
			f.reconcile()
			f.mustApply(model.CancelJob{ID: "a"})
			f.advance(job.MinLeaseDuration)
			f.reconcile()
		}, model.JobCancelled},
		"cancelled twice": {func(f *fleet) { f.mustApply(model.CancelJob{ID: "a"}); f.mustApply(model.CancelJob{ID: "a"}) }, model.JobCancelled},
		"placed after the cancellation": {func(f *fleet) {
			f.mustApply(model.CancelJob{ID: "a"})
			f.mustRefuse(model.PlaceJob{ID: "a", Worker: "w000"}, result.JobFinished)
		}, model.JobCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			f.submit("a", nil)
			c.steps(f)
			assert.Equal(t, f.job("a").Phase, c.want)
			assert.Equal(t, f.s.JobIndex.Loads.Len(), 0)
			assert.Equal(t, f.s.JobIndex.Queue.Len(), 0)
		})
	}
}

// Guards against a worker that keeps getting jobs because it fails them quickly, and
// against counting these failures against the jobs.
func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	f := newFleet(t, 4)
	ids := []model.JobID{"a", "b", "c"}
	for _, id := range ids {
		f.submit(id, nil)
	}
	for i := range job.QuarantineFailures {
		id := ids[i%len(ids)]
		f.mustApply(model.PlaceJob{ID: id, Worker: "w000"})
		f.mustApply(model.JobEnded{ID: id, Token: f.job(id).Lease.Token, Reason: "crashed"})
	}
	bad, _ := f.s.Instances.Get("w000")
	assert.Assert(t, bad.Quarantined)
	for _, id := range ids {
		assert.Equal(t, f.job(id).Phase, model.JobQueued)
		assert.Equal(t, f.job(id).Failures, 0)
	}
	f.mustRefuse(model.PlaceJob{ID: "a", Worker: "w000"}, result.WorkerExcluded)
}

// Guards against a faulty job that gets healthy workers quarantined, or is retried
// forever.
func TestFaultyJobFailsAndQuarantinesNoWorker(t *testing.T) {
	f := newFleet(t, 4)
	f.submit("bad", nil)
	tried := map[model.InstanceID]bool{}
	for !f.job("bad").Phase.Final() {
		f.reconcile()
		tried[f.job("bad").Lease.Worker] = true
		f.mustApply(model.JobEnded{ID: "bad", Token: f.job("bad").Lease.Token, Reason: "crashed"})
	}
	assert.Equal(t, f.job("bad").Phase, model.JobFailed)
	assert.Equal(t, len(tried), job.MaxFailures, "each attempt must run on another worker")
	for _, i := range f.s.Instances.All() {
		assert.Assert(t, !i.Quarantined)
	}
}

// Guards against placement by declared sizes although the actual sizes of the class,
// which often differ by a lot, have been learned.
func TestSizesAndRunTimesAreLearned(t *testing.T) {
	f := newFleet(t, 1)
	for i := range 8 {
		f.submit(model.JobID(fmt.Sprint("j", i)), func(j *model.Job) { j.Declared = cores(4) })
	}
	f.reconcile()
	assert.Equal(t, f.s.JobIndex.Active.Len(), 2, "placed by declared size")
	for range 3 {
		for _, j := range f.s.JobIndex.Active.All() {
			f.mustApply(model.JobEnded{ID: j.ID, Token: j.Lease.Token, Succeeded: true, Run: 3 * time.Second, Used: cores(1)})
			break
		}
		f.reconcile()
	}
	assert.Equal(t, f.s.JobIndex.Active.Len(), 5, "all others placed by learned size")
	e, _ := f.s.Classes.Get("work")
	assert.Equal(t, e.Run, 3*time.Second)
	for _, j := range f.s.JobIndex.Active.All() {
		f.mustApply(model.JobReport{ID: j.ID, Token: j.Lease.Token, Used: model.Resources{MilliCPU: 2500, MemoryMB: 100}})
		break
	}
	e, _ = f.s.Classes.Get("work")
	assert.Equal(t, e.Used.MilliCPU, int64(2500), "a higher usage raises the estimate at once")
}

// Guards against a bulk cancellation that is refused as a whole because of one
// unknown job, or that skips some jobs.
func TestManyJobsAreCancelledInOneCommand(t *testing.T) {
	f := newFleet(t, 1)
	var ids []model.JobID
	for i := range 50 {
		ids = append(ids, model.JobID(fmt.Sprint("j", i)))
		f.submit(ids[i], nil)
	}
	f.reconcile()
	r := f.mustApply(model.CancelJobs{IDs: append(ids, "unknown")})
	assert.Equal(t, r.Detail, "46 cancelled, 4 asked to end, 0 cancelled before, 0 had ended, 1 unknown")
	assert.Equal(t, f.s.JobIndex.Queue.Len(), 0)
}
