package model

// AcceptConfig puts a configuration in force. It is rejected unless Base is the
// revision in force.
type AcceptConfig struct {
	Base   Revision
	Config Config
}

// RevertConfig puts the configuration of revision To in force again, under a new
// revision number. It is rejected unless Base is the revision in force.
type RevertConfig struct {
	Base Revision
	To   Revision
}

// JoinEntry adds an entry instance, or replaces the one with the same ID.
type JoinEntry struct {
	ID      EntryID
	Address string
	Domain  Domain
}

// RemoveEntry removes an entry instance that has left or whose membership lease
// has expired. Epoch protects an instance that joined again in the meantime.
type RemoveEntry struct {
	ID    EntryID
	Epoch uint64
}

// AnnounceTarget records that a target has joined or changed its phase.
type AnnounceTarget struct{ Target Target }

// RemoveTarget deletes a target that has left or was lost. It has no effect on a
// target of a newer generation.
type RemoveTarget struct {
	ID         TargetID
	Generation uint64
}

// SetReplicas copies the membership of the control replicas into the control
// state, so queries can read it.
type SetReplicas struct{ Replicas []ReplicaMember }

// Noop changes nothing. The empty log entry that a new leader appends is applied as
// a Noop.
type Noop struct{}

func (AcceptConfig) isCommand()   {}
func (RevertConfig) isCommand()   {}
func (JoinEntry) isCommand()      {}
func (RemoveEntry) isCommand()    {}
func (AnnounceTarget) isCommand() {}
func (RemoveTarget) isCommand()   {}
func (SetReplicas) isCommand()    {}
func (Noop) isCommand()           {}
