package result

// General and replication codes.
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
		Info{Unchanged, "unchanged", OutcomeDone, 200, 0, "The state already was as requested; nothing changed."},
		Info{InvalidInput, "invalid-input", OutcomeNotRun, 400, 2, "The input is malformed or contradicts itself; the detail names the value."},
		Info{NotFound, "not-found", OutcomeNotRun, 404, 3, "The named object does not exist."},
		Info{Exists, "exists", OutcomeNotRun, 409, 4, "An object of that name exists with other content."},
		Info{Conflicting, "conflict", OutcomeNotRun, 409, 5, "Another change was accepted first; the answer names it and the difference."},
		Info{Overloaded, "overloaded", OutcomeNotRun, 503, 6, "A queue is full; retry after the stated time."},
		Info{NotLeader, "not-leader", OutcomeNotRun, 503, 7, "This replica is not the leader; the answer names the leader if it is known."},
		Info{NoQuorum, "no-quorum", OutcomeNotRun, 503, 8, "No quorum of control replicas can be reached; nothing was changed."},
		Info{Unknown, "unknown", OutcomeUnknown, 504, 9, "The answer was lost; the command may or may not have been applied. Resend it with the same ID."},
		Info{Expired, "expired", OutcomeNotRun, 410, 10, "The request ID was issued before the retention bound and is refused."},
		Info{Forbidden, "forbidden", OutcomeNotRun, 403, 11, "The operator is not authenticated for changes from this address."},
		Info{Deadline, "deadline-exceeded", OutcomeNotRun, 504, 12, "The deadline passed before the work was started."},
		Info{Stopping, "stopping", OutcomeNotRun, 503, 13, "The process is shutting down and takes no new work."},
		Info{StorageFail, "storage-failed", OutcomeUnknown, 500, 14, "The data folder could not be written or synced."},
		Info{Internal, "internal", OutcomeUnknown, 500, 15, "An internal error; the log has the event."},
	)
}
