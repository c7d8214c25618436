package model

// Observations is what the leader sees of the fleet outside of the log. It is
// rebuilt after every change of leader.
type Observations struct {
	LeaderSince Timestamp
	Instances   map[InstanceID]Observed
	Operations  map[OperationID]OperationReport
}

// Observed is what the leader sees of one instance. Zero times mean not since
// this replica became leader.
type Observed struct {
	InFlight int // requests in flight, over all entry instances
	// ReportedAt is the earliest time at which an entry instance counted InFlight.
	ReportedAt Timestamp
	// LastSeen is the last heartbeat of a target on the instance.
	LastSeen Timestamp
	// UpAt and DownAt are when the platform last reported the instance up or down.
	UpAt, DownAt Timestamp
	// QueriedAt is when the platform was last asked about the instance.
	QueriedAt Timestamp
}

// OperationState is what the platform said of an operation.
type OperationState uint8

// States of a platform operation.
const (
	OperationUnknown     OperationState = iota // not asked since this replica became leader
	OperationAbsent                            // the platform has never received it
	OperationRunning                           // begun and not ended
	OperationSucceeded                         // ended
	OperationFailed                            // ended without effect
	OperationUnreachable                       // the platform did not answer
)

func (s OperationState) String() string {
	return [...]string{"unknown", "absent", "running", "succeeded", "failed", "unreachable"}[min(int(s), 5)]
}

// OperationReport is the last answer about a platform operation.
type OperationReport struct {
	State  OperationState
	Reason string
	At     Timestamp
}

// ActionKind is a kind of call to the platform.
type ActionKind uint8

// Calls to the platform.
const (
	ActionQueryOperation ActionKind = iota + 1
	ActionStartOperation
	ActionQueryInstance
)

// PlatformAction is a call to the platform. Every one of them may be repeated.
type PlatformAction struct {
	Kind          ActionKind
	Instance      InstanceID
	Operation     OperationID
	OperationKind OperationKind
}

// Decision is the next step towards the desired state.
type Decision struct {
	Commands []Command
	Actions  []PlatformAction
	// Next is when to decide again even if nothing changes; 0 means never.
	Next Timestamp
}
