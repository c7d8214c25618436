package model

import "time"

// SubmitJob queues a job, or refuses it when no instance can ever hold it.
type SubmitJob struct{ Job Job }

// CancelJob asks for the end of a job.
type CancelJob struct{ ID JobID }

// CancelJobs asks for the end of many jobs in one step.
type CancelJobs struct{ IDs []JobID }

// PlaceJob grants a lease on a worker. The applier checks free capacity again.
type PlaceJob struct {
	ID     JobID
	Worker InstanceID
	// Borrow allows the team to exceed its quota with idle capacity.
	Borrow bool
}

// JobStarted is reported by the worker.
type JobStarted struct {
	ID    JobID
	Token uint64
}

// JobReport is a usage report; it renews the lease.
type JobReport struct {
	ID         JobID
	Token      uint64
	Used       Resources
	Checkpoint string
}

// JobEnded is reported by the worker.
type JobEnded struct {
	ID        JobID
	Token     uint64
	Succeeded bool
	Cancelled bool
	Run       time.Duration
	Used      Resources
	Reason    string
}

// ReportWork is everything that one worker reports at one time. It renews the
// lease of every job that it names.
type ReportWork struct {
	Worker InstanceID
	// Held lists the tokens of the jobs that the worker still holds and has
	// nothing new to say about.
	Held    []uint64
	Started []JobStarted
	Usage   []JobReport
	Ended   []JobEnded
}

// ExpireLease returns a job to the queue after its lease ran out.
type ExpireLease struct {
	ID    JobID
	Token uint64
}

// ControlJob asks the worker to checkpoint, throttle or stop a job, or with
// ActionNone to run it at full speed again.
type ControlJob struct {
	ID     JobID
	Token  uint64
	Action JobAction
	For    JobID // the job that room is made for
	Reason string
}

// JobAction is a way to make room; the values are in the order of their cost.
type JobAction uint8

// Actions on a running job.
const (
	ActionNone       JobAction = iota
	ActionCheckpoint           // save progress, end, and continue later
	ActionThrottle             // continue with half of the processors
	ActionStop                 // end; progress since the last checkpoint is lost
)

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
