package model

// DrainInstance takes an instance out of service until a ReturnInstance command.
type DrainInstance struct {
	Instance InstanceID
	HeldBy   string
}

// ReturnInstance ends a drain and puts the instance back in service.
type ReturnInstance struct {
	Instance InstanceID
	HeldBy   string
}

// StartMove starts the move of an instance from one pool to another.
type StartMove struct {
	ID       MoveID
	Instance InstanceID
	From, To PoolName
	Lend     bool
}

// UndoMove cancels a move whose instance has not changed its pool yet.
type UndoMove struct {
	ID     MoveID
	Reason string
}

// AdvanceMove puts the move of a drained instance into its next phase.
type AdvanceMove struct{ ID MoveID }

// StartWave starts a maintenance wave over the instances of the given pools.
type StartWave struct {
	ID    WaveID
	Pools []PoolName
	// MaintainedBefore excludes instances that were maintained at or after this
	// time; 0 excludes none.
	MaintainedBefore Timestamp
}

// SetWavePhase pauses, resumes, stops or cancels a wave.
type SetWavePhase struct {
	ID     WaveID
	Phase  WavePhase
	Reason string
}

// TakeWaveStep drains the next instance of a wave if the budgets allow it.
type TakeWaveStep struct {
	ID       WaveID
	Instance InstanceID
}

// SkipWaveInstance removes an instance that cannot be maintained from the wave.
type SkipWaveInstance struct {
	ID       WaveID
	Instance InstanceID
	Reason   string
}

// RemoveInstance deletes an instance that is out of service and no longer
// declared by the configuration.
type RemoveInstance struct {
	Instance   InstanceID
	Generation uint64
}

// SetInstancePhase records an observed change of an instance's phase. It is
// rejected unless the instance is in phase From, so late and repeated
// observations have no effect.
type SetInstancePhase struct {
	Instance   InstanceID
	Generation uint64
	From, To   Phase
	Reason     string
}

// BeginOperation records a platform operation. It is committed before the
// platform is called.
type BeginOperation struct {
	Instance  InstanceID
	Operation OperationID
	Kind      OperationKind
}

// EndOperation records the outcome of a platform operation.
type EndOperation struct {
	Instance  InstanceID
	Operation OperationID
	Succeeded bool
	Reason    string
}

func (DrainInstance) isCommand()    {}
func (ReturnInstance) isCommand()   {}
func (StartMove) isCommand()        {}
func (UndoMove) isCommand()         {}
func (AdvanceMove) isCommand()      {}
func (StartWave) isCommand()        {}
func (SetWavePhase) isCommand()     {}
func (TakeWaveStep) isCommand()     {}
func (SkipWaveInstance) isCommand() {}
func (RemoveInstance) isCommand()   {}
func (SetInstancePhase) isCommand() {}
func (BeginOperation) isCommand()   {}
func (EndOperation) isCommand()     {}
