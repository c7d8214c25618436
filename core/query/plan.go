package query

import (
	"fmt"

	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/table"
)

// PlanView shows what accepting a configuration would change.
type PlanView struct {
	Base    uint64     `json:"base"` // revision in force, to accept against
	Digest  string     `json:"digest"`
	Changes []string   `json:"changes"`
	Pools   []PoolPlan `json:"pools"`
	Reserve Reserve    `json:"reserve"`
	// Moves are needed because the configuration names another pool than the one
	// that an instance is in; accepting does not start them.
	Moves    []PlannedMove `json:"moves"`
	New      []string      `json:"new"`      // instances that are added
	Retiring []string      `json:"retiring"` // instances that are drained and forgotten
	Warnings []string      `json:"warnings"`
}

// PoolPlan is a pool before and after. Instances that move count where the
// configuration puts them.
type PoolPlan struct {
	Pool          string `json:"pool"`
	Members       int    `json:"members"`
	MembersBefore int    `json:"members_before"`
	Keep          int    `json:"keep"` // instances that must stay available
	KeepBefore    int    `json:"keep_before"`
	MayBeOut      int    `json:"may_be_out"` // instances that may be unavailable at once
}

// Reserve is the capacity of the spare pools.
type Reserve struct {
	Instances       int    `json:"instances"`
	InstancesBefore int    `json:"instances_before"`
	Share           string `json:"share"` // of all instances
}

// PlannedMove is a move that brings an instance to its declared pool.
type PlannedMove struct {
	Instance string `json:"instance"`
	From     string `json:"from"`
	To       string `json:"to"`
}

// Plan compares a configuration with what is in force.
func Plan(current ConfigView, next model.Config) PlanView {
	old := model.Config{}
	if current.Config != nil {
		old = *current.Config
	}
	v := PlanView{
		Base: current.Revision, Digest: Digest(next), Changes: orEmpty(DiffConfig(old, next)),
		Pools: poolPlans(old, next), Moves: []PlannedMove{}, New: []string{}, Retiring: []string{}, Warnings: []string{},
	}
	v.Reserve = Reserve{Instances: spares(next), InstancesBefore: spares(old), Share: "0%"}
	if n := len(next.Instances); n > 0 {
		v.Reserve.Share = percent(float64(v.Reserve.Instances) / float64(n))
	}
	v.compareInstances(current.Instances, next)
	return v
}

func (v *PlanView) compareInstances(known []InstancePlace, next model.Config) {
	declared := map[string]model.InstanceSpec{}
	for _, i := range next.Instances {
		declared[string(i.ID)] = i
	}
	pools := map[string]bool{}
	for _, p := range next.Pools {
		pools[string(p.Name)] = true
	}
	seen := map[string]bool{}
	for _, k := range known {
		seen[k.ID] = true
		spec, ok := declared[k.ID]
		switch {
		case !ok:
			v.Retiring = append(v.Retiring, k.ID)
		case string(spec.Pool) != k.Pool && k.Home != string(spec.Pool):
			v.Moves = append(v.Moves, PlannedMove{Instance: k.ID, From: k.Pool, To: string(spec.Pool)})
		}
		if !pools[k.Pool] {
			v.Warnings = append(v.Warnings, fmt.Sprintf("pool %s still has instance %s; it is refused until the instance has moved", k.Pool, k.ID))
		}
	}
	for _, i := range next.Instances {
		if !seen[string(i.ID)] {
			v.New = append(v.New, string(i.ID))
		}
	}
}

func poolPlans(old, next model.Config) []PoolPlan {
	before := usageOf(old)
	after := usageOf(next)
	out := []PoolPlan{}
	for _, p := range next.Pools {
		u := after[p.Name]
		plan := PoolPlan{Pool: string(p.Name), Members: u.Members, Keep: u.MinAvailable(), MayBeOut: u.Members - u.MinAvailable()}
		if b, ok := before[p.Name]; ok {
			plan.MembersBefore, plan.KeepBefore = b.Members, b.MinAvailable()
		}
		out = append(out, plan)
	}
	for _, p := range old.Pools {
		if _, kept := after[p.Name]; !kept {
			out = append(out, PoolPlan{Pool: string(p.Name), MembersBefore: before[p.Name].Members, KeepBefore: before[p.Name].MinAvailable()})
		}
	}
	return out
}

// usageOf counts the pools of a configuration as if every instance was active.
func usageOf(c model.Config) map[model.PoolName]*budget.Usage {
	instances := make([]model.Instance, len(c.Instances))
	for i, spec := range c.Instances {
		instances[i] = model.Instance{ID: spec.ID, Pool: spec.Pool, Domain: spec.Domain, Phase: model.PhaseActive}
	}
	s := model.State{Config: &c, Instances: table.FromValues(instances, func(i model.Instance) model.InstanceID { return i.ID })}
	return budget.ForState(s)
}

func spares(c model.Config) int {
	spare := map[model.PoolName]bool{}
	for _, p := range c.Pools {
		spare[p.Name] = p.Spare
	}
	n := 0
	for _, i := range c.Instances {
		if spare[i.Pool] {
			n++
		}
	}
	return n
}

// orEmpty keeps an empty list from becoming null in JSON.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
