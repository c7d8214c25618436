package job_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command/job"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
)

// Guards against held leases that a report does not renew, so that running jobs are
// requeued, and against a report that renews the lease of another worker.
func TestReportRenewsOnlyItsOwnLeases(t *testing.T) {
	f := newFleet(t, 2)
	for _, id := range []model.JobID{"a", "b"} {
		f.submit(id, nil)
		f.mustApply(model.PlaceJob{ID: id, Worker: "w000"})
	}
	a, b := f.job("a").Lease.Token, f.job("b").Lease.Token
	f.mustApply(model.ReportWork{Worker: "w000", Started: []model.JobStarted{{ID: "a", Token: a}, {ID: "b", Token: b}}})
	f.advance(job.MinLeaseDuration - time.Millisecond)
	r := f.mustApply(model.ReportWork{Worker: "w000", Held: []uint64{a}})
	assert.Equal(t, len(r.Work.Jobs), 0, "a lease renewed without a requested action is not in the result")
	r = f.mustApply(model.ReportWork{Worker: "w001", Held: []uint64{b}, Usage: []model.JobReport{{ID: "b", Token: b}}})
	for _, x := range r.Work.Jobs {
		assert.DeepEqual(t, x, result.WorkAnswer{Token: b, Code: result.StaleToken, Asked: "stop"})
	}
	f.advance(time.Millisecond)
	f.reconcile()
	assert.Equal(t, f.job("a").Phase, model.JobRunning)
	assert.Equal(t, f.job("b").Phase, model.JobQueued)
}

// Guards against a job that runs without a lease: a queued job has no token, so token
// 0 in a command must not match it.
func TestQueuedJobHasNoToken(t *testing.T) {
	f := newFleet(t, 1)
	f.submit("a", nil)
	f.mustRefuse(model.JobStarted{ID: "a"}, result.StaleToken)
	f.mustRefuse(model.JobEnded{ID: "a", Succeeded: true}, result.StaleToken)
}

// Guards against a second effect of a report that is resent because the answer was
// lost, such as counting a failure twice.
func TestResentReportHasNoSecondEffect(t *testing.T) {
	f := newFleet(t, 2)
	f.submit("a", nil)
	f.mustApply(model.PlaceJob{ID: "a", Worker: "w000"})
	cmd := model.ReportWork{Worker: "w000", Ended: []model.JobEnded{{ID: "a", Token: f.job("a").Lease.Token, Reason: "crashed"}}}
	assert.Equal(t, f.mustApply(cmd).Work.Jobs[0].Code, result.Accepted)
	before := f.job("a")
	assert.Equal(t, f.mustApply(cmd).Work.Jobs[0].Code, result.StaleToken)
	assert.Equal(t, f.job("a"), before)
	assert.Equal(t, before.Failures, 1)
}

// Guards against a worker that is not notified of a granted or expired lease or of a
// requested action, and against one that is notified of its own reports.
func TestWorkerChangesFollowAssignmentsAndRequests(t *testing.T) {
	f := newFleet(t, 2)
	f.submit("a", nil)
	changed := func(c model.Command) bool {
		t.Helper()
		_, before := query.Assignments(f.s, "w000")
		f.mustApply(c)
		_, after := query.Assignments(f.s, "w000")
		return after > before
	}
	assert.Assert(t, changed(model.PlaceJob{ID: "a", Worker: "w000"}))
	token := f.job("a").Lease.Token
	assert.Assert(t, !changed(model.ReportWork{Worker: "w000", Started: []model.JobStarted{{ID: "a", Token: token}}}))
	assert.Assert(t, !changed(model.ReportWork{Worker: "w000", Usage: []model.JobReport{{ID: "a", Token: token, Used: cores(1), Checkpoint: "c"}}}))
	assert.Assert(t, changed(model.ControlJob{ID: "a", Token: token, Action: model.ActionThrottle}))
	list, _ := query.Assignments(f.s, "w000")
	assert.Equal(t, list[0].Checkpoint, "c")
	assert.Equal(t, list[0].Asked, model.AskedThrottle)
	assert.Assert(t, changed(model.CancelJob{ID: "a"}))
	f.advance(time.Minute)
	assert.Assert(t, changed(model.ExpireLease{ID: "a", Token: token}))
	list, _ = query.Assignments(f.s, "w000")
	assert.Equal(t, len(list), 0)
}

// Guards against a report interval that does not grow with the number of workers, so
// that their reports fill the log, and against leases too short for the interval.
func TestReportIntervalBoundsTheTotalRate(t *testing.T) {
	assert.Equal(t, job.ReportInterval(50), 15*time.Second)
	for _, n := range []int{50, 720, 5000} {
		assert.Assert(t, float64(n)/job.ReportInterval(n).Seconds() < 10.1, n)
		assert.Assert(t, job.LeaseDuration(n) >= 3*job.ReportInterval(n), n)
	}
}

// Guards against a job that is lost with its worker, against placing it on another
// worker before the lease expires, and against a worker that returns and continues
// the job.
func TestJobOfALostWorkerRunsElsewhere(t *testing.T) {
	f := newFleet(t, 2)
	f.submit("a", func(j *model.Job) { j.Declared = cores(8) })
	f.reconcile()
	first := f.job("a").Lease
	f.mustApply(model.ReportWork{Worker: first.Worker, Started: []model.JobStarted{{ID: "a", Token: first.Token}},
		Usage: []model.JobReport{{ID: "a", Token: first.Token, Used: cores(8), Checkpoint: "half"}}})
	i, _ := f.s.Instances.Get(first.Worker)
	i.Phase = model.PhaseLost
	f.s.Instances = f.s.Instances.Set(i.ID, i)
	f.advance(job.LeaseDuration(2) - time.Millisecond)
	f.reconcile()
	assert.Equal(t, f.job("a").Lease, first, "the lost worker may still run the job")
	f.advance(time.Millisecond)
	f.reconcile()
	f.reconcile()
	second := f.job("a").Lease
	assert.Assert(t, second.Worker != first.Worker && second.Token > first.Token)
	list, _ := query.Assignments(f.s, second.Worker)
	assert.Equal(t, list[0].Checkpoint, "half")
	list, _ = query.Assignments(f.s, first.Worker)
	assert.Equal(t, len(list), 0)
	r := f.mustApply(model.ReportWork{Worker: first.Worker, Ended: []model.JobEnded{{ID: "a", Token: first.Token, Succeeded: true}}})
	assert.DeepEqual(t, r.Work.Jobs, []result.WorkAnswer{{Token: first.Token, Code: result.StaleToken, Asked: "stop"}})
	assert.Equal(t, f.job("a").Phase, model.JobLeased)
}
