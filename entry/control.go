package entry

import (
	"context"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
)

// Control is the command interface of the control replicas that entry instances
// use.
type Control interface {
	// Propose commits commands in order through the leader and returns one result
	// for each. A result code of NotLeader, NoQuorum or Overloaded means that the
	// command was certainly not appended to the log; Unknown means that it may be
	// committed, and so does an error.
	Propose(ctx context.Context, commands []model.Envelope) ([]result.Result, error)
}

// Assignments is the query interface of the control replicas for the polls of
// workers.
type Assignments interface {
	// Assignments returns the jobs of the worker as soon as they have changed since
	// the log index. If they have not changed within wait, it returns without jobs.
	Assignments(ctx context.Context, worker model.InstanceID, since model.Index, wait time.Duration) (query.AssignmentPoll, error)
}

// Messages that the control link sends to command.Machine.
type (
	// TrafficChanged carries a newer traffic view.
	TrafficChanged struct{ View query.Traffic }
	// LeaseRenewed extends the membership of this entry instance until Until. It
	// takes effect once a traffic view of at least Index has been applied. Epoch
	// identifies the membership; it changes when the instance joins again.
	LeaseRenewed struct {
		Until time.Time
		Index model.Index
		Epoch uint64
	}
	// ViewConfirmed reports that the traffic view was current at the time At.
	ViewConfirmed struct{ At time.Time }
)

// StaleAfter is the longest time without contact with the control state before
// an entry instance reports itself not ready. It equals the membership lease.
const StaleAfter = 2500 * time.Millisecond
