package schedule

import (
	"time"

	"lacewingturn.example/core/model"
)

// Report is what a worker says about itself in one heartbeat.
type Report struct {
	Worker model.WorkerID
	// Name is the part of the worker's ID that a later incarnation may reuse.
	Name      string
	StartedAt model.Timestamp
	Address   string
	Instance  model.InstanceID
	Pool      model.PoolName
	Domain    model.Domain
	Labels    []string
	Capacity  model.Resources
	// Sequence rises with each heartbeat of the incarnation.
	Sequence int64
	// Draining is set once the worker is leaving.
	Draining bool
	Running  []Running
	Ended    []Ended
}

// Running is a run that the worker has.
type Running struct {
	Run        model.RunRef
	Checkpoint string
	// Percent is the progress, 0 to 100. A lasting task is at work at 100.
	Percent int
	// Recent is a measurement of the last half second: the tail of the response
	// times in milliseconds for a serving task, else the processor time in use
	// in thousandths.
	Recent int64
}

// Ended is a run that has ended on the worker.
type Ended struct {
	// Position numbers the ends of an incarnation from 1.
	Position int64
	Run      model.RunRef
	Outcome  model.RunOutcome
	// Refused is set if the worker did not start the run.
	Refused    bool
	Checkpoint string
}

// Orders is the answer to a report.
type Orders struct {
	// Lease counts from the sending of the report.
	Lease time.Duration
	// EndsTo is the position up to which ends are recorded.
	EndsTo int64
	// FencingToken rises with each leader.
	FencingToken model.Term
	Start        []StartOrder
	Stop         []model.RunRef
	Pace         []PaceOrder
	// Next is when the worker reports again if nothing ends.
	Next time.Duration
}

// StartOrder starts a run.
type StartOrder struct {
	Run        model.RunRef
	Payload    string
	Checkpoint string
	Ticket     string
}

// PaceOrder lets a run work at a share of its speed.
type PaceOrder struct {
	Run     model.RunRef
	Percent int
}
