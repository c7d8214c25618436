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
	// DeclaredRun is the operator's estimate; 0 if not given.
	DeclaredRun time.Duration
	// Class groups jobs whose sizes and run times are learned together.
	Class       string
	Phase       JobPhase
	SubmittedAt Timestamp
	StartedAt   Timestamp
	EndedAt     Timestamp
	Lease       Lease
	// Used is the last reported usage.
	Used Resources
	// Attempts counts leases granted; Failures counts those that count against the job.
	Attempts   int
	Failures   int
	Reason     string
	Checkpoint string // name of the last checkpoint; empty if none
	Throttled  bool
	Cancelling bool
	// Action is what the worker was asked to do to make room; ActionNone if nothing.
	Action      JobAction
	ActionSince Timestamp // when Action was asked for
	YieldsTo    JobID     // the job that Action makes room for
	// Sequence is the log index of the submission; it orders the queue and is
	// kept when the job returns to the queue.
	Sequence uint64
	// Reserved is what the lease takes of the worker: at least the learned size
	// at the time of the grant and at least the reported usage.
	Reserved Resources
	// Borrowed is set while the job runs beyond the quota of its team.
	Borrowed bool
	// FailedOn holds the last workers on which the job failed, then empty IDs. It
	// is placed elsewhere as long as there is another.
	FailedOn FailedWorkers
}

// FailedWorkers is a small set of workers. It is an array so that jobs can be
// compared and copied as values.
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

// With returns the set with w; the oldest one gives way if the set is full.
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

// Without returns the set without w.
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

// Asked is what a worker is asked to do about a job that it holds.
type Asked uint8

// Requests to a worker, in the order in which one replaces another.
const (
	AskedRun        Asked = iota // run at full speed
	AskedCheckpoint              // save progress, end, and continue later
	AskedThrottle                // continue with half of the processors
	AskedStop                    // end without delay
	AskedCancel                  // end; the job is not wanted any more
)

func (a Asked) String() string {
	return [...]string{"run", "checkpoint", "throttle", "stop", "cancel"}[min(int(a), 4)]
}

// Asked returns what the worker is asked to do about the job.
func (j Job) Asked() Asked {
	if j.Cancelling {
		return AskedCancel
	}
	return Asked(j.Action)
}

// ClassKey names the class whose estimates apply to the job.
func (j Job) ClassKey() string {
	if j.Class != "" {
		return j.Class
	}
	return string(j.Team) + "/" + string(j.Pool)
}

// Lease binds a job to a worker until it expires or is renewed.
type Lease struct {
	Worker    InstanceID
	Token     uint64 // fencing token; the log index of the grant, so it only grows
	ExpiresAt Timestamp
}

// JobPhase is the condition of a job.
type JobPhase uint8

// Phases of a job. The last four are final.
const (
	JobQueued JobPhase = iota + 1
	JobLeased
	JobRunning
	JobDone
	JobFailed
	JobCancelled
	JobRefused
)

func (p JobPhase) String() string {
	return [...]string{"none", "queued", "leased", "running", "done", "failed", "cancelled", "refused"}[min(int(p), 7)]
}

// Final reports whether the outcome is recorded and cannot change.
func (p JobPhase) Final() bool { return p >= JobDone }

// ClassEstimate is what reports taught about a class of jobs.
type ClassEstimate struct {
	Class   string
	Samples int
	Used    Resources     // high estimate of usage
	Run     time.Duration // typical run time
	RunHigh time.Duration // high estimate of the run time
}

// WorkerRecord is the recent history of a worker, kept to quarantine one that
// fails everything it starts.
type WorkerRecord struct {
	Worker InstanceID
	// Streak lists the jobs of the failures since the last success, oldest first.
	Streak []JobID
	// Generation is that of the instance during the streak.
	Generation uint64
}

// WorkerChange is the log index of the last change of what a worker is asked to
// run: a lease granted or ended, or another request about a job.
type WorkerChange struct {
	Worker InstanceID
	Index  Index
}

// WorkerLoad is what the leases on a worker take of it. It is derived from the jobs.
type WorkerLoad struct {
	Worker   InstanceID
	Reserved Resources
	Jobs     int
}

// TeamLoad is what the jobs of a team use and wait for. It is derived from the jobs.
type TeamLoad struct {
	Team     TeamName
	Reserved Resources
	Active   int
	Queued   int
}
