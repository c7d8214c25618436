package fleet

import (
	"context"

	"lacewingturn.example/core/model"
)

// Platform is the part of the users' platform that the leader uses. An error of type
// RefusedError means that the platform did not carry out the call; after any other
// error the call may have been carried out. The token of a call is its fencing token,
// which is the term of the leader.
type Platform interface {
	// Instances lists all instances that the platform knows.
	Instances(ctx context.Context) (InstanceList, error)
	// Move moves an instance to another pool. All runs on it end.
	Move(ctx context.Context, id model.InstanceID, to model.PoolName, token model.Term) error
	// Maintain begins the upkeep of an instance. All runs on it end.
	Maintain(ctx context.Context, id model.InstanceID, number model.UpkeepNumber, token model.Term) error
}

// InstanceList is the platform's list of instances.
type InstanceList struct {
	Instances []ListedInstance
	// Skipped is the number of entries that could not be read, SkipReason the error of
	// one of them. While it is not 0, instances may be missing from the list.
	Skipped    int
	SkipReason error
}

// ListedInstance is an instance in the platform's list.
type ListedInstance struct {
	ID       model.InstanceID
	Pool     model.PoolName
	Up       bool // neither being moved or maintained nor down
	Down     bool // in the platform's state down
	Capacity model.Resources
}

// RefusedError is the error of a call that the platform certainly did not carry out.
type RefusedError struct {
	Reason string // as the platform states it
	// UnknownInstance is set if the platform does not know the instance.
	UnknownInstance bool
}

// Error returns the reason that the platform states.
func (r RefusedError) Error() string { return "the platform refused the call: " + r.Reason }
