// Package claim decides which attempt of a non-idempotent request may be sent. At most one
// attempt of a key is granted unless the previous attempt is certain not to have run.
package claim

import (
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// MaxClockSkew is how far in the future the issue time of a key may be.
const MaxClockSkew = time.Minute

// DefaultRetention and DefaultMaxClaims apply before a configuration is accepted. A claim takes
// 650 bytes of memory, and a replica may take 256 MB in all.
const (
	DefaultRetention = 15 * time.Minute
	DefaultMaxClaims = 100_000
)

// Apply handles ClaimRequest and SettleClaim.
func Apply(s *model.State, env model.Envelope) (result.Result, bool) {
	switch c := env.Command.(type) {
	case model.ClaimRequest:
		expire(s)
		return request(s, c), true
	case model.SettleClaim:
		return settle(s, c), true
	}
	return result.Result{}, false
}

// limits returns how long claims are kept and the maximum number of claims.
func limits(s *model.State) (time.Duration, int) {
	if s.Config == nil {
		return DefaultRetention, DefaultMaxClaims
	}
	return s.Config.Limits.KeyRetention, s.Config.Limits.MaxClaims
}

// request grants the claim of a key to the attempt in the command, unless another attempt may have
// run.
func request(s *model.State, c model.ClaimRequest) result.Result {
	issued, ok := model.IssuedAt(c.Key)
	if !ok {
		return result.New(result.KeyRequired, "key %q is not a UUIDv7", c.Key)
	}
	keep, limit := limits(s)
	if issued < s.Clock.Add(-keep) || issued < s.ClaimFloor {
		return result.New(result.KeyExpired, "key was issued more than %s ago", keep)
	}
	if issued > s.Clock.Add(MaxClockSkew) {
		return result.New(result.KeyRequired, "key was issued more than %s in the future", MaxClockSkew)
	}
	key := model.MakeClaimKey(c.Key, c.Caller)
	if old, seen := s.Claims.Get(key); seen {
		if r, final := existingClaimResult(s, old, c); final {
			return r
		}
	} else if s.Claims.Len() >= limit {
		return result.New(result.Overloaded, "%d claims are held, the limit", limit)
	}
	if m, ok := s.Entries.Get(c.Entry); !ok || m.Epoch != c.EntryEpoch {
		return result.New(result.EntryStale, "entry instance %s epoch %d is not a member", c.Entry, c.EntryEpoch)
	}
	s.Claims = s.Claims.Set(key, model.Claim{
		Key: key, Fingerprint: c.Fingerprint, Entry: c.Entry, EntryEpoch: c.EntryEpoch,
		Attempt: c.Attempt, Phase: model.ClaimPending, IssuedAt: issued,
	})
	return result.Result{Code: result.Accepted, Revision: uint64(s.Index)}
}

// existingClaimResult returns the result of a claim request whose key already has a claim. It
// reports false if the key may be claimed again because the previous attempt is certain not to
// have run.
func existingClaimResult(s *model.State, old model.Claim, c model.ClaimRequest) (result.Result, bool) {
	if old.Fingerprint != c.Fingerprint {
		return result.New(result.KeyMismatch, "key was used with another method, path or body"), true
	}
	switch {
	case old.Phase == model.ClaimNotRun && old.Attempt != c.Attempt:
		return result.Result{}, false
	case old.Phase == model.ClaimNotRun:
		return result.New(result.KeyMismatch, "attempt was settled as not run"), true
	case old.Phase == model.ClaimDone:
		return result.Result{
			Code: result.Recorded, Value: string(old.Key), Revision: uint64(s.Index), Body: old.Body,
			Status: old.Status, ContentType: old.ContentType, BodyOmitted: old.BodyOmitted,
		}, true
	case old.Phase == model.ClaimPending && old.Attempt == c.Attempt:
		return result.Result{Code: result.Accepted, Revision: uint64(s.Index)}, true
	case old.Phase == model.ClaimPending && claimantIsMember(s, old):
		return result.New(result.KeyInProgress, "entry instance %s is running it", old.Entry), true
	}
	return result.New(result.ClaimantLost, "entry instance %s was lost before it recorded an outcome", old.Entry), true
}

func claimantIsMember(s *model.State, c model.Claim) bool {
	m, ok := s.Entries.Get(c.Entry)
	return ok && m.Epoch == c.EntryEpoch
}

// settle records the outcome of the attempt that holds the claim. A settled claim does not
// change.
func settle(s *model.State, c model.SettleClaim) result.Result {
	key := model.MakeClaimKey(c.Key, c.Caller)
	old, ok := s.Claims.Get(key)
	if !ok {
		return result.New(result.NotFound, "no claim for key %s", c.Key)
	}
	if old.Attempt != c.Attempt {
		return result.New(result.StaleToken, "another attempt holds the claim")
	}
	if old.Phase != model.ClaimPending {
		return result.Result{Code: result.Unchanged}
	}
	old.Phase, old.Status, old.ContentType = c.Phase, c.Status, c.ContentType
	old.Body, old.BodyOmitted = c.Body, c.BodyOmitted
	if len(old.Body) > model.MaxRecordedBody {
		old.Body, old.BodyOmitted = nil, true
	}
	s.Claims = s.Claims.Set(key, old)
	return result.Result{Code: result.OK}
}

// expire drops claims that are older than the retention. The table is in the order of issue times,
// because claim keys start with a UUIDv7. ClaimFloor ensures that the keys of dropped claims are
// still refused if a later configuration has a longer retention.
func expire(s *model.State) {
	keep, _ := limits(s)
	bound := s.Clock.Add(-keep)
	for key, c := range s.Claims.All() {
		if c.IssuedAt >= bound {
			return
		}
		s.Claims = s.Claims.Delete(key)
		s.ClaimFloor = max(s.ClaimFloor, c.IssuedAt+1)
	}
}
