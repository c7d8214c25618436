// Package job decides on jobs: admission, placement under leases, reports,
// cancellation and outcomes. Every check that spends capacity or a quota is
// made by Apply, in log order; Reconcile only proposes.
package job

import (
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

const (
	// LeaseTerm is how long a lease lasts from its grant, and the shortest time
	// from a report; see Term.
	LeaseTerm = 45 * time.Second
	// Retention is how long an ended job is kept.
	Retention = time.Hour
	// MaxEnded bounds the ended jobs kept within Retention. A job takes 1 KB of
	// memory, and a replica may take 256 MB in all.
	MaxEnded = 20_000
	// MaxActive bounds the jobs that are queued or hold a lease.
	MaxActive = 120_000
	// MaxFailures is the number of failures that end a job.
	MaxFailures = 3
)

// Apply handles the commands of jobs.
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
		return work(s, env, c), true
	case model.ExpireLease:
		return expire(s, env, c), true
	case model.ControlJob:
		return control(s, env, c), true
	}
	return result.Result{}, false
}

// store replaces a job and keeps the index in step.
func store(s *model.State, old, j model.Job) {
	s.Jobs = s.Jobs.Set(j.ID, j)
	noteWorkers(s, old, j)
	if old.Active() && j.Active() && old.Lease.Worker == j.Lease.Worker {
		s.JobIndex = s.JobIndex.Renew(old, j)
		return
	}
	if old.Phase != 0 {
		s.JobIndex = s.JobIndex.Remove(old)
	}
	s.JobIndex = s.JobIndex.Add(j)
}

// noteWorkers marks the workers for which the change is news.
func noteWorkers(s *model.State, old, j model.Job) {
	if old.Active() && j.Active() && old.Lease.Token == j.Lease.Token && old.Asked() == j.Asked() {
		return
	}
	for _, of := range [...]model.Job{old, j} {
		if of.Active() {
			w := of.Lease.Worker
			s.WorkerChanges = s.WorkerChanges.Set(w, model.WorkerChange{Worker: w, Index: s.Index})
		}
	}
}

// finish records the outcome of a job. It is called once for each job.
func finish(s *model.State, env model.Envelope, old model.Job, phase model.JobPhase, reason string) {
	j := old
	j.Phase, j.EndedAt, j.Reason = phase, env.Time, reason
	j.Reserved, j.Action, j.YieldsTo = model.Resources{}, model.ActionNone, ""
	store(s, old, j)
}

// requeue returns a job to its place in the queue.
func requeue(s *model.State, old model.Job, reason string) {
	j := old
	j.Phase, j.Reason = model.JobQueued, reason
	j.Lease, j.StartedAt, j.Reserved = model.Lease{}, 0, model.Resources{}
	j.Action, j.ActionSince, j.YieldsTo = model.ActionNone, 0, ""
	j.Throttled, j.Borrowed = false, false
	store(s, old, j)
}

// leased returns the job if the token is that of its current lease.
func leased(s *model.State, id model.JobID, token uint64) (model.Job, result.Result) {
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

// wanted tells the worker what to do with the job.
func wanted(j model.Job) result.Result {
	r := result.Result{Code: result.OK, Revision: j.Lease.Token}
	if asked := j.Asked(); asked != model.AskedRun {
		r.Value = asked.String()
	}
	return r
}
