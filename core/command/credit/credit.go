// Package credit decides how many slots of a target each entry instance may use. Every target
// has one owner, an entry instance that grants credits for its slots; every entry instance is a
// holder, which starts requests only under a valid credit. The slots that all holders together
// may use never exceed the slots of the target: a slot counts as used until its holder reports
// it as free, or until the target's own heartbeat shows that it is free.
package credit

import (
	"time"

	"lacewingturn.example/core/model"
)

// Durations of the protocol between owners and holders.
const (
	// CreditTTL is how long a granted credit is valid unless it is renewed.
	CreditTTL = time.Second
	// MaxLease is the longest membership lease of an entry instance.
	MaxLease = 2500 * time.Millisecond
	// ClockMargin is added when one process waits for a duration measured by another, because
	// their clocks may run at different rates.
	ClockMargin = 100 * time.Millisecond
	// SettleTime is how long after the expiry of a credit a request sent under it may still be
	// on its way: after that time it has reached its target or failed. SettleTime exceeds the
	// dial timeout of 600 ms of the traffic path.
	SettleTime = 1500 * time.Millisecond
	// IdleTimeout is how long a holder keeps a credit that it does not use.
	IdleTimeout = 300 * time.Millisecond
	// RotateAfter is how long a holder keeps its last slot while other holders have demand and
	// no slot.
	RotateAfter = 500 * time.Millisecond
	// MaxDemandAge is the maximum age of a report whose demand still counts.
	MaxDemandAge = time.Second
)

// TargetIncarnation identifies one incarnation of a target.
type TargetIncarnation struct {
	Target     model.TargetID
	Generation uint64
}

// Member identifies one incarnation of an entry instance; each join has a new epoch.
type Member struct {
	Entry model.EntryID
	Epoch uint64
}

// Demand is the part of a report about one target.
type Demand struct {
	Key TargetIncarnation
	// Held is the credit that the holder keeps until it receives the answer.
	Held int
	// InUse counts the slots in use, including those of abandoned requests.
	InUse int
	// Wanted is the number of further slots for which the holder has requests.
	Wanted int
	// Abandoned counts requests that the holder no longer waits for but that the target may
	// still run.
	Abandoned int
}

// Report is sent by a holder to an owner. Once a holder has sent a later report, it ignores the
// answer to an earlier one. The first report after the owner has acquired a target lists all
// targets of that owner; in later reports, a target that is not listed is unchanged.
type Report struct {
	From     Member
	To       Member
	Sequence uint64
	Demands  []Demand
}

// Grant is the owner's answer to one demand. There is none if the owner that received the
// report does not own the target.
type Grant struct {
	Key     TargetIncarnation
	Granted int
	// ValidFor counts from the moment the report was sent. If it is 0, the holder keeps its
	// present credit until that expires.
	ValidFor time.Duration
	// Running and HeartbeatAge are set for a demand with abandoned requests: the holder's slots
	// in the latest heartbeat of the target, and the age of that heartbeat. They are meaningful
	// only if HasHeartbeat is set.
	HasHeartbeat bool
	Running      []string
	HeartbeatAge time.Duration
}

// Heartbeat is sent by a target and lists the requests that it runs, by holder.
type Heartbeat struct {
	Key      TargetIncarnation
	Sequence uint64
	Running  map[Member][]string
}

// Handover is sent by an owner that lost a target to the new owner. The sender grants no slots
// of the target after it.
type Handover struct {
	From Member
	Key  TargetIncarnation
	// Wait is how long credits granted by the owners that preceded the sender may still be valid.
	Wait    time.Duration
	Holders []HandoverHolder
	// Pending lists members that may use slots that the sender does not know of.
	Pending []Member
	// Unknown is set while former members may use slots that the sender does not know of.
	Unknown bool
}

// HandoverHolder is the state of one holder in a handover.
type HandoverHolder struct {
	Member Member
	// Bound is the largest number of slots that the holder uses or may still take.
	Bound    int
	ValidFor time.Duration // remaining validity of the credit
}
