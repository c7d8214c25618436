// Package raft implements elections, log replication, commitment and membership
// changes of the control replicas as a pure state machine: Step takes an input
// and the current time, and returns a new state and the effects to carry out.
// The package performs no I/O. Its random numbers come only from the seed in
// the state.
package raft

import (
	"strings"
	"time"

	"lacewingturn.example/core/model"
)

// Kind is the type of the content of a log entry.
type Kind uint8

// Kinds of log entries.
const (
	KindCommand    Kind = iota + 1 // a command of the control state
	KindNoop                       // appended by a new leader, so that it can commit an entry of its own term
	KindMembership                 // Value is a Membership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index model.Index
	Term  model.Term
	Kind  Kind
	Time  model.Timestamp // set by the leader; never earlier than the Time of the preceding entry
	Data  []byte          // encoded command; empty for the other kinds
	// Value is the decoded form of Data, or a Membership. This package does not
	// inspect commands.
	Value any
}

// size estimates the encoded size of the entry in a message, in bytes.
func (e Entry) size() int { return len(e.Data) + 32 }

// HardState is the term and vote of a replica. It must be durable before any
// reply that depends on it is sent.
type HardState struct {
	Term model.Term
	Vote model.ReplicaID // empty if the replica has not voted in Term
}

// Member describes one replica of a Membership.
type Member struct {
	ID      model.ReplicaID
	Address string
	Domain  model.Domain
	Voter   bool
	// Replaces is the ID of the lost incarnation that this learner replaces. A
	// learner with this field set is promoted automatically, without an operator.
	Replaces model.ReplicaID
}

// Membership is the list of members, sorted by ID.
type Membership []Member

// Get returns the member with the given ID, and false if there is none.
func (m Membership) Get(id model.ReplicaID) (Member, bool) {
	for _, member := range m {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voter reports whether id is a voting member.
func (m Membership) Voter(id model.ReplicaID) bool {
	member, ok := m.Get(id)
	return ok && member.Voter
}

// Voters returns the number of voting members.
func (m Membership) Voters() int {
	n := 0
	for _, member := range m {
		if member.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return m.Voters()/2 + 1 }

// ReplicaName returns the part of a replica ID before the slash. It stays the same
// when the replica loses its disk and starts again as a new incarnation.
func ReplicaName(id model.ReplicaID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}

// MessageType is the type of a protocol message.
type MessageType uint8

// Message types. The numbers are fixed by the wire format.
const (
	PreVote MessageType = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	TimeoutNow     // the receiver starts an election at once
	RejectFollower // the receiver's log has lost acknowledged entries and must not be used
)

// Message is a protocol message from one replica to another.
type Message struct {
	Type MessageType
	From model.ReplicaID
	To   model.ReplicaID
	// Term is the term of the sender. In a PreVote, and in a PreVoteReply that grants
	// it, it is the term of the election that would follow.
	Term model.Term
	// Index and LogTerm identify a log position. In an Append it is the position
	// preceding Entries, in a vote request the last entry of the sender's log. In
	// an AppendReply, Index is the matched position, or the position that was
	// rejected if Reject is set.
	Index   model.Index
	LogTerm model.Term
	// Commit is the leader's commit index in an Append. In an AppendReply with
	// Reject set, it is the last index of the sender's log.
	Commit model.Index
	Reject bool
	// Hint is set in an AppendReply with Reject set: the highest index at which
	// the sender's log may match the leader's.
	Hint model.Index
	// Context is the time at which the leader sent an Append, in nanoseconds since
	// New created the leader's state; the reply echoes it. In a Vote, the value 1
	// marks an election started by a leadership transfer.
	Context uint64
	Entries []Entry
}

// Config holds the timing and size limits of one replica.
type Config struct {
	ID model.ReplicaID
	// Heartbeat is the minimum interval between heartbeats of the leader.
	Heartbeat time.Duration
	// HeartbeatPerPeer, multiplied by the number of peers, is a second lower bound
	// of the heartbeat interval. It limits the traffic of an idle leader.
	HeartbeatPerPeer time.Duration
	// ElectionMin and ElectionMax bound the randomized election timeout. A leader
	// steps down after ElectionMin without contact with a quorum.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// ReplaceAfter is how long a member must be unreachable before a new
	// incarnation with the same name, or a learner with another name, may replace
	// it.
	ReplaceAfter time.Duration
	// RemoveLearnerAfter is how long a learner must be unreachable before it is removed. It is
	// admitted again when it comes back.
	RemoveLearnerAfter time.Duration
	// TargetVoters is the number of voters up to which replicas that join under
	// a new name are promoted automatically, without an operator. Additional
	// replicas stay learners until a voter is unreachable. If 0, no replica with
	// a new name is admitted.
	TargetVoters int
	// MaxAppendBytes limits the size of the entries in one message, in bytes. A
	// single larger entry is sent alone.
	MaxAppendBytes int
	// MaxInflight limits the number of entries sent to a follower but not yet
	// acknowledged.
	MaxInflight model.Index
	// MaxUncommitted limits the number of entries that a leader has appended but
	// not yet committed.
	MaxUncommitted model.Index
	// MaxUncommittedBytes is the size of the entries that are not committed above which a leader
	// appends no more, in bytes.
	MaxUncommittedBytes int
}

// DefaultConfig returns the configuration for replica id with the values
// documented in docs/design.md.
func DefaultConfig(id model.ReplicaID) Config {
	return Config{
		ID: id, Heartbeat: 150 * time.Millisecond, HeartbeatPerPeer: 40 * time.Millisecond,
		ElectionMin: 500 * time.Millisecond, ElectionMax: 900 * time.Millisecond,
		ReplaceAfter: 3 * time.Second, RemoveLearnerAfter: time.Minute, MaxAppendBytes: 256 << 10, MaxInflight: 4096, MaxUncommitted: 8192, MaxUncommittedBytes: 16 << 20,
	}
}
