package model

import "time"

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
	Attempts    int
	Failures    int
	Reason      string
	Checkpoint  string // name of the last checkpoint; empty if none
	Throttled   bool
	Cancelling  bool
	ActionSince Timestamp // when the last checkpoint, throttle or stop was asked for
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
