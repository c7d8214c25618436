package model

import "time"

// UpkeepNumber is the operator's number of an upkeep order.
type UpkeepNumber int64

// Upkeep is an operator's order to maintain a list of instances in time.
type Upkeep struct {
	Number    UpkeepNumber
	Instances []UpkeepInstance
	// Limit is the number of instances that may be down for it at the same time.
	Limit     int
	Duration  time.Duration
	OrderedAt Timestamp
}

// UpkeepInstance is the progress of one instance of an upkeep order.
type UpkeepInstance struct {
	ID InstanceID
	// Begun is set once the platform has confirmed the start of the upkeep, or
	// the instance has gone for good.
	Begun bool
}

// Complete reports whether all instances were begun.
func (u Upkeep) Complete() bool {
	for _, i := range u.Instances {
		if !i.Begun {
			return false
		}
	}
	return true
}

// InstanceOrder is the last order that a leader gave the platform for an
// instance. It is recorded before the call, so that another leader can keep the
// pause that the platform asks for between the orders of two processes.
type InstanceOrder struct {
	Instance InstanceID
	Term     Term
	At       Timestamp
}
