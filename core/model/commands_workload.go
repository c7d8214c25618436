package model

// PublishCatalog puts a catalog in force if its version is the highest so far.
type PublishCatalog struct{ Catalog Catalog }

// SubmitWorkload accepts a workload at the queue with the address.
type SubmitWorkload struct {
	Host     string
	Path     string
	Workload Workload // without queue, ID, rounds and times
	Repeat   int      // number of rounds; 0 for one
}

// CancelWorkload ends a workload.
type CancelWorkload struct {
	Host string
	Path string
}

// RecordProgress records ends and starts of runs, in this order.
type RecordProgress struct {
	Ends   []RunEnd
	Starts []RunStart
}

// RunEnd ends a run.
type RunEnd struct {
	Run     RunRef
	Worker  WorkerID
	Outcome RunOutcome
	// Checkpoint is the last one known of the run; empty if none.
	Checkpoint string
}

// RunStart starts a run. All members of a gang carry the same number.
type RunStart struct {
	Run    RunRef
	Worker WorkerID
}

// RunOutcome is how a run has ended.
type RunOutcome uint8

// Outcomes of a run.
const (
	RunDone        RunOutcome = iota + 1
	RunFailed                 // counts against the task's budget of failures
	RunInterrupted            // ended without fault of the task
)

func (o RunOutcome) String() string {
	return [...]string{"none", "done", "failed", "interrupted"}[min(int(o), 3)]
}

// OrderUpkeep records an operator's order for upkeep.
type OrderUpkeep struct{ Upkeep Upkeep }

// BeginUpkeep records that the upkeep of an instance has begun.
type BeginUpkeep struct {
	Number   UpkeepNumber
	Instance InstanceID
}

// RecordOrders records that the leader is about to give orders for instances.
type RecordOrders struct{ Instances []InstanceID }

func (RecordOrders) isCommand()   {}
func (PublishCatalog) isCommand() {}
func (SubmitWorkload) isCommand() {}
func (CancelWorkload) isCommand() {}
func (RecordProgress) isCommand() {}
func (OrderUpkeep) isCommand()    {}
func (BeginUpkeep) isCommand()    {}
