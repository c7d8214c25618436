// Package fleet decides on pools, budgets, moves and maintenance waves. All
// availability budgets are checked and spent here, in log order.
package fleet

import (
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Apply handles the commands of the fleet.
func Apply(s *model.State, env model.Envelope) (result.Result, bool) {
	switch c := env.Command.(type) {
	case model.DrainInstance:
		return drain(s, env, c), true
	case model.ReturnInstance:
		return returnInstance(s, env, c), true
	}
	return result.Result{}, false
}

// Reconfigure brings the instances in line with an accepted configuration. New
// instances are added; the pool of a known instance changes only by a move.
func Reconfigure(s *model.State, c model.Config) result.Result {
	for _, spec := range c.Instances {
		i, known := s.Instances.Get(spec.ID)
		if !known {
			i = model.Instance{ID: spec.ID, Pool: spec.Pool, Phase: model.PhaseActive, PhaseSince: s.Clock, Maintained: s.Clock}
		}
		i.Domain, i.Capacity = spec.Domain, spec.Capacity
		s.Instances = s.Instances.Set(spec.ID, i)
	}
	return result.Result{Code: result.OK}
}

func drain(s *model.State, env model.Envelope, c model.DrainInstance) result.Result {
	i, ok := s.Instances.Get(c.Instance)
	if !ok {
		return result.New(result.NotFound, "no instance %q", c.Instance)
	}
	if i.Phase != model.PhaseActive {
		return result.New(result.WrongPhase, "instance %s is %s", i.ID, i.Phase)
	}
	if r := CheckBudget(*s, i.Pool, i); !r.Code.OK() {
		return r
	}
	i.Phase, i.PhaseSince, i.HeldBy = model.PhaseDraining, env.Time, c.HeldBy
	s.Instances = s.Instances.Set(i.ID, i)
	return result.Result{Code: result.Accepted}
}

func returnInstance(s *model.State, env model.Envelope, c model.ReturnInstance) result.Result {
	i, ok := s.Instances.Get(c.Instance)
	if !ok {
		return result.New(result.NotFound, "no instance %q", c.Instance)
	}
	if i.HeldBy != c.HeldBy || (i.Phase != model.PhaseDraining && i.Phase != model.PhaseDrained) {
		return result.New(result.WrongPhase, "instance %s is %s and held by %q", i.ID, i.Phase, i.HeldBy)
	}
	i.Phase, i.PhaseSince, i.HeldBy = model.PhaseActive, env.Time, ""
	s.Instances = s.Instances.Set(i.ID, i)
	return result.Result{Code: result.Accepted}
}
