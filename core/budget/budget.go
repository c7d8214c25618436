// Package budget counts the available instances of pools and checks the counts
// against the pools' availability budgets. Commands use the checks to decide,
// queries use them to explain a decision.
package budget

import (
	"math"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Usage holds the instance counts that the budget of one pool is checked
// against. Every unavailable instance counts, whether its outage is planned or
// not. An arriving instance counts for no pool: it has left its source pool, and
// its destination pool does not rely on it yet.
type Usage struct {
	Pool      model.Pool
	Members   int
	Available int
	// unavailable counts unavailable instances by rack and by data centre. The
	// keys of data centres have an empty rack.
	unavailable map[model.Domain]int
}

// ForPool returns the usage of one pool, or false if the configuration has no such
// pool.
func ForPool(s model.State, pool model.PoolName) (*Usage, bool) {
	p, ok := FindPool(s, pool)
	if !ok {
		return nil, false
	}
	u := &Usage{Pool: p}
	for _, i := range s.Instances.All() {
		if i.Pool == pool {
			u.count(i)
		}
	}
	return u, true
}

// ForState returns the usage of every pool of the configuration in force, in one
// pass over the instances.
func ForState(s model.State) map[model.PoolName]*Usage {
	return ForConfig(s.Config, s.Instances.Values())
}

// ForConfig returns the usage of every pool of the configuration, in one pass over
// the instances. It returns an empty map for a nil configuration.
func ForConfig(c *model.Config, instances []model.Instance) map[model.PoolName]*Usage {
	all := map[model.PoolName]*Usage{}
	if c == nil {
		return all
	}
	for _, p := range c.Pools {
		all[p.Name] = &Usage{Pool: p}
	}
	for _, i := range instances {
		if u, ok := all[i.Pool]; ok {
			u.count(i)
		}
	}
	return all
}

func (u *Usage) count(i model.Instance) {
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
	u.unavailable[dataCenterOf(d)]++
}

func dataCenterOf(d model.Domain) model.Domain {
	return model.Domain{Region: d.Region, DataCenter: d.DataCenter}
}

// MarkUnavailable counts an available instance as unavailable. The reconciler calls
// it for each instance that it proposes to take out of service within one decision.
func (u *Usage) MarkUnavailable(i model.Instance) {
	u.Available--
	u.addUnavailable(i.Domain)
}

// MinAvailable returns the number of members that must stay available.
func (u *Usage) MinAvailable() int { return minAvailable(u.Pool.Budget, u.Members) }

// Headroom returns how many more members may become unavailable. It does not
// consider the limits per rack and data centre, and it is negative while fewer
// members are available than the budget requires.
func (u *Usage) Headroom() int { return u.Available - u.MinAvailable() }

// CheckOutage reports whether the available instance may be taken out of service.
// It returns BudgetExceeded or DomainLimit if it may not.
func (u *Usage) CheckOutage(i model.Instance) result.Result {
	if u.Headroom() < 1 {
		return result.New(result.BudgetExceeded, "pool %s has %d of %d instances available and must keep %d",
			u.Pool.Name, u.Available, u.Members, u.MinAvailable())
	}
	b := u.Pool.Budget
	if n := u.unavailable[i.Domain]; b.MaxPerRack > 0 && n+1 > b.MaxPerRack {
		return result.New(result.DomainLimit, "pool %s has %d instances unavailable in rack %s, the limit is %d",
			u.Pool.Name, n, i.Domain.Rack, b.MaxPerRack)
	}
	if n := u.unavailable[dataCenterOf(i.Domain)]; b.MaxPerDataCenter > 0 && n+1 > b.MaxPerDataCenter {
		return result.New(result.DomainLimit, "pool %s has %d instances unavailable in data centre %s, the limit is %d",
			u.Pool.Name, n, i.Domain.DataCenter, b.MaxPerDataCenter)
	}
	return result.Result{Code: result.OK}
}

// CheckContinue reports whether planned work may continue on an instance that is
// already out of service. It returns BudgetExceeded while faults leave fewer
// instances available than the budget requires.
func (u *Usage) CheckContinue() result.Result {
	if u.Headroom() < 0 {
		return result.New(result.BudgetExceeded, "pool %s has %d of %d instances available and must keep %d",
			u.Pool.Name, u.Available, u.Members, u.MinAvailable())
	}
	return result.Result{Code: result.OK}
}

// CheckRemoveMember reports whether an unavailable member may leave the pool
// permanently. It returns BudgetExceeded if the remaining members would not satisfy
// the budget.
func (u *Usage) CheckRemoveMember() result.Result {
	if after := minAvailable(u.Pool.Budget, u.Members-1); u.Available < after {
		return result.New(result.BudgetExceeded, "pool %s would have %d of %d instances available and must keep %d",
			u.Pool.Name, u.Available, u.Members-1, after)
	}
	return result.Result{Code: result.OK}
}

// CheckAddMember reports whether one more available member may join the pool. It
// returns BudgetExceeded if the budget would not be satisfied then and the headroom
// would be lower than now.
func (u *Usage) CheckAddMember() result.Result {
	after := u.Available + 1 - minAvailable(u.Pool.Budget, u.Members+1)
	if after < 0 && after < u.Headroom() {
		return result.New(result.BudgetExceeded, "pool %s would have %d of %d instances available and must keep %d",
			u.Pool.Name, u.Available+1, u.Members+1, minAvailable(u.Pool.Budget, u.Members+1))
	}
	return result.Result{Code: result.OK}
}

// MemberRaisesHeadroom reports whether one more available member would raise the
// headroom. It would not if one more member would also have to stay available, as
// under a limit on the number of unavailable members.
func (u *Usage) MemberRaisesHeadroom() bool {
	return minAvailable(u.Pool.Budget, u.Members+1) == minAvailable(u.Pool.Budget, u.Members)
}

// FindPool looks a pool up in the configuration in force. It reports false if
// there is no configuration or no pool of this name.
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

// roundingTolerance absorbs floating-point errors, so that a share such as 0.1
// of 30 is not rounded to the wrong integer.
const roundingTolerance = 1e-9

// minAvailable returns how many of the members must stay available.
func minAvailable(b model.Budget, members int) int {
	n := max(b.MinAvailable, int(math.Ceil(b.MinAvailableShare*float64(members)-roundingTolerance)))
	if b.MaxUnavailable > 0 {
		n = max(n, members-b.MaxUnavailable)
	}
	if b.MaxUnavailableShare > 0 {
		n = max(n, members-int(b.MaxUnavailableShare*float64(members)+roundingTolerance))
	}
	return n
}
