package result

// Codes of jobs, leases and workloads. Their meanings are registered below.
const (
	JobImpossible  Code = 300
	StaleToken     Code = 301
	QuotaExceeded  Code = 302
	JobFinished    Code = 303
	NoCapacity     Code = 304
	WorkerExcluded Code = 305
	NoCatalog      Code = 306
	UnknownKey     Code = 307
	WrongAccount   Code = 308
)

func init() {
	register(
		Info{JobImpossible, "job-impossible", OutcomeNotRun, 422, 30, "No instance is large enough for the job; the detail names the resource."},
		Info{StaleToken, "stale-token", OutcomeNotRun, 409, 31, "The fencing token does not belong to the current lease of the job."},
		Info{QuotaExceeded, "quota-exceeded", OutcomeNotRun, 429, 32, "The team has used up its quota and there is no idle capacity to borrow."},
		Info{JobFinished, "job-finished", OutcomeNotRun, 409, 33, "The job has already ended; its outcome is recorded."},
		Info{NoCapacity, "no-capacity", OutcomeNotRun, 503, 34, "No instance currently has enough free capacity."},
		Info{WorkerExcluded, "worker-quarantined", OutcomeNotRun, 409, 35, "The worker is quarantined and gets no jobs."},
		Info{NoCatalog, "no-catalog", OutcomeNotRun, 503, 36, "No catalog of queues has been published yet; the request did not run. Retry it later."},
		Info{UnknownKey, "unknown-key", OutcomeNotRun, 401, 37, "The call carries no key, or one that belongs to no client account of the configuration in force. The request did not run."},
		Info{WrongAccount, "wrong-account", OutcomeNotRun, 403, 38, "The key belongs to a client account other than the one that submitted the workload. Nothing was changed."},
	)
}
