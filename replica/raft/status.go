package raft

import (
	"time"

	"lacewingturn.example/core/model"
)

// Status is a summary of a State for logging, metrics and other packages.
type Status struct {
	ID            model.ReplicaID
	Role          Role
	Term          model.Term
	Leader        model.ReplicaID // empty if unknown
	LeaderSince   time.Time
	LeaderContact time.Time
	QuorumContact time.Time   // set only on the leader
	Commit        model.Index // highest committed index
	Last          model.Index // index of the last log entry
	Base          model.Index // index of the snapshot that the log continues
	Members       Membership
	Failed        bool // a storage write failed
	Halted        bool // the log conflicts with the leader's or has lost acknowledged entries
}

// Status returns a summary of the state at time now.
func (s State) Status(now time.Time) Status {
	m := machine{State: s, now: now}
	st := Status{
		ID: s.cfg.ID, Role: s.role, Term: s.hard.Term, Leader: s.leader, LeaderContact: s.leaderContact,
		Commit: s.commit, Last: s.log.Last(), Base: s.log.Base(), Members: m.Members(), Failed: s.failed, Halted: s.halted,
	}
	if s.role == Leader {
		st.LeaderSince = s.leaderSince
		st.QuorumContact = m.quorumContact()
		st.LeaderContact = st.QuorumContact
	}
	return st
}

// SnapshotMetadata returns the metadata of a snapshot of the applied state at
// index. It returns false if the log no longer contains the term of index.
func (s State) SnapshotMetadata(index model.Index, clock model.Timestamp) (Snapshot, bool) {
	term, ok := s.log.Term(index)
	if !ok {
		return Snapshot{}, false
	}
	snap := Snapshot{Index: index, Term: term, Clock: clock}
	for _, c := range s.memberships {
		if c.index <= index {
			snap.Members = c.members
		}
	}
	return snap, true
}

// Members returns the membership in effect, which is the latest one in the log
// even if it is not committed yet.
func (s State) Members() Membership { return s.memberships[len(s.memberships)-1].members }

// KeepBefore returns the index up to which the log may be compacted so that at most so many
// entries before the given index remain, and about so many bytes of them.
func (s State) KeepBefore(index model.Index, entries, maxBytes int) model.Index {
	return s.log.keepBefore(index, entries, maxBytes)
}
