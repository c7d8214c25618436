// Package dispatch decides which queued requests start next on free slots. It
// is used by entry instances and by the trace replay. A Dispatcher serves one
// group of slots that can run any of the items given to it, such as the targets
// of one service; items of several services may share one. All decisions are
// pure: the caller passes the time, and a Dispatcher is not safe for use by
// several goroutines.
package dispatch

import (
	"fmt"
	"strings"
	"time"

	"lacewingturn.example/core/model"
)

// ItemID identifies an item within one Dispatcher. It is chosen by the user of
// the Dispatcher and not used again before the item has ended.
type ItemID uint64

// Item is one request that waits for a slot.
type Item struct {
	ID       ItemID
	Caller   model.CallerID
	Service  model.ServiceName
	Declared time.Duration // run time stated by the caller; 0 if none
	Deadline time.Time     // zero if none; the item is not started at or after it
}

// Decision is the answer of Next.
type Decision struct {
	// Start lists the items that now occupy one slot each, in order.
	Start []Item
	// Expired lists items whose deadline passed in the queue; they are not run.
	// Items are found here when their turn comes, which may be later than the deadline.
	Expired []Item
	// Again is when Next should be called even if nothing else happens, because a
	// held-back item may start then. Zero if there is no such time.
	Again time.Time
}

// Stats describes a Dispatcher at one moment.
type Stats struct {
	Queued  int
	Running int
	// ReserveIdle is the total slot time left idle on purpose while work was queued.
	ReserveIdle time.Duration
}

// Dispatcher orders items by one policy. Time must not go back between calls.
type Dispatcher interface {
	// Arrive queues an item.
	Arrive(now time.Time, item Item)
	// Next chooses what starts on the free slots. Everything in Start counts as
	// running until Complete. The number of slots of the group is taken to be
	// free plus running.
	Next(now time.Time, free int) Decision
	// Complete ends a running item and frees its slot. A positive run time is
	// learned; pass 0 for a run that says nothing about run times, such as a
	// refused connection or an immediate failure.
	Complete(now time.Time, id ItemID, run time.Duration)
	// Cancel removes a queued item. It reports false if the item is not queued;
	// a running item stays until Complete.
	Cancel(now time.Time, id ItemID) bool
	// Stats describes the Dispatcher at the given time.
	Stats(now time.Time) Stats
}

// Policy names a queue policy.
type Policy string

// Queue policies. The first three are references for comparison.
const (
	FIFO       Policy = "fifo"        // oldest arrival first
	RoundRobin Policy = "round-robin" // one item of each caller in turn
	Capped     Policy = "capped"      // round-robin with at most CapPerCaller running for each caller
	Default    Policy = "default"
)

// CapPerCaller is the hard limit of the capped policy.
const CapPerCaller = 2

// Policies lists all policies.
func Policies() []Policy { return []Policy{FIFO, RoundRobin, Capped, Default} }

// Options of a Dispatcher. The zero value is valid.
type Options struct {
	// Weights are the operator's goals; they size the reserve of the default policy.
	Weights model.Weights
	// CompareCallers orders callers in the rotations; nil means string order.
	CompareCallers func(a, b model.CallerID) int
}

// New returns an empty Dispatcher with the named policy.
func New(p Policy, o Options) (Dispatcher, error) {
	if o.CompareCallers == nil {
		o.CompareCallers = func(a, b model.CallerID) int { return strings.Compare(string(a), string(b)) }
	}
	switch p {
	case FIFO:
		return newFIFO(), nil
	case RoundRobin:
		return newRotation(o.CompareCallers, 0), nil
	case Capped:
		return newRotation(o.CompareCallers, CapPerCaller), nil
	case Default:
		return newFair(o.Weights), nil
	}
	return nil, fmt.Errorf("dispatch: unknown policy %q; known are %v", p, Policies())
}
