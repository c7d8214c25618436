package fleet

import (
	"context"

	"lacewingturn.example/core/model"
)

// Platform is what the leader uses of the users' platform.
type Platform interface {
	// Instances lists all instances.
	Instances(ctx context.Context) ([]Listed, error)
	// Move moves an instance to another pool; what runs on it ends.
	Move(ctx context.Context, id model.InstanceID, to model.PoolName, token model.Term) error
	// Maintain begins the upkeep of an instance; what runs on it ends.
	Maintain(ctx context.Context, id model.InstanceID, number model.UpkeepNumber, token model.Term) error
}

// Listed is an instance as the platform lists it.
type Listed struct {
	ID       model.InstanceID
	Pool     model.PoolName
	Up       bool // not being moved or maintained, and not down
	Gone     bool // down
	Capacity model.Resources
}

// Refused is an error of a call that the platform certainly did not carry out.
type Refused struct {
	Reason string
	// Unknown is set if the platform does not know the instance.
	Unknown bool
}

func (r Refused) Error() string { return "the platform refused the call: " + r.Reason }
