package result

// Codes of jobs and leases.
const (
	JobImpossible  Code = 300
	StaleToken     Code = 301
	QuotaExceeded  Code = 302
	JobFinished    Code = 303
	NoCapacity     Code = 304
	WorkerExcluded Code = 305
	NoCatalog      Code = 306
)

func init() {
	register(
		Info{JobImpossible, "job-impossible", OutcomeNotRun, 422, 30, "No instance can ever hold the job; the detail names the resource."},
		Info{StaleToken, "stale-token", OutcomeNotRun, 409, 31, "The fencing token is older than the current lease."},
		Info{QuotaExceeded, "quota-exceeded", OutcomeNotRun, 429, 32, "The team has used its quota and no idle capacity can be lent."},
		Info{JobFinished, "job-finished", OutcomeNotRun, 409, 33, "The job has a recorded outcome already."},
		Info{NoCapacity, "no-capacity", OutcomeNotRun, 503, 34, "No instance has enough free capacity now."},
		Info{WorkerExcluded, "worker-quarantined", OutcomeNotRun, 409, 35, "The worker is quarantined and gets no job."},
		Info{NoCatalog, "no-catalog", OutcomeNotRun, 503, 36, "No catalog of queues is published yet; the request did not run. Repeat it."},
	)
}
