package fleet

import (
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Reconfigure brings the instances in line with an accepted configuration. New
// instances are added; the pool of a known instance changes only by a move. An
// instance that is no longer declared is marked as retiring: it stays in
// service, and counts, until it has been drained within the budget. A pool that
// still has instances cannot be removed, because its budget would go with it.
// A stricter budget is always accepted; planned work then waits until it holds.
func Reconfigure(s *model.State, c model.Config) result.Result {
	pools := map[model.PoolName]bool{}
	for _, p := range c.Pools {
		pools[p.Name] = true
	}
	declared := map[model.InstanceID]bool{}
	for _, spec := range c.Instances {
		declared[spec.ID] = true
	}
	if r := checkPools(s, pools); !r.Code.OK() {
		return r
	}
	for id, i := range s.Instances.All() {
		if !declared[id] && !i.Retiring {
			i.Retiring = true
			s.Instances = s.Instances.Set(id, i)
		}
	}
	for _, spec := range c.Instances {
		declare(s, spec)
	}
	return result.Result{Code: result.OK}
}

func checkPools(s *model.State, pools map[model.PoolName]bool) result.Result {
	for _, i := range s.Instances.All() {
		if !pools[i.Pool] {
			return result.New(result.ConfigInvalid, "pool %s still has instance %s; move or remove its instances first", i.Pool, i.ID)
		}
		if i.Home != "" && !pools[i.Home] {
			return result.New(result.ConfigInvalid, "pool %s has lent instance %s to pool %s; move it first", i.Home, i.ID, i.Pool)
		}
	}
	for _, m := range s.Moves.All() {
		if !m.Phase.Ended() && !pools[m.To] {
			return result.New(result.ConfigInvalid, "move %s takes instance %s to pool %s; undo it first", m.ID, m.Instance, m.To)
		}
	}
	return result.Result{Code: result.OK}
}

func declare(s *model.State, spec model.InstanceSpec) {
	i, known := s.Instances.Get(spec.ID)
	if !known {
		// The numbers start at the log index, so that an instance which is removed
		// and declared again never reuses the ID of an operation.
		i = model.Instance{
			ID: spec.ID, Pool: spec.Pool, Phase: model.PhaseActive, PhaseSince: s.Clock, Maintained: s.Clock,
			Generation: uint64(s.Index), OperationSeq: uint64(s.Index),
		}
	}
	before := i
	i.Domain, i.Capacity, i.Retiring = spec.Domain, spec.Capacity, false
	if !known || i != before {
		s.Instances = s.Instances.Set(spec.ID, i)
	}
}
