// Package model defines the types of the control state and its commands:
// identifiers, configuration, fleet, jobs, workloads and claims. It does no I/O,
// reads no clock and contains no wire types. Values stored in the state are never
// modified in place.
package model

import "time"

// Identifiers. An identifier is a non-empty string chosen by whoever creates the
// object; an empty one means that there is none.
type (
	InstanceID  string // a machine of the fleet
	PoolName    string // a pool of instances
	ServiceName string // a group of interchangeable targets
	TargetID    string // a back end of a service
	CallerID    string // a client that sends requests
	EntryID     string // an entry instance
	ReplicaID   string // a control replica, as name/incarnation
	JobID       string // a job
	WaveID      string // a maintenance wave
	MoveID      string // a move of an instance between pools
	OperationID string // a platform operation on an instance
	TeamName    string // a team with a quota for jobs
	// RequestID is a UUIDv7; its first 48 bits are the time of issue.
	RequestID string
)

// Revision is the number of an accepted configuration. The first one is 1; 0
// means that there is none.
type Revision uint64

// Index is a position in the replicated log. The first entry has index 1.
type Index uint64

// Term is an election term of the replication protocol. The first one is 1.
type Term uint64

// Timestamp is a time in milliseconds since the Unix epoch; 0 means not set.
type Timestamp int64

// Add returns t plus d, truncated to milliseconds.
func (t Timestamp) Add(d time.Duration) Timestamp { return t + Timestamp(d/time.Millisecond) }

// Sub returns the duration from u to t.
func (t Timestamp) Sub(u Timestamp) time.Duration { return time.Duration(t-u) * time.Millisecond }

// TimestampOf converts a time.Time, truncated to milliseconds.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Domain is the position of an instance in the hierarchy of failure domains.
type Domain struct {
	Region     string
	DataCenter string
	Rack       string
}

// Resources is the capacity of an instance, or the amount that a job, task or
// quota uses of it.
type Resources struct {
	MilliCPU     int64 // thousandths of a processor
	MemoryMB     int64 // 1 GB of an answers file is 1024 MB
	Accelerators int64 // number of devices
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o. Components may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Scale returns r multiplied by f, truncated in each component.
func (r Resources) Scale(f float64) Resources {
	return Resources{int64(float64(r.MilliCPU) * f), int64(float64(r.MemoryMB) * f), int64(float64(r.Accelerators) * f)}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * int64(n), r.MemoryMB * int64(n), r.Accelerators * int64(n)}
}

// Max returns the larger of r and o in each component.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Fits reports whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return o.MilliCPU <= r.MilliCPU && o.MemoryMB <= r.MemoryMB && o.Accelerators <= r.Accelerators
}
