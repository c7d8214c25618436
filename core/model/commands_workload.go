package model

// PublishCatalog puts a catalog in force if its version is higher than that of
// every catalog before.
type PublishCatalog struct{ Catalog Catalog }

// SubmitWorkload submits a workload to the queue at the given host and path.
type SubmitWorkload struct {
	Host     string
	Path     string
	Workload Workload // queue, ID, rounds and times are not set
	Repeat   int      // number of rounds; 0 means one
	// Budget is the memory that all workloads together may take on a replica, in bytes; 0 means
	// no limit. The leader sets it, so that the settings of the other replicas do not matter.
	Budget int64 `cbor:",omitempty"`
	// Key is the key that the caller presented; nil if none.
	Key *KeyDigest `cbor:",omitempty"`
}

// CancelWorkload cancels the workload at the given host and path.
type CancelWorkload struct {
	Host string
	Path string
	// Key is the key that the caller presented; nil if none.
	Key *KeyDigest `cbor:",omitempty"`
	// InQueue is set by the leader: only a workload of the queue at Host and Path is cancelled.
	// Entries of earlier releases cancel one of any queue.
	InQueue bool `cbor:",omitempty"`
}

// RecordProgress records that runs have ended and started. The ends are applied
// first.
type RecordProgress struct {
	Ends   []RunEnd
	Starts []RunStart
}

// RunEnd records the outcome of a run.
type RunEnd struct {
	Run     RunRef
	Worker  WorkerID
	Outcome RunOutcome
	// Checkpoint is the last checkpoint reported by the run; empty if none.
	Checkpoint string
}

// RunStart records that a run is assigned to a worker. The runs of a gang that
// start together have the same number.
type RunStart struct {
	Run    RunRef
	Worker WorkerID
}

// RunOutcome is the outcome of a run.
type RunOutcome uint8

// Outcomes of a run.
const (
	RunDone        RunOutcome = iota + 1 // succeeded
	RunFailed                            // failed; counts towards MaxFailures of the task
	RunInterrupted                       // ended early, not caused by the task; not counted
)

// String returns the outcome as shown in log lines.
func (o RunOutcome) String() string {
	return [...]string{"none", "done", "failed", "interrupted"}[min(int(o), 3)]
}

// OrderUpkeep records an operator's order to maintain a list of instances.
type OrderUpkeep struct{ Upkeep Upkeep }

// BeginUpkeep records that the maintenance of an instance of an upkeep order has begun.
type BeginUpkeep struct {
	Number   UpkeepNumber
	Instance InstanceID
}

// RecordOrders records that the leader is about to send the platform an order for
// each of the instances.
type RecordOrders struct{ Instances []InstanceID }

func (RecordOrders) isCommand()   {}
func (PublishCatalog) isCommand() {}
func (SubmitWorkload) isCommand() {}
func (CancelWorkload) isCommand() {}
func (RecordProgress) isCommand() {}
func (OrderUpkeep) isCommand()    {}
func (BeginUpkeep) isCommand()    {}
