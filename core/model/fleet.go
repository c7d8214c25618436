package model

// Phase is the observed condition of an instance.
type Phase uint8

// Phases of an instance. Only Active instances are available.
const (
	PhaseActive Phase = iota + 1
	PhaseDraining
	PhaseDrained
	PhaseRebooting
	PhaseVerifying
	PhaseSoaking
	PhaseLost   // not seen; came without plan
	PhaseFailed // did not come back after maintenance
	// PhaseArriving is between the change of pool and the first sign of work in
	// the new pool; the instance counts for no budget.
	PhaseArriving
)

var phaseNames = [...]string{"none", "active", "draining", "drained", "rebooting", "verifying", "soaking", "lost", "failed", "arriving"}

func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "invalid"
}

// Instance is a machine of the fleet. Its pool is this one field, so that it
// belongs to exactly one pool at any moment.
type Instance struct {
	ID       InstanceID
	Pool     PoolName
	Domain   Domain
	Capacity Resources
	Phase    Phase
	// PhaseSince is when Phase was entered.
	PhaseSince Timestamp
	// HeldBy is the wave, move or operator that took the instance out of service;
	// empty if none. Holder builds it.
	HeldBy string
	// Operation is the platform operation in progress; empty if none.
	Operation OperationID
	// OperationKind is what Operation does.
	OperationKind OperationKind
	// OperationSince is when the last operation was committed.
	OperationSince Timestamp
	// OperationSeq counts the operations committed for the instance.
	OperationSeq uint64
	// Maintained is when the last maintenance ended.
	Maintained Timestamp
	// MaintainedBy is the wave that made the last maintenance.
	MaintainedBy WaveID
	// Home is the pool that lent the instance; empty if it is not lent.
	Home PoolName
	// Retiring is set when the configuration no longer declares the instance. It
	// is drained within the budget and only then forgotten.
	Retiring bool
	// Failures counts consecutive job failures across distinct jobs.
	Failures    int
	Quarantined bool
	// Generation grows with each return from maintenance or loss.
	Generation uint64
}

// Available reports whether the instance counts for its pool's budget.
func (i Instance) Available() bool { return i.Phase == PhaseActive }

// OperationKind is a platform operation.
type OperationKind uint8

// Platform operations.
const (
	OperationNone OperationKind = iota
	OperationDrain
	OperationReboot
)

// Wave is a maintenance wave over the instances of some pools.
type Wave struct {
	ID        WaveID
	Pools     []PoolName
	Phase     WavePhase
	Reason    string // why the wave is paused or stopped
	Actor     string
	StartedAt Timestamp
	EndedAt   Timestamp
	Pending   []InstanceID
	Running   []InstanceID
	Done      []InstanceID
	Passed    []InstanceID // failed and passed by
	Step      int          // instances of one pool taken at the same time
	Faults    int          // failures seen after repair in this wave
}

// WavePhase is the condition of a wave.
type WavePhase uint8

// Phases of a wave.
const (
	WaveRunning WavePhase = iota + 1
	WavePaused
	WaveStopped // by the system, for the reason given
	WaveCancelled
	WaveDone
)

func (p WavePhase) String() string {
	return [...]string{"none", "running", "paused", "stopped", "cancelled", "done"}[min(int(p), 5)]
}

// Ended reports whether the wave will do nothing more.
func (p WavePhase) Ended() bool { return p == WaveCancelled || p == WaveDone }

// Move takes one instance from one pool to another.
type Move struct {
	ID       MoveID
	Instance InstanceID
	From, To PoolName
	Phase    MovePhase
	Actor    string
	Reason   string
	Since    Timestamp // when Phase was entered
	// Lend is set when the system made the move and will give the instance back.
	Lend bool
}

// MovePhase is the condition of a move.
type MovePhase uint8

// Phases of a move. A move is undone only before MoveArrived.
const (
	MoveDraining MovePhase = iota + 1
	MoveArrived
	MoveDone
	MoveUndone
)

func (p MovePhase) String() string {
	return [...]string{"none", "draining", "arrived", "done", "undone"}[min(int(p), 4)]
}

// Ended reports whether the move will do nothing more.
func (p MovePhase) Ended() bool { return p == MoveDone || p == MoveUndone }

// Target is a back end of one service that announced itself.
type Target struct {
	ID          TargetID
	Instance    InstanceID
	Service     ServiceName
	Address     string // host:port
	Slots       int
	Connections int
	// Generation is chosen by the target at each start and only grows.
	Generation uint64
	Phase      TargetPhase
	Since      Timestamp
}

// TargetPhase is the condition of a target.
type TargetPhase uint8

// Phases of a target.
const (
	TargetReady TargetPhase = iota + 1
	TargetLeaving
	TargetLost
)

func (p TargetPhase) String() string {
	return [...]string{"none", "ready", "leaving", "lost"}[min(int(p), 3)]
}

// EntryMember is an entry instance known to the control state.
type EntryMember struct {
	ID       EntryID
	Address  string // host:port for other processes of the system
	Domain   Domain
	JoinedAt Timestamp
	// Epoch is the log index of the join; it tells two lives of one ID apart.
	Epoch uint64
}

// ReplicaMember is a control replica.
type ReplicaMember struct {
	ID      ReplicaID // name/incarnation
	Address string
	Domain  Domain
	Voter   bool
}
