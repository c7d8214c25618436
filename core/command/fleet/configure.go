package fleet

import (
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Reconfigure updates the instances to an accepted configuration. New instances are
// added. The pool of a known instance does not change; only a move changes it. An
// instance that is no longer declared is marked as retiring: it stays in service,
// and counts for its pool, until it has been drained within the budget. The result
// is ConfigInvalid if a removed pool still has, has lent or is about to get an
// instance, because its budget would be removed with it. A stricter budget is always
// accepted; planned work then waits until the budget is satisfied.
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
		applySpec(s, spec)
	}
	return result.Result{Code: result.OK}
}

// checkPools reports whether every pool that an instance or move refers to stays in
// the configuration.
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

// applySpec adds a declared instance, or updates the domain and capacity of a known
// one and ends its retirement.
func applySpec(s *model.State, spec model.InstanceSpec) {
	i, known := s.Instances.Get(spec.ID)
	if !known {
		// Generations and operation numbers start at the log index. An instance that
		// is removed and declared again thus never reuses an operation ID.
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
