package model

import "time"

// ObservedInstance is what the leader sees of an instance that runs workers.
type ObservedInstance struct {
	ID InstanceID
	// Worker is the incarnation that was heard of last; empty if none was.
	Worker WorkerID
	Pool   PoolName
	// HeardAgo is how long ago its worker was last heard of.
	HeardAgo time.Duration
	// Off is set while the instance is powered off in a standby pool.
	Off bool
	// Away is set while it is being moved or maintained, or is not heard of.
	Away bool
	// Held is set while no order may be given for it.
	Held bool
	// Leaving is set once the worker on it has announced its end.
	Leaving  bool
	Capacity Resources
	Runs     []ObservedRun
	// Settled is set if the worker lists no run that is not assigned to it.
	Settled bool
}

// Idle reports whether nothing runs on the instance.
func (i ObservedInstance) Idle() bool { return len(i.Runs) == 0 && i.Settled }

// ObservedRun is an assigned run as its worker has last reported it.
type ObservedRun struct {
	Run RunRef
	// Size is what the run reserves.
	Size    Resources
	Lasting bool
	// Stopping is set once the worker was told to stop it.
	Stopping bool
	// Checkpointing is set if a stop keeps the progress.
	Checkpointing bool
}
