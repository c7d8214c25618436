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
	// ReportDelay gathers reports and job changes, so that the reconciler runs
	// at most twice a second on their account.
	ReportDelay = 500 * time.Millisecond
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
	// InFlight counts the requests that the entry instance has in flight on each
	// instance; instances without any are left out.
	InFlight map[model.InstanceID]int
	// Running is what targets said in heartbeats since the last report, by their
	// instance. An instance without running requests is listed with 0.
	Running map[model.InstanceID]int
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
