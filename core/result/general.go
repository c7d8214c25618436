package result

// General and replication codes. Their meanings are registered below.
const (
	OK           Code = 0
	Accepted     Code = 1
	Unchanged    Code = 2
	InvalidInput Code = 100
	NotFound     Code = 101
	Exists       Code = 102
	Conflicting  Code = 103
	Overloaded   Code = 104
	NotLeader    Code = 105
	NoQuorum     Code = 106
	Unknown      Code = 107
	Expired      Code = 108
	Forbidden    Code = 109
	Deadline     Code = 110
	Stopping     Code = 111
	StorageFail  Code = 112
	Internal     Code = 113
)

func init() {
	register(
		Info{OK, "ok", OutcomeDone, 200, 0, "The request was carried out."},
		Info{Accepted, "accepted", OutcomeDone, 200, 0, "The command was committed to a quorum of replicas."},
		Info{Unchanged, "unchanged", OutcomeDone, 200, 0, "The state was already as requested; nothing was changed."},
		Info{InvalidInput, "invalid-input", OutcomeNotRun, 400, 2, "The input is malformed or inconsistent; the detail names the value."},
		Info{NotFound, "not-found", OutcomeNotRun, 404, 3, "The named object does not exist."},
		Info{Exists, "exists", OutcomeNotRun, 409, 4, "An object with the same name and different content exists."},
		Info{Conflicting, "conflict", OutcomeNotRun, 409, 5, "Another change was accepted first; the response names it and the differences."},
		Info{Overloaded, "overloaded", OutcomeNotRun, 503, 6, "A queue is full; retry after the time given in the response."},
		Info{NotLeader, "not-leader", OutcomeNotRun, 503, 7, "This replica is not the leader; the response names the leader if it is known."},
		Info{NoQuorum, "no-quorum", OutcomeNotRun, 503, 8, "No quorum of control replicas is reachable; nothing was changed."},
		Info{Unknown, "unknown", OutcomeUnknown, 504, 9, "The response was lost; the command may or may not have been applied. Resend it with the same request ID."},
		Info{Expired, "expired", OutcomeNotRun, 410, 10, "The request ID is older than the retention period; the request was refused."},
		Info{Forbidden, "forbidden", OutcomeNotRun, 403, 11, "Changes from this address need a verified operator certificate."},
		Info{Deadline, "deadline-exceeded", OutcomeNotRun, 504, 12, "The deadline expired before the work was started."},
		Info{Stopping, "stopping", OutcomeNotRun, 503, 13, "The process is shutting down and accepts no new work."},
		Info{StorageFail, "storage-failed", OutcomeUnknown, 500, 14, "The data folder could not be written or synced; the change may or may not be durable."},
		Info{Internal, "internal", OutcomeUnknown, 500, 15, "An internal error occurred; the log has an event with the cause."},
	)
}
