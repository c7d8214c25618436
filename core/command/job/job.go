// Package job implements the job commands: admission, placement under leases,
// worker reports, cancellation and outcomes. Apply makes every check that spends
// capacity or quota, in log order; Reconcile only proposes commands.
package job

import (
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

const (
	// MinLeaseDuration is the duration of a lease from its grant, and the minimum
	// duration from a report that renews it; see LeaseDuration.
	MinLeaseDuration = 45 * time.Second
	// EndedRetention is the minimum time for which an ended job is kept, unless there
	// are more than MaxEnded. Older ones are removed at the next submission.
	EndedRetention = time.Hour
	// MaxEnded bounds the ended jobs kept within EndedRetention; beyond it the
	// oldest are removed. A job takes 1 KB of memory, and a replica may use 256 MB
	// in total.
	MaxEnded = 20_000
	// MaxActive bounds the jobs that are queued or hold a lease. Submissions beyond
	// it are refused as overloaded.
	MaxActive = 120_000
	// MaxFailures is the number of failures after which a job has failed. Failures
	// on a worker that is then quarantined do not count; recordFailure has the rule
	// for workers on which other jobs fail too.
	MaxFailures = 3
)

// Apply executes a job command. The second result is false, and the state is
// unchanged, if the command is not one of this package.
func Apply(s *model.State, env model.Envelope) (result.Result, bool) {
	switch c := env.Command.(type) {
	case model.SubmitJob:
		return submit(s, env, c.Job), true
	case model.CancelJob:
		return cancelOne(s, env, c.ID), true
	case model.CancelJobs:
		return cancelMany(s, env, c.IDs), true
	case model.PlaceJob:
		return place(s, env, c), true
	case model.JobStarted:
		return started(s, env, c), true
	case model.JobReport:
		return report(s, env, c), true
	case model.JobEnded:
		return ended(s, env, c), true
	case model.ReportWork:
		return reportWork(s, env, c), true
	case model.ExpireLease:
		return expire(s, env, c), true
	case model.ControlJob:
		return control(s, env, c), true
	}
	return result.Result{}, false
}

// store replaces a job in the state and updates the job index accordingly.
func store(s *model.State, old, j model.Job) {
	s.Jobs = s.Jobs.Set(j.ID, j)
	markWorkerChanges(s, old, j)
	if old.Active() && j.Active() && old.Lease.Worker == j.Lease.Worker {
		s.JobIndex = s.JobIndex.Replace(old, j)
		return
	}
	if old.Phase != 0 {
		s.JobIndex = s.JobIndex.Remove(old)
	}
	s.JobIndex = s.JobIndex.Add(j)
}

// markWorkerChanges records the current log index for the workers whose
// assignments or requested actions differ after the change.
func markWorkerChanges(s *model.State, old, j model.Job) {
	if old.Active() && j.Active() && old.Lease.Token == j.Lease.Token && old.Asked() == j.Asked() {
		return
	}
	for _, affected := range [...]model.Job{old, j} {
		if affected.Active() {
			w := affected.Lease.Worker
			s.WorkerChanges = s.WorkerChanges.Set(w, model.WorkerChange{Worker: w, Index: s.Index})
		}
	}
}

// finish records the final phase of a job. It must be called only for a job that has
// no outcome yet.
func finish(s *model.State, env model.Envelope, old model.Job, phase model.JobPhase, reason string) {
	j := old
	j.Phase, j.EndedAt, j.Reason = phase, env.Time, reason
	j.Reserved, j.Action, j.YieldsTo = model.Resources{}, model.ActionNone, ""
	store(s, old, j)
}

// requeue takes the lease from a job and returns it to its previous position in the
// queue.
func requeue(s *model.State, old model.Job, reason string) {
	j := old
	j.Phase, j.Reason = model.JobQueued, reason
	j.Lease, j.StartedAt, j.Reserved = model.Lease{}, 0, model.Resources{}
	j.Action, j.ActionSince, j.YieldsTo = model.ActionNone, 0, ""
	j.Throttled, j.Borrowed = false, false
	store(s, old, j)
}

// checkLease returns the job, with result OK if the token belongs to its current
// lease and it has no outcome yet.
func checkLease(s *model.State, id model.JobID, token uint64) (model.Job, result.Result) {
	j, ok := s.Jobs.Get(id)
	if !ok {
		return j, result.New(result.NotFound, "no job %q", id)
	}
	if token == 0 || j.Lease.Token != token {
		return j, result.New(result.StaleToken, "job %s has token %d, not %d", id, j.Lease.Token, token)
	}
	if j.Phase.Final() {
		return j, result.New(result.JobFinished, "job %s is %s", id, j.Phase)
	}
	return j, result.Result{Code: result.OK}
}

// workerResult returns the answer to a worker about a job it runs. Value is the
// requested action, empty if the job is to run on; Revision is the lease token.
func workerResult(j model.Job) result.Result {
	r := result.Result{Code: result.OK, Revision: j.Lease.Token}
	if action := j.Asked(); action != model.AskedRun {
		r.Value = action.String()
	}
	return r
}
