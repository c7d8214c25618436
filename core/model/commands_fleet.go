package model

// DrainInstance takes an instance out of service until ReturnInstance.
type DrainInstance struct {
	Instance InstanceID
	HeldBy   string
}

// ReturnInstance ends a drain.
type ReturnInstance struct {
	Instance InstanceID
	HeldBy   string
}

// StartMove begins to take an instance from one pool to another.
type StartMove struct {
	ID       MoveID
	Instance InstanceID
	From, To PoolName
	Lend     bool
}

// UndoMove ends a move before the instance changed its pool.
type UndoMove struct {
	ID     MoveID
	Reason string
}

// AdvanceMove takes a drained instance to the next phase of its move.
type AdvanceMove struct{ ID MoveID }

// StartWave begins maintenance of all instances of the pools.
type StartWave struct {
	ID    WaveID
	Pools []PoolName
	// MaintainedBefore leaves out instances whose last maintenance is not older; 0 takes all.
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

// SkipWaveInstance passes by an instance that cannot be maintained in this wave.
type SkipWaveInstance struct {
	ID       WaveID
	Instance InstanceID
	Reason   string
}

// RemoveInstance forgets an instance that the configuration no longer declares
// and that is out of service.
type RemoveInstance struct {
	Instance   InstanceID
	Generation uint64
}

// SetInstancePhase records what was observed about an instance. From guards
// against late and repeated observations.
type SetInstancePhase struct {
	Instance   InstanceID
	Generation uint64
	From, To   Phase
	Reason     string
}

// BeginOperation commits a platform operation before it is called.
type BeginOperation struct {
	Instance  InstanceID
	Operation OperationID
	Kind      OperationKind
}

// EndOperation records the end of a platform operation.
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
