package result

// Codes of caller requests. Their meanings are registered below.
const (
	KeyRequired        Code = 400
	KeyExpired         Code = 401
	KeyInProgress      Code = 402
	KeyMismatch        Code = 403
	ClaimantLost       Code = 404
	NoTarget           Code = 405
	TargetRefused      Code = 406
	TargetTruncated    Code = 407
	TargetTimeout      Code = 408
	RetryBudget        Code = 409
	EntryStale         Code = 410
	Recorded           Code = 3
	ServiceUnknown     Code = 411
	CallerDisconnected Code = 412
	BodyTooLarge       Code = 413
	AnswerNotKept      Code = 414
)

func init() {
	register(
		Info{Recorded, "recorded", OutcomeDone, 200, 0, "The response is the recorded outcome of an earlier request with the same key."},
		Info{KeyRequired, "key-required", OutcomeNotRun, 400, 40, "A non-idempotent request needs an Idempotency-Key header with a UUIDv7."},
		Info{KeyExpired, "key-expired", OutcomeNotRun, 410, 41, "The key is older than the retention period; the request was refused and did not run."},
		Info{KeyInProgress, "key-in-progress", OutcomeUnknown, 409, 42, "An earlier request with the same key is still in progress."},
		Info{KeyMismatch, "key-mismatch", OutcomeNotRun, 422, 43, "The key was already used for a different request."},
		Info{ClaimantLost, "claimant-lost", OutcomeUnknown, 504, 44, "The entry instance that sent the request to the target was lost; the outcome is unknown."},
		Info{NoTarget, "no-target", OutcomeNotRun, 503, 45, "No target of the service is available for the request."},
		Info{TargetRefused, "target-refused", OutcomeNotRun, 502, 46, "The target did not accept a connection; nothing was sent."},
		Info{TargetTruncated, "target-truncated", OutcomeUnknown, 502, 47, "The response of the target was truncated and is not forwarded."},
		Info{TargetTimeout, "target-silent", OutcomeUnknown, 504, 48, "The target accepted the request but did not respond before the deadline."},
		Info{RetryBudget, "retry-budget", OutcomeNotRun, 503, 49, "The retry budget is exhausted."},
		Info{EntryStale, "entry-stale", OutcomeNotRun, 503, 50, "The entry instance's copy of the control state is out of date, because it has lost contact with the control replicas."},
		Info{ServiceUnknown, "service-unknown", OutcomeNotRun, 404, 51, "The configuration in force does not declare the service."},
		Info{CallerDisconnected, "caller-gone", OutcomeUnknown, 499, 52, "The caller closed its connection before the response."},
		Info{BodyTooLarge, "body-too-long", OutcomeNotRun, 413, 53, "The request body is larger than 1 MiB."},
		Info{AnswerNotKept, "answer-not-kept", OutcomeDone, 409, 54, "An earlier request with the same key was completed; its response was too large to be recorded."},
	)
}
