package job

import (
	"strings"
	"unicode"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// submit validates a job and adds it to the queue.
func submit(s *model.State, env model.Envelope, spec model.Job) result.Result {
	if r := checkInput(s, spec); !r.Code.OK() {
		return r
	}
	if s.Jobs.Has(spec.ID) {
		return result.New(result.Exists, "job %s exists", spec.ID)
	}
	if r := checkFeasible(s, spec); !r.Code.OK() {
		return r
	}
	evictEnded(s, env.Time)
	if active := s.Jobs.Len() - s.JobIndex.Ended.Len(); active >= MaxActive {
		return result.New(result.Overloaded, "%d jobs are queued or running, the limit", active)
	}
	j := model.Job{
		ID: spec.ID, Team: spec.Team, Pool: spec.Pool, Urgent: spec.Urgent, Declared: spec.Declared,
		DeclaredRun: spec.DeclaredRun, Class: spec.Class, Phase: model.JobQueued, SubmittedAt: env.Time,
		Sequence: uint64(s.Index),
	}
	store(s, model.Job{}, j)
	return result.Result{Code: result.Accepted, Value: string(j.ID)}
}

// checkInput validates the fields of a submitted job. If the configuration has teams,
// the job's team must be one of them.
func checkInput(s *model.State, j model.Job) result.Result {
	if j.ID == "" {
		return result.New(result.InvalidInput, "a job needs an ID")
	}
	for _, v := range []string{string(j.ID), string(j.Team), string(j.Pool), j.Class} {
		if strings.ContainsFunc(v, unicode.IsControl) {
			return result.New(result.InvalidInput, "%q contains a control character", v)
		}
	}
	d := j.Declared
	if d.MilliCPU < 0 || d.MemoryMB < 0 || d.Accelerators < 0 {
		return result.New(result.InvalidInput, "declared sizes must not be negative")
	}
	if s.Config == nil || len(s.Config.Teams) == 0 {
		return result.Result{Code: result.OK}
	}
	if _, ok := quota(s, j.Team); !ok {
		return result.New(result.NotFound, "no team %q", j.Team)
	}
	return result.Result{Code: result.OK}
}

// checkFeasible refuses a job that would not fit on any instance of the pool even if
// the instance were empty. The refusal names the resource that is too small. Instances
// that the pool has lent to another pool count as well.
func checkFeasible(s *model.State, j model.Job) result.Result {
	var largest model.Resources
	members := 0
	for _, i := range s.Instances.All() {
		if i.Pool != j.Pool && i.Home != j.Pool {
			continue
		}
		if i.Capacity.Fits(j.Declared) {
			return result.Result{Code: result.OK}
		}
		members++
		largest.MilliCPU = max(largest.MilliCPU, i.Capacity.MilliCPU)
		largest.MemoryMB = max(largest.MemoryMB, i.Capacity.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, i.Capacity.Accelerators)
	}
	d := j.Declared
	switch {
	case members == 0:
		return result.New(result.JobImpossible, "pool %q has no instance", j.Pool)
	case d.MilliCPU > largest.MilliCPU:
		return result.New(result.JobImpossible, "processors: %d thousandths asked, the largest instance of pool %s has %d", d.MilliCPU, j.Pool, largest.MilliCPU)
	case d.MemoryMB > largest.MemoryMB:
		return result.New(result.JobImpossible, "memory: %d MB asked, the largest instance of pool %s has %d", d.MemoryMB, j.Pool, largest.MemoryMB)
	case d.Accelerators > largest.Accelerators:
		return result.New(result.JobImpossible, "accelerators: %d asked, the largest instance of pool %s has %d", d.Accelerators, j.Pool, largest.Accelerators)
	}
	return result.New(result.JobImpossible, "no single instance of pool %s has processors, memory and accelerators together", j.Pool)
}

// evictEnded removes ended jobs past EndedRetention, and the oldest ones beyond
// MaxEnded.
func evictEnded(s *model.State, now model.Timestamp) {
	cutoff := now.Add(-EndedRetention)
	for _, id := range s.JobIndex.Ended.All() {
		j, _ := s.Jobs.Get(id)
		if j.EndedAt >= cutoff && s.JobIndex.Ended.Len() <= MaxEnded {
			return
		}
		s.Jobs = s.Jobs.Delete(id)
		s.JobIndex = s.JobIndex.Remove(j)
	}
}
