package model

import "time"

// SubmitJob queues a job. It is rejected if no instance is large enough for it.
type SubmitJob struct{ Job Job }

// CancelJob requests the cancellation of a job.
type CancelJob struct{ ID JobID }

// CancelJobs requests the cancellation of several jobs with one log entry.
type CancelJobs struct{ IDs []JobID }

// PlaceJob grants a job a lease on a worker. Free capacity is checked again when
// the command is applied.
type PlaceJob struct {
	ID     JobID
	Worker InstanceID
	// Borrow allows the team to exceed its quota while there is idle capacity.
	Borrow bool
}

// JobStarted records a worker's report that it has started a job. Token is the
// fencing token of the lease.
type JobStarted struct {
	ID    JobID
	Token uint64
}

// JobReport is a worker's report of a job's resource usage. It renews the lease.
type JobReport struct {
	ID         JobID
	Token      uint64
	Used       Resources
	Checkpoint string
}

// JobEnded records a worker's report that a job has ended. Run is the run time of
// this attempt.
type JobEnded struct {
	ID        JobID
	Token     uint64
	Succeeded bool
	Cancelled bool
	Run       time.Duration
	Used      Resources
	Reason    string
}

// ReportWork is one report of a worker about all of its jobs. It renews the lease
// of every job that it lists.
type ReportWork struct {
	Worker InstanceID
	// Held lists the fencing tokens of the jobs that the worker still holds and
	// whose status is unchanged.
	Held    []uint64
	Started []JobStarted
	Usage   []JobReport
	Ended   []JobEnded
}

// ExpireLease returns a job to the queue after its lease has expired.
type ExpireLease struct {
	ID    JobID
	Token uint64
}

// ControlJob requests that the worker checkpoint, throttle or stop a job, or with
// ActionNone run it at full speed again.
type ControlJob struct {
	ID     JobID
	Token  uint64
	Action JobAction
	For    JobID // the job that capacity is freed for
	Reason string
}

// JobAction is a preemption method. The values are in order of increasing cost.
type JobAction uint8

// Actions on a running job.
const (
	ActionNone       JobAction = iota
	ActionCheckpoint           // save a checkpoint, end, and resume later
	ActionThrottle             // continue on half of the processors
	ActionStop                 // end at once; progress since the last checkpoint is lost
)

// String returns the action as shown in reasons and log lines.
func (a JobAction) String() string {
	return [...]string{"none", "checkpoint", "throttle", "stop"}[min(int(a), 3)]
}

func (SubmitJob) isCommand()   {}
func (CancelJob) isCommand()   {}
func (CancelJobs) isCommand()  {}
func (PlaceJob) isCommand()    {}
func (JobStarted) isCommand()  {}
func (JobReport) isCommand()   {}
func (JobEnded) isCommand()    {}
func (ReportWork) isCommand()  {}
func (ExpireLease) isCommand() {}
func (ControlJob) isCommand()  {}
