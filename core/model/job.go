package model

import (
	"slices"
	"time"
)

// Job is a unit of work placed on a worker.
type Job struct {
	ID       JobID
	Team     TeamName
	Pool     PoolName
	Urgent   bool
	Declared Resources
	// DeclaredRun is the run time estimated by the operator; 0 if not given.
	DeclaredRun time.Duration
	// Class groups jobs that share one estimate of size and run time. If it is
	// empty, ClassKey derives a class.
	Class       string
	Phase       JobPhase
	SubmittedAt Timestamp
	StartedAt   Timestamp
	EndedAt     Timestamp
	Lease       Lease
	// Used is the usage that the worker last reported.
	Used Resources
	// Attempts is the number of leases granted, Failures the number of failed
	// attempts that count against the job.
	Attempts   int
	Failures   int
	Reason     string
	Checkpoint string // name of the last checkpoint; empty if none
	Throttled  bool
	Cancelling bool
	// Action is the preemption method requested from the worker; ActionNone if none.
	Action      JobAction
	ActionSince Timestamp // when Action was requested
	YieldsTo    JobID     // the job that Action frees capacity for
	// Sequence is the log index of the submission. It determines the position in
	// the queue and does not change when the job returns to the queue.
	Sequence uint64
	// Reserved is the capacity of the worker that the lease reserves: at least the
	// learned size at the time of the grant, and at least the reported usage.
	Reserved Resources
	// Borrowed is true while the job runs on idle capacity beyond its team's quota.
	Borrowed bool
	// FailedOn lists the last workers on which the job failed, followed by empty
	// IDs. Placement avoids these workers while another one is available.
	FailedOn FailedWorkers
}

// FailedWorkers is a bounded set of workers, oldest first. It is an array so that
// jobs can be compared and copied as values.
type FailedWorkers [3]InstanceID

// Has reports whether w is in the set.
func (f FailedWorkers) Has(w InstanceID) bool { return w != "" && slices.Contains(f[:], w) }

// Len returns the number of workers in the set.
func (f FailedWorkers) Len() int {
	n := 0
	for _, w := range f {
		if w != "" {
			n++
		}
	}
	return n
}

// With returns the set with w added. If the set is full, the oldest worker is
// removed.
func (f FailedWorkers) With(w InstanceID) FailedWorkers {
	if f.Has(w) {
		return f
	}
	if n := f.Len(); n < len(f) {
		f[n] = w
		return f
	}
	copy(f[:], f[1:])
	f[len(f)-1] = w
	return f
}

// Without returns the set with w removed.
func (f FailedWorkers) Without(w InstanceID) FailedWorkers {
	var out FailedWorkers
	for _, other := range f {
		if other != w && other != "" {
			out = out.With(other)
		}
	}
	return out
}

// Active reports whether the job holds a lease.
func (j Job) Active() bool { return j.Phase == JobLeased || j.Phase == JobRunning }

// Asked is an instruction to a worker about a job that it holds.
type Asked uint8

// Instructions to a worker. A later one in this list may replace an earlier one, but
// not the reverse, except that AskedRun ends AskedThrottle.
const (
	AskedRun        Asked = iota // run at full speed
	AskedCheckpoint              // save a checkpoint, end, and resume later
	AskedThrottle                // continue on half of the processors
	AskedStop                    // end at once; progress since the last checkpoint is lost
	AskedCancel                  // end; the job is cancelled
)

// String returns the instruction as sent to workers.
func (a Asked) String() string {
	return [...]string{"run", "checkpoint", "throttle", "stop", "cancel"}[min(int(a), 4)]
}

// Asked returns the current instruction to the worker about the job.
func (j Job) Asked() Asked {
	if j.Cancelling {
		return AskedCancel
	}
	return Asked(j.Action)
}

// ClassKey returns the key of the ClassEstimate that applies to the job: its
// class, or team/pool for a job without one.
func (j Job) ClassKey() string {
	if j.Class != "" {
		return j.Class
	}
	return string(j.Team) + "/" + string(j.Pool)
}

// Lease assigns a job to a worker until it expires. Reports of the worker renew it.
type Lease struct {
	Worker    InstanceID
	Token     uint64 // fencing token: the log index of the grant, so a later lease has a higher one
	ExpiresAt Timestamp
}

// JobPhase is the state of a job.
type JobPhase uint8

// Phases of a job. JobDone and all later ones are final.
const (
	JobQueued    JobPhase = iota + 1 // waits for a worker
	JobLeased                        // assigned to a worker, start not reported yet
	JobRunning                       // the worker has reported the start
	JobDone                          // succeeded
	JobFailed                        // failed and is not retried
	JobCancelled                     // cancelled by an operator
	JobRefused                       // not set at present; refused submissions are not recorded
)

// String returns the phase as shown in views.
func (p JobPhase) String() string {
	return [...]string{"none", "queued", "leased", "running", "done", "failed", "cancelled", "refused"}[min(int(p), 7)]
}

// Final reports whether the job has ended and its outcome cannot change.
func (p JobPhase) Final() bool { return p >= JobDone }

// ClassEstimate is the estimate of size and run time that is learned from the
// reports about the jobs of one class.
type ClassEstimate struct {
	Class   string
	Samples int           // number of ended jobs that the estimate is based on
	Used    Resources     // high estimate of usage
	Run     time.Duration // typical run time
	RunHigh time.Duration // high estimate of the run time
}

// WorkerRecord is the recent failure history of a worker. A worker on which every
// job fails is quarantined.
type WorkerRecord struct {
	Worker InstanceID
	// Streak lists the jobs that failed since the last success, oldest first.
	Streak []JobID
	// Generation is the generation of the instance during the streak.
	Generation uint64
}

// WorkerChange is the log index of the last change of a worker's assignments: a
// lease granted or ended, or a new instruction about a job.
type WorkerChange struct {
	Worker InstanceID
	Index  Index
}

// WorkerLoad is the capacity of a worker that its leases reserve. It is derived
// from the jobs.
type WorkerLoad struct {
	Worker   InstanceID
	Reserved Resources
	Jobs     int
}

// TeamLoad is the capacity reserved by a team's active jobs and the number of its
// active and queued jobs. It is derived from the jobs.
type TeamLoad struct {
	Team     TeamName
	Reserved Resources
	Active   int
	Queued   int
}
