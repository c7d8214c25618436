package fleet

import (
	"math"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// CheckBudget reports whether the pool can spare the instance: all instances
// that are unavailable for any reason count, planned or not.
func CheckBudget(s model.State, pool model.PoolName, taken model.Instance) result.Result {
	p, ok := findPool(s, pool)
	if !ok {
		return result.New(result.NotFound, "no pool %q", pool)
	}
	members, available, rack, center := usage(s, pool, taken)
	if least := least(p.Budget, members); available-1 < least {
		return result.New(result.BudgetExceeded, "pool %s has %d of %d instances available and must keep %d", pool, available, members, least)
	}
	if b := p.Budget; b.MaxPerRack > 0 && rack+1 > b.MaxPerRack {
		return result.New(result.DomainLimit, "pool %s has %d unavailable in rack %s, the limit", pool, rack, taken.Domain.Rack)
	}
	if b := p.Budget; b.MaxPerDataCenter > 0 && center+1 > b.MaxPerDataCenter {
		return result.New(result.DomainLimit, "pool %s has %d unavailable in data centre %s, the limit", pool, center, taken.Domain.DataCenter)
	}
	return result.Result{Code: result.OK}
}

func findPool(s model.State, name model.PoolName) (model.Pool, bool) {
	if s.Config == nil {
		return model.Pool{}, false
	}
	for _, p := range s.Config.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return model.Pool{}, false
}

// least returns how many of the members must stay available.
func least(b model.Budget, members int) int {
	n := max(b.MinAvailable, int(math.Ceil(b.MinAvailableShare*float64(members)-1e-9)))
	if b.MaxUnavailable > 0 {
		n = max(n, members-b.MaxUnavailable)
	}
	if b.MaxUnavailableShare > 0 {
		n = max(n, members-int(b.MaxUnavailableShare*float64(members)+1e-9))
	}
	return n
}

// usage counts the pool's members, its available ones, and the unavailable ones
// in the rack and in the data centre of the instance to be taken.
func usage(s model.State, pool model.PoolName, taken model.Instance) (members, available, rack, center int) {
	for _, i := range s.Instances.All() {
		if i.Pool != pool {
			continue
		}
		members++
		if i.Available() {
			available++
			continue
		}
		if i.Domain.DataCenter != taken.Domain.DataCenter {
			continue
		}
		center++
		if i.Domain.Rack == taken.Domain.Rack {
			rack++
		}
	}
	return members, available, rack, center
}
