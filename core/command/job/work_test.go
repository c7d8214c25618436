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

// Guards against leases that a report does not renew, and against a report that
// renews the lease of another worker.
func TestReportRenewsOnlyItsOwnLeases(t *testing.T) {
	w := newWorld(t, 2)
	for _, id := range []model.JobID{"a", "b"} {
		w.submit(id, nil)
		w.must(model.PlaceJob{ID: id, Worker: "w000"})
	}
	a, b := w.job("a").Lease.Token, w.job("b").Lease.Token
	w.must(model.ReportWork{Worker: "w000", Started: []model.JobStarted{{ID: "a", Token: a}, {ID: "b", Token: b}}})
	w.pass(job.LeaseTerm - time.Millisecond)
	r := w.must(model.ReportWork{Worker: "w000", Held: []uint64{a}})
	assert.Equal(t, len(r.Work.Jobs), 0, "nothing to say")
	r = w.must(model.ReportWork{Worker: "w001", Held: []uint64{b}, Usage: []model.JobReport{{ID: "b", Token: b}}})
	for _, x := range r.Work.Jobs {
		assert.DeepEqual(t, x, result.WorkAnswer{Token: b, Code: result.StaleToken, Asked: "stop"})
	}
	w.pass(time.Millisecond)
	w.reconcile()
	assert.Equal(t, w.job("a").Phase, model.JobRunning)
	assert.Equal(t, w.job("b").Phase, model.JobQueued)
}

// Guards against a job that is never leased and runs all the same: a queued job
// has no token, which is not the same as token 0.
func TestQueuedJobHasNoToken(t *testing.T) {
	w := newWorld(t, 1)
	w.submit("a", nil)
	w.refused(model.JobStarted{ID: "a"}, result.StaleToken)
	w.refused(model.JobEnded{ID: "a", Succeeded: true}, result.StaleToken)
}

// Guards against a lost answer by which a resent report has a second effect.
func TestResentReportHasNoSecondEffect(t *testing.T) {
	w := newWorld(t, 2)
	w.submit("a", nil)
	w.must(model.PlaceJob{ID: "a", Worker: "w000"})
	cmd := model.ReportWork{Worker: "w000", Ended: []model.JobEnded{{ID: "a", Token: w.job("a").Lease.Token, Reason: "crashed"}}}
	assert.Equal(t, w.must(cmd).Work.Jobs[0].Code, result.Accepted)
	before := w.job("a")
	assert.Equal(t, w.must(cmd).Work.Jobs[0].Code, result.StaleToken)
	assert.Equal(t, w.job("a"), before)
	assert.Equal(t, before.Failures, 1)
}

// Guards against a worker that is not told of a lease that was granted or ended
// or of a request, and against one that is woken for its own usage.
func TestWorkerChangesFollowWhatIsAsked(t *testing.T) {
	w := newWorld(t, 2)
	w.submit("a", nil)
	changed := func(c model.Command) bool {
		t.Helper()
		_, before := query.Assignments(w.s, "w000")
		w.must(c)
		_, after := query.Assignments(w.s, "w000")
		return after > before
	}
	assert.Assert(t, changed(model.PlaceJob{ID: "a", Worker: "w000"}))
	token := w.job("a").Lease.Token
	assert.Assert(t, !changed(model.ReportWork{Worker: "w000", Started: []model.JobStarted{{ID: "a", Token: token}}}))
	assert.Assert(t, !changed(model.ReportWork{Worker: "w000", Usage: []model.JobReport{{ID: "a", Token: token, Used: cores(1), Checkpoint: "c"}}}))
	assert.Assert(t, changed(model.ControlJob{ID: "a", Token: token, Action: model.ActionThrottle}))
	list, _ := query.Assignments(w.s, "w000")
	assert.Equal(t, list[0].Checkpoint, "c")
	assert.Equal(t, list[0].Asked, model.AskedThrottle)
	assert.Assert(t, changed(model.CancelJob{ID: "a"}))
	w.pass(time.Minute)
	assert.Assert(t, changed(model.ExpireLease{ID: "a", Token: token}))
	list, _ = query.Assignments(w.s, "w000")
	assert.Equal(t, len(list), 0)
}

// Guards against a pace at which the reports of many workers fill the log.
func TestPaceBoundsTheReportsOfAllWorkers(t *testing.T) {
	assert.Equal(t, job.Pace(50), 15*time.Second)
	for _, n := range []int{50, 720, 5000} {
		assert.Assert(t, float64(n)/job.Pace(n).Seconds() < 10.1, n)
		assert.Assert(t, job.Term(n) >= 3*job.Pace(n), n)
	}
}

// Guards against a job that is lost with its worker, and against a worker that
// comes back and goes on with it.
func TestJobOfADeadWorkerRunsElsewhere(t *testing.T) {
	w := newWorld(t, 2)
	w.submit("a", func(j *model.Job) { j.Declared = cores(8) })
	w.reconcile()
	first := w.job("a").Lease
	w.must(model.ReportWork{Worker: first.Worker, Started: []model.JobStarted{{ID: "a", Token: first.Token}},
		Usage: []model.JobReport{{ID: "a", Token: first.Token, Used: cores(8), Checkpoint: "half"}}})
	i, _ := w.s.Instances.Get(first.Worker)
	i.Phase = model.PhaseLost
	w.s.Instances = w.s.Instances.Set(i.ID, i)
	w.pass(job.Term(2) - time.Millisecond)
	w.reconcile()
	assert.Equal(t, w.job("a").Lease, first, "the worker may still run it")
	w.pass(time.Millisecond)
	w.reconcile()
	w.reconcile()
	second := w.job("a").Lease
	assert.Assert(t, second.Worker != first.Worker && second.Token > first.Token)
	list, _ := query.Assignments(w.s, second.Worker)
	assert.Equal(t, list[0].Checkpoint, "half")
	list, _ = query.Assignments(w.s, first.Worker)
	assert.Equal(t, len(list), 0)
	r := w.must(model.ReportWork{Worker: first.Worker, Ended: []model.JobEnded{{ID: "a", Token: first.Token, Succeeded: true}}})
	assert.DeepEqual(t, r.Work.Jobs, []result.WorkAnswer{{Token: first.Token, Code: result.StaleToken, Asked: "stop"}})
	assert.Equal(t, w.job("a").Phase, model.JobLeased)
}
