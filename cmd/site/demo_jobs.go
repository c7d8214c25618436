package site

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
)

// jobPool is the pool whose instances run the jobs of the demo.
const jobPool model.PoolName = "dividends"

// longRun is longer than the demo takes; jobs with this run time end only on request.
const longRun = 10 * time.Minute

// runJobs submits long jobs that occupy every worker, an impossible job, small jobs
// that fit beside the long ones, a job that fails and an urgent job. It cancels the
// long jobs, except for one that runs on for killLeader.
func (d *Demo) runJobs(ctx context.Context) error {
	d.startWorkers(ctx)
	long, err := d.submitJobs(ctx, len(d.workers), model.Job{ID: "ledger", Team: "ledger", Declared: processors(12), DeclaredRun: longRun, Class: "ledger"})
	if err != nil {
		return err
	}
	d.awaitPhase(ctx, model.JobRunning, long...)
	d.refuseImpossible(ctx)
	if err := d.runSmall(ctx); err != nil {
		return err
	}
	if err := d.runFaulty(ctx); err != nil {
		return err
	}
	if err := d.cancelJob(ctx, long[0]); err != nil {
		return err
	}
	if err := d.runUrgent(ctx, long[1:]); err != nil {
		return err
	}
	last := len(long) - 1
	d.failoverJob = long[last]
	rest := append(long[:last:last], "ledger-again")
	r := d.submit(ctx, client.NewRequestID(), model.CancelJobs{IDs: rest})
	if !r.Code.OK() || !d.awaitPhase(ctx, model.JobCancelled, rest...) {
		return trace.LimitExceeded("the long jobs are not all cancelled; the cancel command returned %s", r.Error())
	}
	return nil
}

// endFailoverJob checks that the job that ran while the leader was killed was not
// started again, and that the new leader can cancel it.
func (d *Demo) endFailoverJob(ctx context.Context, before []run) {
	after := d.runsOf(d.failoverJob)
	r := d.submit(ctx, client.NewRequestID(), model.CancelJob{ID: d.failoverJob})
	ended := d.awaitPhase(ctx, model.JobCancelled, d.failoverJob)
	d.outcomes.add(len(before) == len(after) && r.Code == result.Accepted && ended, "a job keeps running while the leader is lost, and the new leader can cancel it",
		"%d runs before, %d after; %s, then %s", len(before), len(after), r.Code, d.job(d.failoverJob).Phase)
}

func processors(n int64) model.Resources {
	return model.Resources{MilliCPU: n * 1000, MemoryMB: n * 1024}
}

func (d *Demo) startWorkers(ctx context.Context) {
	for _, i := range d.config.Instances {
		if i.Pool == jobPool {
			w := &Worker{Instance: i.ID, Entries: d.site.EntryURLs}
			w.Start(ctx)
			d.workers = append(d.workers, w)
		}
	}
}

func (d *Demo) stopWorkers() {
	for _, w := range d.workers {
		w.Stop()
	}
}

func (d *Demo) submitJob(ctx context.Context, j model.Job) error {
	j.Pool = jobPool
	if r := d.submit(ctx, client.NewRequestID(), model.SubmitJob{Job: j}); r.Code != result.Accepted {
		return trace.Wrap(r, "job %s", j.ID)
	}
	return nil
}

// submitJobs submits n copies of j with numbered IDs at the same time and returns the
// IDs.
func (d *Demo) submitJobs(ctx context.Context, n int, j model.Job) ([]model.JobID, error) {
	ids := make([]model.JobID, n)
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		numbered := j
		numbered.ID = model.JobID(fmt.Sprintf("%s-%d", j.ID, i+1))
		ids[i] = numbered.ID
		wg.Go(func() { errs[i] = d.submitJob(ctx, numbered) })
	}
	wg.Wait()
	return ids, trace.NewAggregate(errs...)
}

// job returns the job from the state of the first control replica, or the zero job if
// there is none.
func (d *Demo) job(id model.JobID) model.Job {
	j, _ := d.site.Controls[0].Replica.View().State.Jobs.Get(id)
	return j
}

// awaitPhase waits until all jobs are in the phase. It reports false if stepTimeout is
// over first.
func (d *Demo) awaitPhase(ctx context.Context, phase model.JobPhase, ids ...model.JobID) bool {
	return eventually(ctx, func() bool {
		for _, id := range ids {
			if d.job(id).Phase != phase {
				return false
			}
		}
		return true
	})
}

// runsOf returns the executions of a job on all workers.
func (d *Demo) runsOf(id model.JobID) []run {
	var out []run
	for _, w := range d.workers {
		for _, r := range w.Executions() {
			if r.Job == id {
				out = append(out, r)
			}
		}
	}
	return out
}

