// Package reconcile runs the level-triggered reconciler on the leader. It collects
// observations of the fleet, calls command.Reconcile when the control state changes
// or a deadline passes, commits the commands that it returns, and calls the platform
// on goroutines that post their results back to the loop.
package reconcile

import (
	"context"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

const (
	// MaxCalls is the largest number of concurrent platform calls. Further actions
	// are dropped and decided again when a call ends.
	MaxCalls = 16
	// ReportDelay batches reports, so that they cause at most two decisions a second.
	ReportDelay = 500 * time.Millisecond
	// JobDelay batches changes of jobs. Urgent work has to start within 1.2 s and
	// takes up to four decisions; one decision takes 3 ms with 720 workers.
	JobDelay = 100 * time.Millisecond
	// RenewalDelay batches changes of jobs that neither free nor need resources,
	// mostly lease renewals: 13 a second with 720 workers.
	RenewalDelay = time.Second
	// RetryDelay is the wait after a proposal that failed or changed nothing.
	RetryDelay = time.Second
	// ProposeTimeout is the time limit for the commit of one batch of commands.
	ProposeTimeout = 5 * time.Second
)

// PlatformCommands starts operations on the platform.
type PlatformCommands interface {
	// Start starts an operation. It is idempotent by operation ID. After an error the
	// operation may have started; its state is queried.
	Start(ctx context.Context, a model.PlatformAction) error
}

// PlatformQueries reads the state of operations and instances from the platform. An
// error means that the platform could not be reached or gave no valid answer.
type PlatformQueries interface {
	// Operation returns the state of an operation; absent if the platform does not
	// know it.
	Operation(ctx context.Context, id model.OperationID) (model.OperationReport, error)
	// Instance reports whether an instance is up.
	Instance(ctx context.Context, id model.InstanceID) (up bool, err error)
}

// EntryReport contains what one entry instance observes of the fleet.
type EntryReport struct {
	Entry model.EntryID
	// OutOfService lists the instances that take no new work.
	OutOfService []InstanceReport
	// Silent lists the instances in service with a target that the entry instance
	// owns and that has missed several heartbeats in a row. All other instances in
	// service with a target that the entry instance owns count as seen.
	Silent []model.InstanceID
}

// InstanceReport contains what one entry instance observes of an instance that is out
// of service.
type InstanceReport struct {
	Instance model.InstanceID
	// InFlight is the number of requests that the entry instance has in flight to
	// targets on the instance.
	InFlight int
	// HasHeartbeat is set if the entry instance has received the latest heartbeat of
	// a target on the instance.
	HasHeartbeat bool
	// Running is the number of running requests that the latest heartbeat listed. It
	// is meaningful only if HasHeartbeat is set.
	Running int
	// HeartbeatAge is the time since the latest heartbeat arrived. It is meaningful
	// only if HasHeartbeat is set.
	HeartbeatAge time.Duration
}

// proposed is the message with the results of a proposal, or its error.
type proposed struct {
	term     model.Term
	commands []model.Command
	results  []result.Result
	err      error
}

// called is the message with the result of a platform call, or its error.
type called struct {
	term   model.Term
	action model.PlatformAction
	report model.OperationReport
	up     bool
	err    error
}
