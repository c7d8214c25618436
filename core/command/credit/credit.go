// Package credit decides how many slots of a target each entry instance may
// use. Every target has one owner, which grants credits; every entry instance
// is a holder, which starts work only under a valid credit. The sum of what
// the holders may use never exceeds the slots of the target: a slot counts as
// used until its holder says that it is free, or until the target's own
// heartbeat shows it.
package credit

import (
	"time"

	"lacewingturn.example/core/model"
)

// Durations of the protocol.
const (
	// Valid is how long a credit lasts unless renewed.
	Valid = time.Second
	// Lease is the longest membership lease of an entry instance.
	Lease = 2500 * time.Millisecond
	// Margin is added to waits for another process, for clocks of different rates.
	Margin = 100 * time.Millisecond
	// Settle is the time after which a request that was sent under an expired
	// credit has certainly reached its target or failed. It exceeds the dial
	// timeout of 600 ms of the traffic path.
	Settle = 1500 * time.Millisecond
	// ReturnIdle is how long a holder keeps a credit that it does not use.
	ReturnIdle = 300 * time.Millisecond
	// Rotate is how long a holder keeps its last slot while others have none.
	Rotate = 500 * time.Millisecond
	// Recent is the age of a report up to which its demand counts.
	Recent = time.Second
)

// Key is one life of a target.
type Key struct {
	Target     model.TargetID
	Generation uint64
}

// Member is one life of an entry instance.
type Member struct {
	Entry model.EntryID
	Epoch uint64
}

// Demand is what a holder reports about one target.
type Demand struct {
	Key Key
	// Held is the credit that the holder keeps until it gets the answer.
	Held int
	// InUse counts the slots in use, including those of abandoned requests.
	InUse int
	// Wanted is the number of further slots that the holder has work for.
	Wanted int
	// Abandoned counts requests that the holder gave up on but that the target
	// may still run.
	Abandoned int
}

// Report is what a holder sends to an owner. The answer to an earlier report is
// void once a later one has been sent. The first report after an owner gained a
// target lists all its targets; in later ones, a target that is not listed is
// as it was reported last.
type Report struct {
	From     Member
	To       Member
	Sequence uint64
	Demands  []Demand
}

// Grant answers one demand. It is absent if the sender does not own the target.
type Grant struct {
	Key     Key
	Granted int
	// Valid counts from the moment the report was sent. If it is 0, the holder
	// keeps what it has until that expires.
	Valid time.Duration
	// Running and HeartbeatAge answer a demand with abandoned requests: the
	// holder's slots that the target listed, and how long ago it did. Running is
	// meaningful only if Beaten is set.
	Beaten       bool
	Running      []string
	HeartbeatAge time.Duration
}

// Heartbeat lists the requests that a target runs, by holder.
type Heartbeat struct {
	Key      Key
	Sequence uint64
	Running  map[Member][]string
}

// Handover is what an owner that lost a target tells the next one. The sender
// grants nothing after it.
type Handover struct {
	From Member
	Key  Key
	// Wait is how long credits of owners before the sender may be valid.
	Wait    time.Duration
	Holders []HandoverHolder
	// Pending holders may use slots that the sender does not know of.
	Pending []Member
	// Unknown is set while holders that are gone may use slots.
	Unknown bool
}

// HandoverHolder is the part of one holder.
type HandoverHolder struct {
	Member Member
	Bound  int
	Valid  time.Duration // rest of the credit
}
