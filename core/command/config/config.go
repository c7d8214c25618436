// Package config validates configurations, accepts those that were made from the revision in
// force, and reverts to earlier revisions.
package config

import (
	"fmt"
	"strings"

	"lacewingturn.example/core/command/fleet"
	"lacewingturn.example/core/command/job"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
)

// HistoryLimit is the maximum number of accepted configurations that are kept; the oldest are
// dropped first.
const HistoryLimit = 100

// Apply handles AcceptConfig and RevertConfig.
func Apply(s *model.State, env model.Envelope) (result.Result, bool) {
	switch c := env.Command.(type) {
	case model.AcceptConfig:
		return accept(s, env, c.Base, c.Config), true
	case model.RevertConfig:
		return revert(s, env, c), true
	}
	return result.Result{}, false
}

func revert(s *model.State, env model.Envelope, c model.RevertConfig) result.Result {
	old, ok := s.History.Get(c.To)
	if !ok {
		return result.New(result.NotFound, "revision %d is not in the history of the last %d", c.To, HistoryLimit)
	}
	return accept(s, env, c.Base, *old.Config)
}

func accept(s *model.State, env model.Envelope, base model.Revision, c model.Config) result.Result {
	if base != s.Revision {
		return conflict(s, c)
	}
	if problems := Validate(c); len(problems) > 0 {
		return result.New(result.ConfigInvalid, "%s", describe(problems))
	}
	if env.Rules != model.FirstRules {
		if r := job.CheckPools(*s, c); !r.Code.OK() {
			return r
		}
	}
	if r := fleet.Reconfigure(s, c); !r.Code.OK() {
		return r
	}
	s.Revision++
	s.Config = &c
	s.History = s.History.Set(s.Revision, model.ConfigRecord{
		Revision: s.Revision, Base: base, Actor: env.Actor, RequestID: env.RequestID, AcceptedAt: env.Time,
		Digest: query.Digest(c), Config: &c,
	})
	trimHistory(s)
	return result.Result{Code: result.Accepted, Revision: uint64(s.Revision)}
}

// maxDescribed is the number of problems that a refusal lists. The result is stored for
// resends, so its size must be bounded.
const maxDescribed = 20

func describe(problems []Problem) string {
	var lines []string
	for i, p := range problems {
		if i == maxDescribed {
			lines = append(lines, fmt.Sprintf("and %d more", len(problems)-maxDescribed))
			break
		}
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "; ")
}

// maxDifference is the number of differences that a conflict lists; it bounds the size of the
// stored result too.
const maxDifference = 100

// conflict refuses a configuration made from an earlier revision. The result names the revision
// in force, its actor and how the refused configuration differs from it.
func conflict(s *model.State, c model.Config) result.Result {
	current, _ := s.History.Get(s.Revision)
	r := result.New(result.Conflicting, "revision %d by %q is in force", s.Revision, current.Actor)
	r.Conflict = &result.Conflict{Revision: uint64(s.Revision), Actor: current.Actor}
	if s.Config != nil {
		r.Conflict.Difference = query.DiffConfig(*s.Config, c)
		if n := len(r.Conflict.Difference); n > maxDifference {
			r.Conflict.Difference = append(r.Conflict.Difference[:maxDifference:maxDifference], fmt.Sprintf("and %d more", n-maxDifference))
		}
	}
	return r
}

func trimHistory(s *model.State) {
	for rev := range s.History.All() {
		if s.History.Len() <= HistoryLimit {
			return
		}
		s.History = s.History.Delete(rev)
	}
}
