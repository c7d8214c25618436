// Package model holds the types shared by all decisions: identifiers, the
// configuration, the fleet, jobs, claims, and the replicated state made of
// them. It contains no I/O, clock or wire type. Values stored in the state
// are never modified in place.
package model

import "time"

// Identifiers. All are non-empty strings chosen by their owner.
type (
	InstanceID  string
	PoolName    string
	ServiceName string
	TargetID    string
	CallerID    string
	EntryID     string
	ReplicaID   string
	JobID       string
	WaveID      string
	MoveID      string
	OperationID string
	TeamName    string
	// RequestID is a UUIDv7; its first 48 bits are the time of issue.
	RequestID string
)

// Revision numbers accepted configurations, from 1.
type Revision uint64

// Index is a position in the replicated log, from 1.
type Index uint64

// Term numbers elections, from 1.
type Term uint64

// Timestamp is a time in Unix milliseconds.
type Timestamp int64

// Add returns t plus d, truncated to milliseconds.
func (t Timestamp) Add(d time.Duration) Timestamp { return t + Timestamp(d/time.Millisecond) }

// Sub returns the duration from u to t.
func (t Timestamp) Sub(u Timestamp) time.Duration { return time.Duration(t-u) * time.Millisecond }

// At converts a time to a Timestamp.
func At(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Domain is the place of an instance in the failure domains.
type Domain struct {
	Region     string
	DataCenter string
	Rack       string
}

// Resources of an instance or a job.
type Resources struct {
	MilliCPU     int64 // thousandths of a processor
	MemoryMB     int64
	Accelerators int64
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return o.MilliCPU <= r.MilliCPU && o.MemoryMB <= r.MemoryMB && o.Accelerators <= r.Accelerators
}
