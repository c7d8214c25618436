// Package budget counts the availability of pools and judges it by their
// budgets. Commands use it to decide, queries to explain.
package budget

import (
	"math"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Usage counts what the budget of one pool depends on. Every unavailable
// instance counts, whether it was planned or not. An arriving instance counts
// for no pool: its source gave it up and its destination does not rely on it yet.
type Usage struct {
	Pool      model.Pool
	Members   int
	Available int
	// unavailable counts instances by rack and, with an empty rack, by data centre.
	unavailable map[model.Domain]int
}

// Of counts the pool. It reports false if the configuration has no such pool.
func Of(s model.State, pool model.PoolName) (*Usage, bool) {
	p, ok := FindPool(s, pool)
	if !ok {
		return nil, false
	}
	u := &Usage{Pool: p}
	for _, i := range s.Instances.All() {
		if i.Pool == pool {
			u.add(i)
		}
	}
	return u, true
}

// All counts all pools in one pass.
func All(s model.State) map[model.PoolName]*Usage { return Count(s.Config, s.Instances.Values()) }

// Count counts all pools of the configuration, which may be nil.
func Count(c *model.Config, instances []model.Instance) map[model.PoolName]*Usage {
	all := map[model.PoolName]*Usage{}
	if c == nil {
		return all
	}
	for _, p := range c.Pools {
		all[p.Name] = &Usage{Pool: p}
	}
	for _, i := range instances {
		if u, ok := all[i.Pool]; ok {
			u.add(i)
		}
	}
	return all
}

func (u *Usage) add(i model.Instance) {
	if i.Phase == model.PhaseArriving {
		return
	}
	u.Members++
	if i.Available() {
		u.Available++
		return
	}
	u.addUnavailable(i.Domain)
}

func (u *Usage) addUnavailable(d model.Domain) {
	if u.unavailable == nil {
		u.unavailable = map[model.Domain]int{}
	}
	u.unavailable[d]++
	u.unavailable[center(d)]++
}

func center(d model.Domain) model.Domain {
	return model.Domain{Region: d.Region, DataCenter: d.DataCenter}
}

// Take counts an available instance as unavailable.
func (u *Usage) Take(i model.Instance) {
	u.Available--
	u.addUnavailable(i.Domain)
}

// Least is how many members must stay available.
func (u *Usage) Least() int { return least(u.Pool.Budget, u.Members) }

// Headroom is how many more members may become unavailable by the numbers of
// the whole pool; it is negative when the budget is broken.
func (u *Usage) Headroom() int { return u.Available - u.Least() }

// CheckTake reports whether the available instance may be taken out of service.
func (u *Usage) CheckTake(i model.Instance) result.Result {
	if u.Headroom() < 1 {
		return result.New(result.BudgetExceeded, "pool %s has %d of %d instances available and must keep %d",
			u.Pool.Name, u.Available, u.Members, u.Least())
	}
	b := u.Pool.Budget
	if n := u.unavailable[i.Domain]; b.MaxPerRack > 0 && n+1 > b.MaxPerRack {
		return result.New(result.DomainLimit, "pool %s has %d instances unavailable in rack %s, the limit is %d",
			u.Pool.Name, n, i.Domain.Rack, b.MaxPerRack)
	}
	if n := u.unavailable[center(i.Domain)]; b.MaxPerDataCenter > 0 && n+1 > b.MaxPerDataCenter {
		return result.New(result.DomainLimit, "pool %s has %d instances unavailable in data centre %s, the limit is %d",
			u.Pool.Name, n, i.Domain.DataCenter, b.MaxPerDataCenter)
	}
	return result.Result{Code: result.OK}
}

// CheckHeld reports whether planned work may go on with an instance that is
// already out of service. It may not while faults leave less than the budget.
func (u *Usage) CheckHeld() result.Result {
	if u.Headroom() < 0 {
		return result.New(result.BudgetExceeded, "pool %s has %d of %d instances available and must keep %d",
			u.Pool.Name, u.Available, u.Members, u.Least())
	}
	return result.Result{Code: result.OK}
}

// CheckGive reports whether the pool may lose an unavailable member for good.
func (u *Usage) CheckGive() result.Result {
	if after := least(u.Pool.Budget, u.Members-1); u.Available < after {
		return result.New(result.BudgetExceeded, "pool %s would have %d of %d instances available and must keep %d",
			u.Pool.Name, u.Available, u.Members-1, after)
	}
	return result.Result{Code: result.OK}
}

// CheckGain reports whether one more available member leaves the budget no worse.
func (u *Usage) CheckGain() result.Result {
	after := u.Available + 1 - least(u.Pool.Budget, u.Members+1)
	if after < 0 && after < u.Headroom() {
		return result.New(result.BudgetExceeded, "pool %s would have %d of %d instances available and must keep %d",
			u.Pool.Name, u.Available+1, u.Members+1, least(u.Pool.Budget, u.Members+1))
	}
	return result.Result{Code: result.OK}
}

// Helped reports whether one more member would raise the headroom. It would not
// where the budget limits the number of unavailable members.
func (u *Usage) Helped() bool {
	return least(u.Pool.Budget, u.Members+1) == least(u.Pool.Budget, u.Members)
}

// FindPool returns the pool of the configuration in force.
func FindPool(s model.State, name model.PoolName) (model.Pool, bool) {
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

// roundingSlack keeps shares such as 0.1 of 30 from being rounded the wrong way.
const roundingSlack = 1e-9

// least returns how many of the members must stay available.
func least(b model.Budget, members int) int {
	n := max(b.MinAvailable, int(math.Ceil(b.MinAvailableShare*float64(members)-roundingSlack)))
	if b.MaxUnavailable > 0 {
		n = max(n, members-b.MaxUnavailable)
	}
	if b.MaxUnavailableShare > 0 {
		n = max(n, members-int(b.MaxUnavailableShare*float64(members)+roundingSlack))
	}
	return n
}
