package model

import "time"

// WorkerObservation is what the leader has observed of an instance of a worker pool
// and of its worker.
type WorkerObservation struct {
	ID InstanceID
	// Worker is the incarnation that reported last; empty if none has reported.
	Worker WorkerID
	Pool   PoolName
	// SinceLastReport is the time since the last report of its worker.
	SinceLastReport time.Duration
	// Off is true while the instance is powered off in a standby pool.
	Off bool
	// Unavailable is true while the instance is being moved or maintained, or its worker
	// does not report.
	Unavailable bool
	// OrdersBlocked is true while the leader must not send the platform an order for
	// the instance.
	OrdersBlocked bool
	// Leaving is true once its worker has announced its shutdown.
	Leaving  bool
	Capacity Resources
	Runs     []ObservedRun
	// NoUnassignedRuns is true if all runs that its worker reports are assigned to it.
	NoUnassignedRuns bool
}

// Idle reports whether no run, assigned or not, is on the instance.
func (i WorkerObservation) Idle() bool { return len(i.Runs) == 0 && i.NoUnassignedRuns }

// ObservedRun is an assigned run as last reported by its worker.
type ObservedRun struct {
	Run RunRef
	// Size is the capacity that the run reserves.
	Size    Resources
	Lasting bool
	// Stopping is true once the worker was told to stop the run.
	Stopping bool
	// Checkpointing is true if the progress of the run survives a stop.
	Checkpointing bool
}
