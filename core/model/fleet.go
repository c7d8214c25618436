package model

// Phase is the observed state of an instance.
type Phase uint8

// Phases of an instance. Only instances in PhaseActive are available.
const (
	PhaseActive    Phase = iota + 1 // in service
	PhaseDraining                   // gets no new work; work in progress is completed
	PhaseDrained                    // out of service, no work in progress
	PhaseRebooting                  // the platform reboots it
	PhaseVerifying                  // rebooted, not yet observed to be up
	PhaseSoaking                    // up again, under observation before it returns to service
	PhaseLost                       // unplanned outage: no longer observed to be up
	PhaseFailed                     // not back in time after maintenance
	// PhaseArriving lasts from the change of pool until the instance is observed in
	// its new pool. Meanwhile it counts for the budget of neither pool.
	PhaseArriving
)

var phaseNames = [...]string{"none", "active", "draining", "drained", "rebooting", "verifying", "soaking", "lost", "failed", "arriving"}

// String returns the phase as shown in views, or "invalid" for an unknown value.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "invalid"
}

// Instance is a machine of the fleet. Membership in a pool is recorded only in
// its field Pool, so an instance belongs to exactly one pool at any time.
type Instance struct {
	ID       InstanceID
	Pool     PoolName
	Domain   Domain
	Capacity Resources
	Phase    Phase
	// PhaseSince is the time of the last change of Phase.
	PhaseSince Timestamp
	// HeldBy identifies the wave, move or operator that took the instance out of
	// service; empty if none. Its values are HolderOperator, HolderRetire and those
	// of WaveHolder and MoveHolder.
	HeldBy string
	// Operation is the platform operation in progress; empty if none.
	Operation OperationID
	// OperationKind is the kind of Operation.
	OperationKind OperationKind
	// OperationSince is the time at which the last operation was committed.
	OperationSince Timestamp
	// OperationSeq counts the operations committed for the instance.
	OperationSeq uint64
	// Maintained is the time at which the last maintenance ended.
	Maintained Timestamp
	// MaintainedBy is the wave of the last maintenance.
	MaintainedBy WaveID
	// Home is the pool that the instance is lent from; empty if it is not lent.
	Home PoolName
	// Retiring is true once the configuration no longer declares the instance. The
	// instance is then drained within the budget and deleted afterwards.
	Retiring bool
	// Failures is the number of consecutive failed job attempts that led to the
	// quarantine; 0 if the instance is not quarantined.
	Failures int
	// Quarantined is true if the instance gets no jobs because of its failures.
	Quarantined bool
	// Generation is incremented at each return from maintenance or loss.
	Generation uint64
}

// Available reports whether the instance counts as available in its pool's budget.
func (i Instance) Available() bool { return i.Phase == PhaseActive }

// OperationKind is a kind of platform operation.
type OperationKind uint8

// Platform operations.
const (
	OperationNone   OperationKind = iota // no operation in progress
	OperationDrain                       // the platform drains the instance
	OperationReboot                      // the platform reboots the instance
)

// Wave is a maintenance wave: it maintains the instances of some pools in steps.
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
	Passed    []InstanceID // skipped, because they failed or cannot be maintained
	Step      int          // maximum number of instances of one pool in maintenance at once
	Faults    int          // instances that failed after maintenance since the start, or the resumption after a stop
}

// WavePhase is the state of a wave.
type WavePhase uint8

// Phases of a wave.
const (
	WaveRunning   WavePhase = iota + 1 // takes instances as the budgets allow
	WavePaused                         // by an operator; takes no further instances
	WaveStopped                        // by the system, for the recorded reason
	WaveCancelled                      // by an operator; final
	WaveDone                           // no instances left; final
)

// String returns the phase as shown in views.
func (p WavePhase) String() string {
	return [...]string{"none", "running", "paused", "stopped", "cancelled", "done"}[min(int(p), 5)]
}

// Ended reports whether the phase is final.
func (p WavePhase) Ended() bool { return p == WaveCancelled || p == WaveDone }

// Move transfers one instance from one pool to another.
type Move struct {
	ID       MoveID
	Instance InstanceID
	From, To PoolName
	Phase    MovePhase
	Actor    string
	Reason   string
	Since    Timestamp // when Phase was entered
	// Lend is true if the system started the move to lend the instance; it will
	// return the instance to its pool.
	Lend bool
}

// MovePhase is the state of a move.
type MovePhase uint8

// Phases of a move. A move can be undone only before MoveArrived.
const (
	MoveDraining MovePhase = iota + 1 // the instance is drained in its old pool
	MoveArrived                       // the pool is changed, the instance is not yet in service
	MoveDone                          // the instance is in service in its new pool
	MoveUndone                        // the instance stays in its old pool
)

// String returns the phase as shown in views.
func (p MovePhase) String() string {
	return [...]string{"none", "draining", "arrived", "done", "undone"}[min(int(p), 4)]
}

// Ended reports whether the phase is final.
func (p MovePhase) Ended() bool { return p == MoveDone || p == MoveUndone }

// Target is a back end of one service. A target becomes known when it joins at an
// entry instance, which commits an AnnounceTarget command.
type Target struct {
	ID          TargetID
	Instance    InstanceID
	Service     ServiceName
	Address     string // host:port
	Slots       int
	Connections int
	// Generation is chosen by the target at each start and never decreases.
	Generation uint64
	Phase      TargetPhase
	Since      Timestamp
}

// TargetPhase is the state of a target.
type TargetPhase uint8

// Phases of a target.
const (
	TargetReady   TargetPhase = iota + 1 // takes requests
	TargetLeaving                        // announced its shutdown; gets no new requests
	TargetLost                           // sent no heartbeat in time; gets no requests
)

// String returns the phase as shown in views.
func (p TargetPhase) String() string {
	return [...]string{"none", "ready", "leaving", "lost"}[min(int(p), 3)]
}

// EntryMember is the membership record of an entry instance.
type EntryMember struct {
	ID       EntryID
	Address  string // host:port for other processes of the system
	Domain   Domain
	JoinedAt Timestamp
	// Epoch is the log index of the join. It distinguishes successive processes
	// with the same ID.
	Epoch uint64
}

// ReplicaMember is the membership record of a control replica.
type ReplicaMember struct {
	ID      ReplicaID // name/incarnation
	Address string
	Domain  Domain
	Voter   bool
}
