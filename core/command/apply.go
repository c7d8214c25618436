// Package command applies commands to the replicated state. Apply is the only way to change the
// state. It checks each command against budgets, quotas and claims in log order, so that two
// commands cannot use up the same allowance.
package command

import (
	"lacewingturn.example/core/command/catalog"
	"lacewingturn.example/core/command/claim"
	"lacewingturn.example/core/command/config"
	"lacewingturn.example/core/command/fleet"
	"lacewingturn.example/core/command/job"
	"lacewingturn.example/core/command/member"
	"lacewingturn.example/core/command/upkeep"
	"lacewingturn.example/core/command/workload"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// handler applies the commands of one part of the state. It reports false for commands of other
// parts. The state that it gets is a copy, whose fields it may replace.
type handler func(s *model.State, env model.Envelope) (result.Result, bool)

var handlers = []handler{config.Apply, claim.Apply, member.Apply, fleet.Apply, job.Apply, catalog.Apply, workload.Apply, upkeep.Apply}

// Apply returns the state after the command in the envelope, and the result of the command. The
// given state is not modified. Apply is deterministic: equal inputs give equal outputs on every
// replica.
func Apply(s model.State, index model.Index, term model.Term, env model.Envelope) (model.State, result.Result) {
	before := s
	s.Clock = max(s.Clock, env.Time)
	s.Index, s.Term = index, term
	env.Time = s.Clock
	next, r := applyOnce(s, env)
	if trafficChanged(before, next) {
		next.TrafficIndex = index
	}
	return next, r
}

// applyOnce applies a command. A resent operator command is not applied again and gets the
// result of the first one.
func applyOnce(s model.State, env model.Envelope) (model.State, result.Result) {
	if env.RequestID == "" {
		return dispatch(s, env)
	}
	if r, seen := previousResult(s, env); seen {
		return s, r
	}
	next, r := dispatch(s, env)
	return storeResult(next, env, r), r
}

// trafficChanged reports whether a part of the state that entry instances follow has changed.
func trafficChanged(a, b model.State) bool {
	return a.Revision != b.Revision || !a.Instances.Same(b.Instances) || !a.Targets.Same(b.Targets) || !a.Entries.Same(b.Entries)
}

// dispatch passes the command to its handler. A refused command changes nothing.
func dispatch(s model.State, env model.Envelope) (model.State, result.Result) {
	next := s
	for _, apply := range handlers {
		if r, ok := apply(&next, env); ok {
			if !r.Code.OK() {
				return s, r
			}
			return next, r
		}
	}
	if _, ok := env.Command.(model.Noop); ok {
		return next, result.Result{Code: result.Unchanged}
	}
	return s, result.New(result.InvalidInput, "no handler for command %T", env.Command)
}
