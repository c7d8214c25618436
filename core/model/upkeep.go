package model

import "time"

// UpkeepNumber identifies an upkeep order. The operator chooses it.
type UpkeepNumber int64

// Upkeep is an operator's order to maintain a list of instances within Duration
// from OrderedAt.
type Upkeep struct {
	Number    UpkeepNumber
	Instances []UpkeepInstance
	// Limit is the maximum number of instances that may be down for this order at
	// the same time.
	Limit     int
	Duration  time.Duration
	OrderedAt Timestamp
}

// UpkeepInstance is the progress of one instance of an upkeep order.
type UpkeepInstance struct {
	ID InstanceID
	// Begun is true once the platform has confirmed the start of the maintenance, or
	// the instance no longer exists.
	Begun bool
}

// Complete reports whether the maintenance of all instances has begun.
func (u Upkeep) Complete() bool {
	for _, i := range u.Instances {
		if !i.Begun {
			return false
		}
	}
	return true
}

// InstanceOrder is the last order for an instance that a leader sent to the
// platform. It is recorded before the call, so a new leader can observe the
// minimum interval that the platform requires between the orders of two processes.
type InstanceOrder struct {
	Instance InstanceID
	Term     Term
	At       Timestamp
}
