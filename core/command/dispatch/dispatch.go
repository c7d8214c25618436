// Package dispatch decides which queued requests start next on free slots. Entry instances and
// the trace replay use it. A Dispatcher serves one group of slots, such as the targets of one
// service. Every slot of the group can run every item, and items of several services may share
// a group. Decisions are deterministic and do no I/O: the caller passes the time. A Dispatcher
// is not safe for concurrent use.
package dispatch

import (
	"fmt"
	"strings"
	"time"

	"lacewingturn.example/core/model"
)

// ItemID identifies an item within one Dispatcher. The code that calls Arrive chooses it, and
// may reuse it only after the item has ended.
type ItemID uint64

// Item is one request to be queued.
type Item struct {
	ID       ItemID
	Caller   model.CallerID
	Service  model.ServiceName
	Declared time.Duration // run time declared by the caller; 0 if none
	Deadline time.Time     // the item is not started at or after it; zero if none
}

// Decision is the result of Next.
type Decision struct {
	// Start lists the items that start now, in order. Each occupies one slot.
	Start []Item
	// Expired lists items whose deadline passed while they were queued; they do not run. An
	// expired item is only detected when it reaches the head of its queue, which may be later
	// than its deadline.
	Expired []Item
	// NextCall is when Next must be called even without an arrival or a completion, because an
	// item that is held back may start then. Zero if there is no such time.
	NextCall time.Time
}

// Stats is a snapshot of the counters of a Dispatcher.
type Stats struct {
	Queued  int
	Running int
	// IdleWhileQueued is the total slot time that was left idle, by the reserve or by a slow start,
	// while items were queued.
	IdleWhileQueued time.Duration
}

// Dispatcher orders items by one policy. The times passed to its methods must not decrease.
type Dispatcher interface {
	// Arrive queues an item.
	Arrive(now time.Time, item Item)
	// Next chooses the items that start on the free slots. Every item in Start counts as
	// running until Complete. The group is taken to have free slots plus one for each running
	// item.
	Next(now time.Time, free int) Decision
	// Complete ends a running item and frees its slot. A positive run time updates the estimate
	// of run times; pass 0 for a run that says nothing about them, such as a refused connection
	// or an immediate failure.
	Complete(now time.Time, id ItemID, run time.Duration)
	// Cancel removes a queued item. It reports false if the item is not queued; a running item
	// keeps its slot until Complete.
	Cancel(now time.Time, id ItemID) bool
	// Stats returns the counters at the given time.
	Stats(now time.Time) Stats
}

// Policy names a queue policy, as given to New and on the command line of the trace replay.
type Policy string

// Queue policies. The first three are baselines for comparison.
const (
	FIFO       Policy = "fifo"        // oldest arrival first
	RoundRobin Policy = "round-robin" // one item of each caller in turn
	Capped     Policy = "capped"      // round-robin with at most CapPerCaller running items for each caller
	Default    Policy = "default"     // fair shares of slot time by learned run times, with a reserve for short items
)

// CapPerCaller is the maximum number of running items of one caller under the policy Capped.
const CapPerCaller = 2

// Policies returns all policies that New accepts.
func Policies() []Policy { return []Policy{FIFO, RoundRobin, Capped, Default} }

// Options configures a Dispatcher. The zero value is valid.
type Options struct {
	// Weights are the operator's goals; the policy Default sizes its reserve by them.
	Weights model.Weights
	// CompareCallers orders callers under RoundRobin and Capped; nil means string order.
	CompareCallers func(a, b model.CallerID) int
}

// New returns an empty Dispatcher with the given policy. An unknown policy is an error.
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
