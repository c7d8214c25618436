package command

import (
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// RequestRetention is how long the result of an operator's command is kept, counted from the
// issue time of its request ID. A resend within this time gets the first result; a request ID
// issued earlier is refused.
const RequestRetention = time.Hour

// MaxClockSkew is how far the issue time of a request ID may be ahead of the replicated clock.
const MaxClockSkew = 5 * time.Minute

// previousResult returns the result of a request that was applied before, or the refusal of a
// request whose ID is invalid, too old or was used for another command. It reports false for a new request.
func previousResult(s model.State, env model.Envelope) (result.Result, bool) {
	issued, ok := model.IssuedAt(env.RequestID)
	if !ok {
		return result.New(result.InvalidInput, "request ID %q is not a UUIDv7", env.RequestID), true
	}
	if issued < s.Clock.Add(-RequestRetention) {
		return result.New(result.Expired, "request ID was issued more than %s ago", RequestRetention), true
	}
	if issued > s.Clock.Add(MaxClockSkew) {
		return result.New(result.InvalidInput, "request ID was issued more than %s in the future", MaxClockSkew), true
	}
	rec, seen := s.Requests.Get(env.RequestID)
	if !seen {
		return result.Result{}, false
	}
	if rec.Fingerprint != env.Fingerprint {
		return result.New(result.Exists, "request ID was used for another command"), true
	}
	return rec.Result, true
}

// storeResult stores the result of a request and drops the results that are older than
// RequestRetention. Request IDs are UUIDv7, so the table is in the order of issue times.
func storeResult(s model.State, env model.Envelope, r result.Result) model.State {
	s.Requests = s.Requests.Set(env.RequestID, model.RequestRecord{ID: env.RequestID, Result: r, Fingerprint: env.Fingerprint})
	bound := s.Clock.Add(-RequestRetention)
	for id := range s.Requests.All() {
		if issued, _ := model.IssuedAt(id); issued >= bound {
			break
		}
		s.Requests = s.Requests.Delete(id)
	}
	return s
}
