package job

import (
	"strings"
	"unicode"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

func submit(s *model.State, env model.Envelope, asked model.Job) result.Result {
	if r := checkInput(s, asked); !r.Code.OK() {
		return r
	}
	if s.Jobs.Has(asked.ID) {
		return result.New(result.Exists, "job %s exists", asked.ID)
	}
	if r := possible(s, asked); !r.Code.OK() {
		return r
	}
	forgetEnded(s, env.Time)
	if live := s.Jobs.Len() - s.JobIndex.Ended.Len(); live >= MaxActive {
		return result.New(result.Overloaded, "%d jobs are queued or running, the limit", live)
	}
	j := model.Job{
		ID: asked.ID, Team: asked.Team, Pool: asked.Pool, Urgent: asked.Urgent, Declared: asked.Declared,
		DeclaredRun: asked.DeclaredRun, Class: asked.Class, Phase: model.JobQueued, SubmittedAt: env.Time,
		Sequence: uint64(s.Index),
	}
	store(s, model.Job{}, j)
	return result.Result{Code: result.Accepted, Value: string(j.ID)}
}

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

// possible refuses a job that no instance of the pool, present or lent, could
// hold even if it were empty, and names the resource.
func possible(s *model.State, j model.Job) result.Result {
	var most model.Resources
	members := 0
	for _, i := range s.Instances.All() {
		if i.Pool != j.Pool && i.Home != j.Pool {
			continue
		}
		if i.Capacity.Fits(j.Declared) {
			return result.Result{Code: result.OK}
		}
		members++
		most.MilliCPU = max(most.MilliCPU, i.Capacity.MilliCPU)
		most.MemoryMB = max(most.MemoryMB, i.Capacity.MemoryMB)
		most.Accelerators = max(most.Accelerators, i.Capacity.Accelerators)
	}
	d := j.Declared
	switch {
	case members == 0:
		return result.New(result.JobImpossible, "pool %q has no instance", j.Pool)
	case d.MilliCPU > most.MilliCPU:
		return result.New(result.JobImpossible, "processors: %d thousandths asked, the largest instance of pool %s has %d", d.MilliCPU, j.Pool, most.MilliCPU)
	case d.MemoryMB > most.MemoryMB:
		return result.New(result.JobImpossible, "memory: %d MB asked, the largest instance of pool %s has %d", d.MemoryMB, j.Pool, most.MemoryMB)
	case d.Accelerators > most.Accelerators:
		return result.New(result.JobImpossible, "accelerators: %d asked, the largest instance of pool %s has %d", d.Accelerators, j.Pool, most.Accelerators)
	}
	return result.New(result.JobImpossible, "no single instance of pool %s has processors, memory and accelerators together", j.Pool)
}

// forgetEnded drops ended jobs past their retention.
func forgetEnded(s *model.State, now model.Timestamp) {
	bound := now.Add(-Retention)
	for _, id := range s.JobIndex.Ended.All() {
		j, _ := s.Jobs.Get(id)
		if j.EndedAt >= bound && s.JobIndex.Ended.Len() <= MaxEnded {
			return
		}
		s.Jobs = s.Jobs.Delete(id)
		s.JobIndex = s.JobIndex.Remove(j)
	}
}
