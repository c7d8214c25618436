package job

import (
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// MaxCancelBatch bounds the jobs of one CancelJobs command, so that applying one
// log entry does not delay the next ones for long. Larger commands are refused.
const MaxCancelBatch = 10_000

// cancel ends a queued job at once, and asks the worker of a leased job to end the
// job. The outcome of a leased job is the one that the worker reports, or cancelled if
// the lease expires first. A job that has an outcome keeps it.
func cancel(s *model.State, env model.Envelope, id model.JobID) result.Code {
	j, ok := s.Jobs.Get(id)
	switch {
	case !ok:
		return result.NotFound
	case j.Phase == model.JobCancelled:
		return result.Unchanged
	case j.Phase.Final():
		return result.JobFinished
	case j.Phase == model.JobQueued:
		finish(s, env, j, model.JobCancelled, "cancelled by "+env.Actor)
		return result.OK
	case j.Cancelling:
		return result.Unchanged
	}
	next := j
	next.Cancelling = true
	store(s, j, next)
	return result.Accepted
}

func cancelOne(s *model.State, env model.Envelope, id model.JobID) result.Result {
	code := cancel(s, env, id)
	switch code {
	case result.NotFound:
		return result.New(code, "no job %q", id)
	case result.JobFinished:
		j, _ := s.Jobs.Get(id)
		return result.New(code, "job %s is %s", id, j.Phase)
	}
	return result.Result{Code: code, Value: string(id)}
}

// cancelMany cancels the jobs independently of each other and returns the number of
// jobs for each result.
func cancelMany(s *model.State, env model.Envelope, ids []model.JobID) result.Result {
	if len(ids) > MaxCancelBatch {
		return result.New(result.InvalidInput, "%d jobs in one command; at most %d are allowed", len(ids), MaxCancelBatch)
	}
	counts := map[result.Code]int{}
	for _, id := range ids {
		counts[cancel(s, env, id)]++
	}
	r := result.New(result.Accepted, "%d cancelled, %d asked to end, %d cancelled before, %d had ended, %d unknown",
		counts[result.OK], counts[result.Accepted], counts[result.Unchanged], counts[result.JobFinished], counts[result.NotFound])
	if counts[result.OK]+counts[result.Accepted] == 0 {
		r.Code = result.Unchanged
	}
	return r
}
