package command

import (
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// RequestRetention is how long the result of an operator's command is kept.
// A resend within it gets the first result; one issued before it is refused.
const RequestRetention = time.Hour

// MaxClockSkew is how far in the future a request ID may have been issued.
const MaxClockSkew = 5 * time.Minute

// repeated returns the result of a request that was seen before or must be refused.
func repeated(s model.State, env model.Envelope) (result.Result, bool) {
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

// remember stores the result and drops results past the retention bound.
func remember(s model.State, env model.Envelope, r result.Result) model.State {
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
