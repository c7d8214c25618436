package result

// Codes of caller requests.
const (
	KeyRequired     Code = 400
	KeyExpired      Code = 401
	KeyInProgress   Code = 402
	KeyMismatch     Code = 403
	ClaimantLost    Code = 404
	NoTarget        Code = 405
	TargetRefused   Code = 406
	TargetTruncated Code = 407
	TargetSilent    Code = 408
	RetryBudget     Code = 409
	EntryStale      Code = 410
	Recorded        Code = 3
	ServiceUnknown  Code = 411
	CallerGone      Code = 412
	BodyTooLong     Code = 413
	AnswerNotKept   Code = 414
)

func init() {
	register(
		Info{Recorded, "recorded", OutcomeDone, 200, 0, "The recorded outcome of an earlier request with the same key."},
		Info{KeyRequired, "key-required", OutcomeNotRun, 400, 40, "A non-idempotent request needs an Idempotency-Key that is a UUIDv7."},
		Info{KeyExpired, "key-expired", OutcomeNotRun, 410, 41, "The key was issued before the retention bound; it is refused and not run."},
		Info{KeyInProgress, "key-in-progress", OutcomeUnknown, 409, 42, "A request with the same key is running."},
		Info{KeyMismatch, "key-mismatch", OutcomeNotRun, 422, 43, "The key was used for a different request."},
		Info{ClaimantLost, "claimant-lost", OutcomeUnknown, 504, 44, "The entry instance that sent the request was lost; the outcome is unknown."},
		Info{NoTarget, "no-target", OutcomeNotRun, 503, 45, "No target of the service can take the request."},
		Info{TargetRefused, "target-refused", OutcomeNotRun, 502, 46, "The target did not accept the connection; nothing was sent."},
		Info{TargetTruncated, "target-truncated", OutcomeUnknown, 502, 47, "The answer of the target ended early and is not passed on."},
		Info{TargetSilent, "target-silent", OutcomeUnknown, 504, 48, "The target accepted the request and did not answer in time."},
		Info{RetryBudget, "retry-budget", OutcomeNotRun, 503, 49, "The retry budget is used up."},
		Info{EntryStale, "entry-stale", OutcomeNotRun, 503, 50, "The entry instance has lost touch with the control state."},
		Info{ServiceUnknown, "service-unknown", OutcomeNotRun, 404, 51, "The configuration in force has no such service."},
		Info{CallerGone, "caller-gone", OutcomeUnknown, 499, 52, "The caller closed its connection before the answer."},
		Info{BodyTooLong, "body-too-long", OutcomeNotRun, 413, 53, "The body of the request is longer than 1 MiB."},
		Info{AnswerNotKept, "answer-not-kept", OutcomeDone, 409, 54, "An earlier request with the same key was done; its answer was too long to be recorded."},
	)
}
