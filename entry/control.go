package entry

import (
	"context"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
)

// Control is what an entry instance needs of the control replicas.
type Control interface {
	// Propose commits commands in order through the leader and returns their
	// results. A result code of NotLeader, NoQuorum or Overloaded means that the
	// command was certainly not appended; Unknown means that it may be committed.
	Propose(ctx context.Context, commands []model.Envelope) ([]result.Result, error)
}

// Assignments is the query half of the control replicas that workers need.
type Assignments interface {
	// Assignments returns the jobs of the worker as soon as they have changed
	// since the index, or unchanged after wait.
	Assignments(ctx context.Context, worker model.InstanceID, since model.Index, wait time.Duration) (query.Assigned, error)
}

// Messages that the control link posts to the entry machine.
type (
	// TrafficChanged carries a newer traffic view.
	TrafficChanged struct{ View query.Traffic }
	// LeaseRenewed extends the membership of this entry instance until Until,
	// once a view of at least Index has been applied.
	LeaseRenewed struct {
		Until time.Time
		Index model.Index
		Epoch uint64
	}
	// ControlContact reports that the traffic view was known to be current at At.
	ControlContact struct{ At time.Time }
)

// StaleAfter is the longest time without contact to the control state before
// an entry instance reports itself not ready. It equals the membership lease.
const StaleAfter = 2500 * time.Millisecond
