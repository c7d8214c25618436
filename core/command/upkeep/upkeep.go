// Package upkeep applies the commands that record operators' maintenance orders
// and the progress of their execution.
package upkeep

import (
	"slices"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Apply applies OrderUpkeep, BeginUpkeep and RecordOrders. It reports false for
// any other command.
func Apply(s *model.State, env model.Envelope) (result.Result, bool) {
	switch c := env.Command.(type) {
	case model.OrderUpkeep:
		return order(s, c.Upkeep), true
	case model.BeginUpkeep:
		return begin(s, c), true
	case model.RecordOrders:
		for _, id := range c.Instances {
			s.Orders = s.Orders.Set(id, model.InstanceOrder{Instance: id, Term: s.Term, At: s.Clock})
		}
		return result.Result{Code: result.OK}, true
	}
	return result.Result{}, false
}

// order records a new order. An order whose number is already recorded is
// acknowledged without effect, so that resends are idempotent.
func order(s *model.State, u model.Upkeep) result.Result {
	if s.Upkeeps.Has(u.Number) {
		return result.Result{Code: result.Unchanged}
	}
	if len(u.Instances) == 0 || u.Limit < 1 {
		return result.New(result.InvalidInput, "an upkeep needs instances and a limit of at least 1")
	}
	u.OrderedAt = s.Clock
	s.Upkeeps = s.Upkeeps.Set(u.Number, u)
	return result.Result{Code: result.Accepted}
}

// begin marks an instance of an order as begun.
func begin(s *model.State, c model.BeginUpkeep) result.Result {
	u, ok := s.Upkeeps.Get(c.Number)
	if !ok {
		return result.New(result.NotFound, "no upkeep %d", c.Number)
	}
	u.Instances = slices.Clone(u.Instances)
	for i := range u.Instances {
		if u.Instances[i].ID == c.Instance {
			u.Instances[i].Begun = true
		}
	}
	s.Upkeeps = s.Upkeeps.Set(u.Number, u)
	return result.Result{Code: result.OK}
}
