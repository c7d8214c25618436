// Package command applies commands to the replicated state. Apply is the only
// way in which the state changes; every check that spends a budget, a quota or
// a claim is made here, in log order.
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

// area applies the commands of one part of the state. It reports false for
// commands of other parts. It may replace fields of s, which is a copy.
type area func(s *model.State, env model.Envelope) (result.Result, bool)

var areas = []area{config.Apply, claim.Apply, member.Apply, fleet.Apply, job.Apply, catalog.Apply, workload.Apply, upkeep.Apply}

// Apply returns the state after the envelope and the command's result. The
// given state stays valid. It is deterministic: equal inputs give equal outputs
// on every replica.
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

// applyOnce gives a resent operator command the result of the first one.
func applyOnce(s model.State, env model.Envelope) (model.State, result.Result) {
	if env.RequestID == "" {
		return dispatch(s, env)
	}
	if r, seen := repeated(s, env); seen {
		return s, r
	}
	next, r := dispatch(s, env)
	return remember(next, env, r), r
}

func trafficChanged(a, b model.State) bool {
	return a.Revision != b.Revision || !a.Instances.Same(b.Instances) || !a.Targets.Same(b.Targets) || !a.Entries.Same(b.Entries)
}

// dispatch hands the command to its area. A command that is refused changes nothing.
func dispatch(s model.State, env model.Envelope) (model.State, result.Result) {
	next := s
	for _, apply := range areas {
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
