package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/model"
)

const (
	// MinLendHold is how long a shortage lasts before an instance is lent when
	// moves have no weight. Most restarts are over within it.
	MinLendHold = time.Minute
	// LendHoldByWeight is added in proportion to the weight of moves.
	LendHoldByWeight = 9 * time.Minute
)

func itoa(n model.Index) string { return strconv.FormatUint(uint64(n), 10) }

func (p *plan) lendHold() time.Duration {
	return MinLendHold + time.Duration(p.s.Config.Weights.Moves*float64(LendHoldByWeight))
}

// lend moves instances of spare pools to pools that have been short of their
// budget for some time, and gives them back when they are no longer needed.
func (p *plan) lend() {
	changed, inbound := p.changes()
	waiting, lent := p.waitingPools(), p.lent()
	for _, pool := range p.s.Config.Pools {
		u := p.usage[pool.Name]
		if u == nil || pool.Spare {
			continue
		}
		wanted := 0
		if waiting[pool.Name] {
			wanted = 1
		}
		if missing := wanted - u.Headroom() - inbound[pool.Name]; missing > 0 {
			if u.Helped() && p.at(changed[pool.Name].Add(p.lendHold())) {
				p.lendTo(u, missing)
			}
			continue
		}
		p.giveBack(lent[pool.Name], u.Headroom()-wanted, changed[pool.Name])
	}
}

// changes returns when each pool last changed and how many instances are on
// the way to it.
func (p *plan) changes() (map[model.PoolName]model.Timestamp, map[model.PoolName]int) {
	changed := map[model.PoolName]model.Timestamp{}
	for _, i := range p.all {
		changed[i.Pool] = max(changed[i.Pool], i.PhaseSince)
	}
	inbound := map[model.PoolName]int{}
	for _, m := range p.s.Moves.All() {
		if !m.Phase.Ended() {
			inbound[m.To]++
		}
	}
	return changed, inbound
}

// waitingPools lists the pools of running waves that have instances left to
// take and hold none that could come back by itself. They need a headroom of one.
func (p *plan) waitingPools() map[model.PoolName]bool {
	out := map[model.PoolName]bool{}
	for _, w := range p.s.Waves.All() {
		if w.Phase != model.WaveRunning {
			continue
		}
		pending := map[model.PoolName]bool{}
		for _, id := range w.Pending {
			if i, ok := p.s.Instances.Get(id); ok && i.Phase == model.PhaseActive && slices.Contains(w.Pools, i.Pool) {
				pending[i.Pool] = true
			}
		}
		for pool := range pending {
			out[pool] = out[pool] || running(p.s, w, pool) == 0
		}
	}
	return out
}

// lent lists the instances in service in each pool that belong to another one.
func (p *plan) lent() map[model.PoolName][]model.Instance {
	out := map[model.PoolName][]model.Instance{}
	for _, i := range p.all {
		if i.Home != "" && i.Home != i.Pool && i.Phase == model.PhaseActive && !i.Retiring {
			out[i.Pool] = append(out[i.Pool], i)
		}
	}
	return out
}

// lendTo starts up to count moves to the pool, from the data centre where the
// pool has least.
func (p *plan) lendTo(u *budget.Usage, count int) {
	here := map[string]int{}
	var spare []model.Instance
	for _, i := range p.all {
		if i.Phase != model.PhaseActive || i.Retiring || i.Operation != "" {
			continue
		}
		if i.Pool == u.Pool.Name {
			here[i.Domain.DataCenter]++
		}
		if s := p.usage[i.Pool]; s != nil && s.Pool.Spare {
			spare = append(spare, i)
		}
	}
	slices.SortStableFunc(spare, func(a, b model.Instance) int {
		return cmp.Or(cmp.Compare(here[a.Domain.DataCenter], here[b.Domain.DataCenter]), cmp.Compare(p.load(a), p.load(b)))
	})
	for _, i := range spare {
		if count == 0 {
			return
		}
		if !p.mayTake(i) {
			continue
		}
		count--
		p.propose(model.StartMove{
			ID:       model.MoveID("lend-" + string(i.ID) + "-" + itoa(p.s.Index)),
			Instance: i.ID, From: i.Pool, To: u.Pool.Name, Lend: true,
		})
	}
}

// giveBack returns one lent instance that the pool has not needed for some time.
func (p *plan) giveBack(lent []model.Instance, headroom int, changed model.Timestamp) {
	if len(lent) == 0 || headroom < 1 || !p.at(changed.Add(p.lendHold())) {
		return
	}
	i := lent[0]
	if p.usage[i.Home] == nil || !p.mayTake(i) {
		return
	}
	p.propose(model.StartMove{
		ID:       model.MoveID("return-" + string(i.ID) + "-" + itoa(p.s.Index)),
		Instance: i.ID, From: i.Pool, To: i.Home,
	})
}
