package model

// AcceptConfig puts a configuration in force if Base is the revision in force.
type AcceptConfig struct {
	Base   Revision
	Config Config
}

// RevertConfig accepts the configuration of an earlier revision again, as a new revision.
type RevertConfig struct {
	Base Revision
	To   Revision
}

// JoinEntry adds or replaces an entry instance.
type JoinEntry struct {
	ID      EntryID
	Address string
	Domain  Domain
}

// RemoveEntry removes an entry instance whose lease ran out or that has left.
type RemoveEntry struct {
	ID    EntryID
	Epoch uint64
}

// AnnounceTarget records a join or a change of phase of a target.
type AnnounceTarget struct{ Target Target }

// RemoveTarget forgets a target that left or was lost, unless it has a newer generation.
type RemoveTarget struct {
	ID         TargetID
	Generation uint64
}

// SetReplicas records the replica membership in the control state for queries.
type SetReplicas struct{ Replicas []ReplicaMember }

// Noop is appended by a new leader.
type Noop struct{}

func (AcceptConfig) isCommand()   {}
func (RevertConfig) isCommand()   {}
func (JoinEntry) isCommand()      {}
func (RemoveEntry) isCommand()    {}
func (AnnounceTarget) isCommand() {}
func (RemoveTarget) isCommand()   {}
func (SetReplicas) isCommand()    {}
func (Noop) isCommand()           {}
