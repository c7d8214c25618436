// Package member applies the commands that change the membership of entry
// instances, targets and replicas in the control state.
package member

import (
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/core/table"
)

// Apply applies a membership command. It reports false for any other command.
func Apply(s *model.State, env model.Envelope) (result.Result, bool) {
	switch c := env.Command.(type) {
	case model.JoinEntry:
		return joinEntry(s, env, c), true
	case model.RemoveEntry:
		return removeEntry(s, c), true
	case model.AnnounceTarget:
		return announceTarget(s, env, c.Target), true
	case model.RemoveTarget:
		return removeTarget(s, c), true
	case model.SetReplicas:
		s.Replicas = table.FromValues(c.Replicas, func(m model.ReplicaMember) model.ReplicaID { return m.ID })
		return result.Result{Code: result.OK}, true
	}
	return result.Result{}, false
}

// joinEntry records an entry instance under a new epoch. An earlier incarnation
// with the same ID is replaced, and its claims then count as lost.
func joinEntry(s *model.State, env model.Envelope, c model.JoinEntry) result.Result {
	if c.ID == "" || c.Address == "" {
		return result.New(result.InvalidInput, "an entry instance needs an ID and an address")
	}
	s.Entries = s.Entries.Set(c.ID, model.EntryMember{
		ID: c.ID, Address: c.Address, Domain: c.Domain, JoinedAt: env.Time, Epoch: uint64(s.Index),
	})
	return result.Result{Code: result.OK, Revision: uint64(s.Index)}
}

// removeEntry removes one incarnation of an entry instance. A removal that was
// proposed for another epoch has no effect.
func removeEntry(s *model.State, c model.RemoveEntry) result.Result {
	m, ok := s.Entries.Get(c.ID)
	if !ok || m.Epoch != c.Epoch {
		return result.Result{Code: result.Unchanged}
	}
	s.Entries = s.Entries.Delete(c.ID)
	return result.Result{Code: result.OK}
}

// announceTarget records an announcement of a target. It refuses announcements of
// an earlier generation, and within one generation a leaving target cannot become
// ready again.
func announceTarget(s *model.State, env model.Envelope, t model.Target) result.Result {
	if t.ID == "" || t.Address == "" || t.Service == "" || t.Phase == 0 {
		return result.New(result.InvalidInput, "a target needs an ID, an address, a service and a phase")
	}
	old, known := s.Targets.Get(t.ID)
	if known && t.Generation < old.Generation {
		return result.New(result.StaleToken, "target %s announced generation %d before", t.ID, old.Generation)
	}
	if known && t.Generation == old.Generation && old.Phase == model.TargetLeaving && t.Phase != model.TargetLeaving {
		return result.New(result.StaleToken, "target %s is leaving", t.ID)
	}
	t.Since = env.Time
	if known && old.Phase == t.Phase {
		t.Since = old.Since
	}
	if known && old == t {
		return result.Result{Code: result.Unchanged}
	}
	s.Targets = s.Targets.Set(t.ID, t)
	return result.Result{Code: result.OK}
}

// removeTarget removes a target unless a later generation has announced itself.
func removeTarget(s *model.State, c model.RemoveTarget) result.Result {
	t, ok := s.Targets.Get(c.ID)
	if !ok || t.Generation > c.Generation {
		return result.Result{Code: result.Unchanged}
	}
	s.Targets = s.Targets.Delete(c.ID)
	return result.Result{Code: result.OK}
}
