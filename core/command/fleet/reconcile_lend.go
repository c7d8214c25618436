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
	// MinLendDelay is the time that a shortage must last before an instance is lent,
	// and a surplus before it is returned, if the weight of moves is 0. Most restarts
	// are shorter and thus cause no move.
	MinLendDelay = time.Minute
	// LendDelayPerWeight is added to MinLendDelay in proportion to the weight of
	// moves.
	LendDelayPerWeight = 9 * time.Minute
)

func itoa(n model.Index) string { return strconv.FormatUint(uint64(n), 10) }

// lendDelay returns the time for which no instance of a pool may have changed its
// phase before an instance is lent to the pool or returned from it.
func (p *planner) lendDelay() time.Duration {
	return MinLendDelay + time.Duration(p.s.Config.Weights.Moves*float64(LendDelayPerWeight))
}

// lendSpares moves instances of spare pools to pools that have been short of
// instances for the lend delay, and returns them when they are no longer needed.
func (p *planner) lendSpares() {
	changed, inbound := p.poolChanges()
	waiting, lent := p.waitingPools(), p.lent()
	for _, pool := range p.s.Config.Pools {
		u := p.usage[pool.Name]
		if u == nil || pool.Spare {
			continue
		}
		needed := 0
		if waiting[pool.Name] {
			needed = 1
		}
		if missing := needed - u.Headroom() - inbound[pool.Name]; missing > 0 {
			if u.MemberRaisesHeadroom() && p.due(changed[pool.Name].Add(p.lendDelay())) {
				p.lendTo(u, missing)
			}
			continue
		}
		p.returnLent(lent[pool.Name], u.Headroom()-needed, changed[pool.Name])
	}
}

// poolChanges returns when an instance of each pool last changed its phase, and how
// many moves to each pool are in progress.
func (p *planner) poolChanges() (map[model.PoolName]model.Timestamp, map[model.PoolName]int) {
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

// waitingPools returns the pools in which a running wave has pending instances and
// holds no instance. No instance that the wave returns can raise the headroom of such
// a pool, so the pool needs a headroom of one for the wave to proceed.
func (p *planner) waitingPools() map[model.PoolName]bool {
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
			out[pool] = out[pool] || countRunning(p.s, w, pool) == 0
		}
	}
	return out
}

// lent returns the active instances in each pool that were lent by another pool.
func (p *planner) lent() map[model.PoolName][]model.Instance {
	out := map[model.PoolName][]model.Instance{}
	for _, i := range p.all {
		if i.Home != "" && i.Home != i.Pool && i.Phase == model.PhaseActive && !i.Retiring {
			out[i.Pool] = append(out[i.Pool], i)
		}
	}
	return out
}

// lendTo proposes up to count moves to the pool. It prefers spare instances in data
// centres where the pool has the fewest active instances, then those with little
// work.
func (p *planner) lendTo(u *budget.Usage, count int) {
	byDataCenter := map[string]int{}
	var spare []model.Instance
	for _, i := range p.all {
		if i.Phase != model.PhaseActive || i.Retiring || i.Operation != "" {
			continue
		}
		if i.Pool == u.Pool.Name {
			byDataCenter[i.Domain.DataCenter]++
		}
		if s := p.usage[i.Pool]; s != nil && s.Pool.Spare {
			spare = append(spare, i)
		}
	}
	slices.SortStableFunc(spare, func(a, b model.Instance) int {
		return cmp.Or(cmp.Compare(byDataCenter[a.Domain.DataCenter], byDataCenter[b.Domain.DataCenter]), cmp.Compare(p.load(a), p.load(b)))
	})
	for _, i := range spare {
		if count == 0 {
			return
		}
		if !p.reserveOutage(i) {
			continue
		}
		count--
		p.propose(model.StartMove{
			ID:       model.MoveID("lend-" + string(i.ID) + "-" + itoa(p.s.Index)),
			Instance: i.ID, From: i.Pool, To: u.Pool.Name, Lend: true,
		})
	}
}

// returnLent proposes the return of one lent instance that the pool has not needed
// for the lend delay.
func (p *planner) returnLent(lent []model.Instance, headroom int, changed model.Timestamp) {
	if len(lent) == 0 || headroom < 1 || !p.due(changed.Add(p.lendDelay())) {
		return
	}
	i := lent[0]
	if p.usage[i.Home] == nil || !p.reserveOutage(i) {
		return
	}
	p.propose(model.StartMove{
		ID:       model.MoveID("return-" + string(i.ID) + "-" + itoa(p.s.Index)),
		Instance: i.ID, From: i.Pool, To: i.Home,
	})
}
