// Package job decides on jobs: admission, placement under leases, reports,
// cancellation and outcomes.
package job

import (
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Apply handles the commands of jobs.
func Apply(s *model.State, env model.Envelope) (result.Result, bool) {
	if c, ok := env.Command.(model.SubmitJob); ok {
		return submit(s, env, c.Job), true
	}
	return result.Result{}, false
}

func submit(s *model.State, env model.Envelope, j model.Job) result.Result {
	if j.ID == "" {
		return result.New(result.InvalidInput, "a job needs an ID")
	}
	if s.Jobs.Has(j.ID) {
		return result.New(result.Exists, "job %s exists", j.ID)
	}
	if !possible(s, j) {
		return result.New(result.JobImpossible, "no instance of pool %s has %+v", j.Pool, j.Declared)
	}
	j.Phase, j.SubmittedAt = model.JobQueued, env.Time
	s.Jobs = s.Jobs.Set(j.ID, j)
	return result.Result{Code: result.Accepted, Value: string(j.ID)}
}

// possible reports whether some instance of the pool could ever hold the job.
func possible(s *model.State, j model.Job) bool {
	for _, i := range s.Instances.All() {
		if i.Pool == j.Pool && i.Capacity.Fits(j.Declared) {
			return true
		}
	}
	return false
}
