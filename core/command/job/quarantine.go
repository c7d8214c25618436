package job

import (
	"slices"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// A worker is quarantined after this many failures in a row from at least this
// many different jobs.
const (
	QuarantineFailures = 5
	QuarantineJobs     = 3
)

// failed counts a failure against the worker and the job. The job ends when it
// failed often enough, but not on the word of a worker that fails other jobs as
// well: such a worker either succeeds soon or is quarantined.
func failed(s *model.State, env model.Envelope, j model.Job, reason string) result.Result {
	worker := j.Lease.Worker
	w, _ := s.Instances.Get(worker)
	if w.Quarantined {
		requeue(s, j, "failed on quarantined instance "+string(worker)+": "+reason)
		return result.Result{Code: result.Accepted}
	}
	next := j
	next.Failures++
	next.FailedOn = j.FailedOn.With(worker)
	store(s, j, next)
	rec := addFailure(s, w, j.ID)
	others := distinct(rec.Streak) > 1
	switch {
	case quarantine(s, env, w, rec):
		next, _ = s.Jobs.Get(j.ID)
		requeue(s, next, "failed on quarantined instance "+string(worker)+": "+reason)
	case next.Failures >= MaxFailures && (!others || next.FailedOn.Len() >= min(MaxFailures, workersFor(s, j))):
		finish(s, env, next, model.JobFailed, reason)
	default:
		requeue(s, next, reason)
	}
	return result.Result{Code: result.Accepted}
}

func addFailure(s *model.State, w model.Instance, id model.JobID) model.WorkerRecord {
	rec, _ := s.Workers.Get(w.ID)
	if rec.Generation != w.Generation {
		rec.Streak = nil
	}
	rec.Worker, rec.Generation = w.ID, w.Generation
	rec.Streak = append(slices.Clone(rec.Streak), id)
	// More than the last few say nothing new; the limit bounds the record.
	if extra := len(rec.Streak) - 2*QuarantineFailures; extra > 0 {
		rec.Streak = rec.Streak[extra:]
	}
	s.Workers = s.Workers.Set(w.ID, rec)
	return rec
}

func workerSucceeded(s *model.State, worker model.InstanceID) {
	if s.Workers.Has(worker) {
		s.Workers = s.Workers.Delete(worker)
	}
}

// quarantine takes a worker that fails everything out of use and takes its
// failures back from the jobs. At least half of the pool stays in use, so that
// faulty jobs cannot take out all workers.
func quarantine(s *model.State, env model.Envelope, w model.Instance, rec model.WorkerRecord) bool {
	if len(rec.Streak) < QuarantineFailures || distinct(rec.Streak) < QuarantineJobs {
		return false
	}
	members, out := 0, 0
	for _, i := range s.Instances.All() {
		if i.Pool != w.Pool {
			continue
		}
		members++
		if i.Quarantined {
			out++
		}
	}
	if (out+1)*2 > members {
		return false
	}
	w.Quarantined, w.Failures = true, len(rec.Streak)
	s.Instances = s.Instances.Set(w.ID, w)
	s.Workers = s.Workers.Delete(w.ID)
	for _, id := range rec.Streak {
		forgive(s, id, w.ID)
	}
	return true
}

// forgive takes one failure on the worker back from a job without an outcome.
func forgive(s *model.State, id model.JobID, worker model.InstanceID) {
	j, ok := s.Jobs.Get(id)
	if !ok || j.Phase.Final() {
		return
	}
	next := j
	next.Failures = max(0, j.Failures-1)
	next.FailedOn = j.FailedOn.Without(worker)
	store(s, j, next)
}

func distinct(ids []model.JobID) int {
	seen := map[model.JobID]bool{}
	for _, id := range ids {
		seen[id] = true
	}
	return len(seen)
}

// workersFor counts the workers of the pool that take jobs.
func workersFor(s *model.State, j model.Job) int {
	n := 0
	for _, i := range s.Instances.All() {
		if i.Pool == j.Pool && takesJobs(i) {
			n++
		}
	}
	return n
}
