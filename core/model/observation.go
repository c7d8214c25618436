package model

// Observations is what the leader knows about the fleet that is not in the
// replicated log. A new leader rebuilds it from scratch.
type Observations struct {
	// LeaderSince is the time at which this replica became leader.
	LeaderSince Timestamp
	Instances   map[InstanceID]InstanceObservation
	Operations  map[OperationID]OperationReport
	// Waits lists the steps of each workload that wait for workers near their data.
	Waits map[WorkloadID][]StepWait
}

// StepWait is the wait of a step for workers near its data, or in one rack.
type StepWait struct {
	Round, Step int
	Rack        string
	Tasks       int // that wait
	// Expected is when they are expected to start there, Until when the wait ends in any case.
	Expected, Until Timestamp
}

// InstanceObservation is what the leader has observed of one instance. A time of 0
// means that the event has not occurred since this replica became leader.
type InstanceObservation struct {
	InFlight int // requests in flight, summed over all entry instances
	// ReportedAt is the time of the oldest report that InFlight is based on.
	ReportedAt Timestamp
	// LastSeen is the time of the last heartbeat from a target on the instance.
	LastSeen Timestamp
	// UpAt and DownAt are the times at which the platform last reported the
	// instance up and down.
	UpAt, DownAt Timestamp
	// QueriedAt is the time of the last query to the platform about the instance.
	QueriedAt Timestamp
}

// OperationState is the state of an operation as reported by the platform.
type OperationState uint8

// States of a platform operation.
const (
	OperationUnknown     OperationState = iota // not queried since this replica became leader
	OperationAbsent                            // the platform has no record of it
	OperationRunning                           // started and not ended
	OperationSucceeded                         // ended successfully
	OperationFailed                            // ended without effect
	OperationUnreachable                       // the platform did not answer
)

// String returns the state as shown in explanations.
func (s OperationState) String() string {
	return [...]string{"unknown", "absent", "running", "succeeded", "failed", "unreachable"}[min(int(s), 5)]
}

// OperationReport is the platform's last answer about an operation.
type OperationReport struct {
	State  OperationState
	Reason string
	At     Timestamp
}

// ActionKind is a kind of call to the platform.
type ActionKind uint8

// Calls to the platform.
const (
	ActionQueryOperation ActionKind = iota + 1 // read the state of an operation
	ActionStartOperation                       // start an operation
	ActionQueryInstance                        // read whether an instance is up
)

// PlatformAction is a call to the platform. All calls are idempotent and may be
// repeated.
type PlatformAction struct {
	Kind          ActionKind
	Instance      InstanceID
	Operation     OperationID
	OperationKind OperationKind
}

// Decision is the result of one reconciliation: the commands to propose and the
// platform calls to make towards the desired state.
type Decision struct {
	Commands []Command
	Actions  []PlatformAction
	// Next is the time of the next reconciliation if nothing changes before; 0 means
	// never.
	Next Timestamp
}
