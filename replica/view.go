// Package replica is the replicated control state: its subpackages hold the
// replication decisions, the storage, and the command and query halves of its
// interfaces.
package replica

import (
	"context"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/clock"
)

// View is an immutable picture of one replica, published by its loop.
type View struct {
	ID            model.ReplicaID
	State         model.State
	Term          model.Term
	Leader        model.ReplicaID // empty if unknown
	LeaderAddress string
	// IsLeader is set on the leader once its state holds an entry of its own term.
	// Before that it may lack entries that an earlier leader has committed.
	IsLeader bool
	// LeaderSince is when this replica became leader, if it is.
	LeaderSince time.Time
	// QuorumContact is, on the leader, the latest time for which a quorum is
	// known to have followed it.
	QuorumContact time.Time
	// LeaderContact is when this replica last heard from a leader; on the
	// leader it equals QuorumContact.
	LeaderContact time.Time
	// Next is closed when a newer view has been published.
	Next <-chan struct{}
}

// lostAfter is how long a replica hears of no leader before it takes the leader
// for lost. It is longer than an election takes.
const leaderLostTimeout = time.Second

// LeaderLost reports whether the replica neither leads nor has heard of a leader
// for longer than an election takes: it is probably cut off.
func (v *View) LeaderLost(now time.Time) bool {
	return !v.IsLeader && now.Sub(v.LeaderContact) > leaderLostTimeout
}

// Replica is what the other modules use of a control replica.
type Replica interface {
	// Propose commits commands in order and returns their results. A result
	// code of NotLeader or NoQuorum means that the command was not appended;
	// Unknown means that it may still be committed.
	Propose(ctx context.Context, commands []model.Envelope) ([]result.Result, error)
	// View returns the latest published view.
	View() *View
}

// EntryLiveness is what the leader knows about one entry instance.
type EntryLiveness struct {
	ID    model.EntryID
	Epoch uint64
	// Revision is the configuration revision that the instance has in force.
	Revision model.Revision
	// RenewedAt is when the instance last renewed its membership; zero if not
	// since this replica became leader.
	RenewedAt time.Time
}

// Liveness gives the leader's picture of the entry instances; it is empty on
// other replicas.
type Liveness interface{ Entries() []EntryLiveness }

// freshContact is how recently a quorum must have followed a leader that acts
// alone. It is shorter than the shortest election timeout.
const maxContactAge = 450 * time.Millisecond

// Leads reports whether the replica with the view certainly leads: a quorum has
// followed it lately, and since the machine was last suspended, and its state
// holds an entry of its own term.
func Leads(v *View, g *clock.Guard, now time.Time) bool {
	return v.IsLeader && v.State.Term == v.Term && now.Sub(v.QuorumContact) < maxContactAge && g.Trusted(v.QuorumContact)
}
