// Package reconcile runs the level-triggered reconciler on the leader. It
// collects what is seen of the fleet, calls command.Reconcile when the control
// state changes or a deadline passes, commits the commands that it returns, and
// calls the platform on worker goroutines that post their completions back.
package reconcile

import (
	"context"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

const (
	// MaxCalls is the number of platform calls in progress. What does not fit
	// is decided again when a call ends.
	MaxCalls = 16
	// ReportDelay gathers reports, so that the reconciler runs at most twice a
	// second on their account.
	ReportDelay = 500 * time.Millisecond
	// JobDelay gathers changes of jobs. Urgent work has to start within 1.2 s and
	// takes up to four passes; one pass takes 3 ms with 720 workers.
	JobDelay = 100 * time.Millisecond
	// RenewalDelay gathers changes of jobs that free nothing and need nothing,
	// above all renewed leases: 13 a second with 720 workers.
	RenewalDelay = time.Second
	// RetryDelay is the wait after commands that failed or changed nothing.
	RetryDelay = time.Second
	// ProposeTimeout bounds the commit of one batch of commands.
	ProposeTimeout = 5 * time.Second
)

// PlatformCommands begins operations on the platform.
type PlatformCommands interface {
	// Start may be repeated with the same operation ID without a second effect.
	Start(ctx context.Context, a model.PlatformAction) error
}

// PlatformQueries asks the platform.
type PlatformQueries interface {
	Operation(ctx context.Context, id model.OperationID) (model.OperationReport, error)
	Instance(ctx context.Context, id model.InstanceID) (up bool, err error)
}

// EntryReport is what one entry instance sees of the fleet.
type EntryReport struct {
	Entry model.EntryID
	// OutOfService lists instances that take no new work.
	OutOfService []InstanceReport
	// Silent names the instances in service whose target, owned by the entry
	// instance, has sent no heartbeat lately. All others that it owns a target
	// of count as seen.
	Silent []model.InstanceID
}

// InstanceReport is what one entry instance sees of an instance.
type InstanceReport struct {
	Instance model.InstanceID
	// InFlight counts the requests that the entry instance has in flight on it.
	InFlight int
	// Heard is set if the entry instance has the latest heartbeat of a target
	// there; it listed Running requests and came HeardAge ago.
	Heard    bool
	Running  int
	HeardAge time.Duration
}

// proposed is posted when a batch of commands has been committed or has failed.
type proposed struct {
	term     model.Term
	commands []model.Command
	results  []result.Result
	err      error
}

// called is posted when a platform call has ended.
type called struct {
	term   model.Term
	action model.PlatformAction
	report model.OperationReport
	up     bool
	err    error
}
