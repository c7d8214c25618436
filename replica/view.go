// Package replica defines the interface of a control replica to other modules. Its
// subpackages implement the replication protocol, the storage, and the commands and
// queries.
package replica

import (
	"context"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/clock"
)

// View is an immutable snapshot of one replica, published by its loop.
type View struct {
	ID     model.ReplicaID
	State  model.State
	Term   model.Term
	Leader model.ReplicaID // empty if unknown
	// LeaderAddress is the address at which other processes of the system reach the
	// leader; empty if unknown.
	LeaderAddress string
	// IsLeader is set on the leader once its state includes an entry of its own
	// term. Before that, the state may lack entries committed by an earlier leader.
	IsLeader bool
	// LeaderSince is the time at which this replica became leader. It is set only on
	// the leader.
	LeaderSince time.Time
	// QuorumContact is the latest time at which a quorum is known to have followed
	// this leader. It is set only on the leader.
	QuorumContact time.Time
	// LeaderContact is the time of the last message from a leader. On the leader it
	// equals QuorumContact.
	LeaderContact time.Time
	// Next is closed when a newer view has been published.
	Next <-chan struct{}
}

// leaderContactTimeout is the time without contact with a leader after which a
// replica considers the leader lost. It is longer than an election takes.
const leaderContactTimeout = time.Second

// NoRecentLeader reports whether the replica is not the leader and has had no
// contact with a leader for longer than an election takes. It is then probably
// partitioned from the others.
func (v *View) NoRecentLeader(now time.Time) bool {
	return !v.IsLeader && now.Sub(v.LeaderContact) > leaderContactTimeout
}

// Replica is the interface of a control replica that other modules use.
type Replica interface {
	// Propose commits commands in order and returns their results. The result code
	// NotLeader, NoQuorum, Overloaded or Stopping means that the command was not
	// appended to the log; Unknown means that it may still be committed. A command that
	// cannot be encoded gets InvalidInput and does not hold up the others.
	Propose(ctx context.Context, commands []model.Envelope) ([]result.Result, error)
	// View returns the latest published view.
	View() *View
}

// EntryLiveness is the leader's record of the lease renewals of one entry instance.
type EntryLiveness struct {
	ID model.EntryID
	// Epoch is the log index of the instance's join. It distinguishes successive
	// processes with the same ID.
	Epoch uint64
	// Revision is the configuration revision that the instance has in force.
	Revision model.Revision
	// RenewedAt is the time at which the instance last renewed its membership lease;
	// zero if it has not done so since this replica became leader.
	RenewedAt time.Time
}

// Liveness provides the lease renewals of the entry instances. Entries returns an
// empty list on replicas that do not lead.
type Liveness interface{ Entries() []EntryLiveness }

// maxContactAge is the maximum age of the last quorum contact at which a leader may
// still act without asking the quorum. It is shorter than the minimum election
// timeout.
const maxContactAge = 450 * time.Millisecond

// IsConfirmedLeader reports whether the replica with view v is certainly still the
// leader: its state includes an entry of its own term, and a quorum has followed it
// recently and since the machine was last suspended.
func IsConfirmedLeader(v *View, d *clock.SuspendDetector, now time.Time) bool {
	return v.IsLeader && v.State.Term == v.Term && now.Sub(v.QuorumContact) < maxContactAge && d.StillValid(v.QuorumContact)
}