func (d *Demo) refuseImpossible(ctx context.Context) {
	r := d.submit(ctx, client.NewRequestID(), model.SubmitJob{Job: model.Job{ID: "impossible", Pool: jobPool, Team: "ledger", Declared: processors(17)}})
	d.outcomes.add(r.Code == result.JobImpossible && d.job("impossible").ID == "", "a job that can never fit is refused at once with the reason", "%s", r.Error())
}

// runSmall runs jobs on the capacity that the long jobs leave free: 4 processors on
// each instance.
func (d *Demo) runSmall(ctx context.Context) error {
	small, err := d.submitJobs(ctx, 2*len(d.workers), model.Job{ID: "statement", Team: "counter", Declared: processors(4), DeclaredRun: 200 * time.Millisecond, Class: "statement"})
	if err != nil {
		return err
	}
	done := d.awaitPhase(ctx, model.JobDone, small...)
	runs, peak := 0, int64(0)
	for _, id := range small {
		runs += len(d.runsOf(id))
	}
	for _, w := range d.workers {
		peak = max(peak, w.Peak().MilliCPU)
	}
	d.outcomes.add(done && runs == len(small) && peak <= processors(16).MilliCPU, "jobs run where capacity is free and no worker is overbooked",
		"%d jobs ran %d times, peak use %d of 16000 thousandths of a processor on one worker", len(small), runs, peak)
	return nil
}

// runFaulty runs a job that fails on every attempt while several workers have free
// capacity.
func (d *Demo) runFaulty(ctx context.Context) error {
	if err := d.submitJob(ctx, model.Job{ID: "faulty", Team: "counter", Declared: processors(4), DeclaredRun: 50 * time.Millisecond, Class: ClassFails}); err != nil {
		return err
	}
	d.awaitPhase(ctx, model.JobFailed, "faulty")
	f := d.job("faulty")
	tried := map[model.InstanceID]bool{}
	for _, r := range d.runsOf(f.ID) {
		tried[r.Worker] = true
	}
	d.outcomes.add(f.Phase == model.JobFailed && len(tried) == f.Failures, "a failing job is retried on other workers before it ends as failed",
		"%s after %d failures on %d workers: %s", f.Phase, f.Failures, len(tried), f.Reason)
	return nil
}

// cancelJob cancels a running job twice and submits another job that takes the freed
// capacity.
func (d *Demo) cancelJob(ctx context.Context, id model.JobID) error {
	first := d.submit(ctx, client.NewRequestID(), model.CancelJob{ID: id})
	ended := d.awaitPhase(ctx, model.JobCancelled, id)
	again := d.submit(ctx, client.NewRequestID(), model.CancelJob{ID: id})
	if err := d.submitJob(ctx, model.Job{ID: "ledger-again", Team: "ledger", Declared: processors(12), DeclaredRun: longRun, Class: "ledger"}); err != nil {
		return err
	}
	filled := d.awaitPhase(ctx, model.JobRunning, "ledger-again")
	runs := len(d.runsOf(id))
	d.outcomes.add(ended && filled && again.Code == result.Unchanged && runs == 1 && d.job(id).Phase == model.JobCancelled, "a cancelled job has one outcome",
		"first cancel command: %s; second: %s; job %s after %d run; another job runs in its place", first.Code, again.Code, d.job(id).Phase, runs)
	return nil
}

// runUrgent submits an urgent job while every worker is full. It checks that the job
// preempted for it resumes from its checkpoint.
func (d *Demo) runUrgent(ctx context.Context, long []model.JobID) error {
	submitted := time.Now()
	if err := d.submitJob(ctx, model.Job{ID: "urgent", Team: "counter", Urgent: true, Declared: processors(12), DeclaredRun: 300 * time.Millisecond, Class: "urgent"}); err != nil {
		return err
	}
	done := d.awaitPhase(ctx, model.JobDone, "urgent")
	runs := d.runsOf("urgent")
	if !done || len(runs) != 1 {
		d.outcomes.add(false, "urgent work starts on a full fleet", "%s, %d runs", d.job("urgent").Phase, len(runs))
		return nil
	}
	all := append([]model.JobID{"ledger-again"}, long...)
	resumed := ""
	restored := d.awaitPhase(ctx, model.JobRunning, all...) && eventually(ctx, func() bool {
		for _, id := range all {
			if r := d.runsOf(id); len(r) == 2 && r[1].Checkpoint != "" {
				resumed = r[1].String()
			} else if len(r) == 2 && r[0].Checkpoint != "" {
				resumed = r[0].String()
			}
		}
		return resumed != ""
	})
	d.outcomes.add(restored, "urgent work starts on a full fleet, and the preempted job resumes from its checkpoint",
		"started %d ms after the submission; then resumed %s", runs[0].At.Sub(submitted).Milliseconds(), resumed)
	return nil
}
