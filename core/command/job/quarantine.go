package job

import (
	"slices"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

const (
	// QuarantineFailures is the number of consecutive failures after which a worker
	// is quarantined, if they come from at least QuarantineJobs different jobs.
	QuarantineFailures = 5
	// QuarantineJobs is the number of different jobs that must have failed, so that
	// a single faulty job does not quarantine workers.
	QuarantineJobs = 3
)

// recordFailure counts a failure against the worker and the job, and requeues the job
// or records that it has failed. After MaxFailures the job has failed if the worker's
// streak of failures contains no other job. If it contains other jobs, the worker may
// be the cause; it will soon either complete a job or be quarantined. The job has then
// failed only if it failed on MaxFailures workers, or on all if there are fewer.
func recordFailure(s *model.State, env model.Envelope, j model.Job, reason string) result.Result {
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
	others := countDistinct(rec.Streak) > 1
	switch {
	case quarantine(s, env, w, rec):
		next, _ = s.Jobs.Get(j.ID)
		requeue(s, next, "failed on quarantined instance "+string(worker)+": "+reason)
	case next.Failures >= MaxFailures && (!others || next.FailedOn.Len() >= min(MaxFailures, eligibleWorkers(s, j))):
		finish(s, env, next, model.JobFailed, reason)
	default:
		requeue(s, next, reason)
	}
	return result.Result{Code: result.Accepted}
}

// addFailure appends a failure to the worker's streak of consecutive failures. The
// streak starts anew when the instance has a new generation.
func addFailure(s *model.State, w model.Instance, id model.JobID) model.WorkerRecord {
	rec, _ := s.Workers.Get(w.ID)
	if rec.Generation != w.Generation {
		rec.Streak = nil
	}
	rec.Worker, rec.Generation = w.ID, w.Generation
	rec.Streak = append(slices.Clone(rec.Streak), id)
	// Only the last 2*QuarantineFailures failures are considered, to bound the record.
	if extra := len(rec.Streak) - 2*QuarantineFailures; extra > 0 {
		rec.Streak = rec.Streak[extra:]
	}
	s.Workers = s.Workers.Set(w.ID, rec)
	return rec
}

// workerSucceeded ends the worker's streak of consecutive failures.
func workerSucceeded(s *model.State, worker model.InstanceID) {
	if s.Workers.Has(worker) {
		s.Workers = s.Workers.Delete(worker)
	}
}

// quarantine excludes a worker with too many consecutive failures from placement, and
// no longer counts these failures against the jobs. At least half of the pool stays in
// use, so that faulty jobs cannot quarantine all workers. It reports whether the worker
// was quarantined.
func quarantine(s *model.State, env model.Envelope, w model.Instance, rec model.WorkerRecord) bool {
	if len(rec.Streak) < QuarantineFailures || countDistinct(rec.Streak) < QuarantineJobs {
		return false
	}
	members, quarantined := 0, 0
	for _, i := range s.Instances.All() {
		if i.Pool != w.Pool {
			continue
		}
		members++
		if i.Quarantined {
			quarantined++
		}
	}
	if (quarantined+1)*2 > members {
		return false
	}
	w.Quarantined, w.Failures = true, len(rec.Streak)
	s.Instances = s.Instances.Set(w.ID, w)
	s.Workers = s.Workers.Delete(w.ID)
	for _, id := range rec.Streak {
		revertFailure(s, id, w.ID)
	}
	return true
}

// revertFailure subtracts one failure on the worker from those counted against a job.
// A job that has an outcome is not changed.
func revertFailure(s *model.State, id model.JobID, worker model.InstanceID) {
	j, ok := s.Jobs.Get(id)
	if !ok || j.Phase.Final() {
		return
	}
	next := j
	next.Failures = max(0, j.Failures-1)
	next.FailedOn = j.FailedOn.Without(worker)
	store(s, j, next)
}

func countDistinct(ids []model.JobID) int {
	seen := map[model.JobID]bool{}
	for _, id := range ids {
		seen[id] = true
	}
	return len(seen)
}

// eligibleWorkers counts the schedulable instances of the job's pool.
func eligibleWorkers(s *model.State, j model.Job) int {
	n := 0
	for _, i := range s.Instances.All() {
		if i.Pool == j.Pool && schedulable(i) {
			n++
		}
	}
	return n
}
