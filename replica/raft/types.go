// Package raft decides on elections, replication, commitment and membership of
// the control replicas. It is pure: an input and the current time give a new
// state and effects. It performs no I/O and draws no random numbers except from
// the seed in its state.
package raft

import (
	"strings"
	"time"

	"lacewingturn.example/core/model"
)

// Kind tells what a log entry holds.
type Kind uint8

// Kinds of log entries.
const (
	KindCommand    Kind = iota + 1 // a command of the control state
	KindNoop                       // appended by a new leader to commit in its own term
	KindMembership                 // Value is a Membership
)

// Entry is one position of the log.
type Entry struct {
	Index model.Index
	Term  model.Term
	Kind  Kind
	Time  model.Timestamp // stamped by the leader; never lower than that of the entry before
	Data  []byte          // encoded command; empty for the other kinds
	// Value is the decoded form of Data, or the Membership. Commands are opaque here.
	Value any
}

// size estimates the bytes that the entry takes in a message.
func (e Entry) size() int { return len(e.Data) + 32 }

// HardState must be durable before any answer that depends on it.
type HardState struct {
	Term model.Term
	Vote model.ReplicaID // empty if no vote was given in Term
}

// Member is a replica of the membership.
type Member struct {
	ID      model.ReplicaID
	Address string
	Domain  model.Domain
	Voter   bool
	// Replaces is the lost incarnation that a learner takes over from; a
	// learner with this field set is promoted without an operator.
	Replaces model.ReplicaID
}

// Membership lists the members in the order of their IDs.
type Membership []Member

// Get returns the member with the ID.
func (m Membership) Get(id model.ReplicaID) (Member, bool) {
	for _, member := range m {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voter reports whether id may vote.
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

// Quorum returns the number of voters that decide.
func (m Membership) Quorum() int { return m.Voters()/2 + 1 }

// Name returns the part of a replica ID that survives the loss of its disk.
func Name(id model.ReplicaID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}

// MessageType tells the messages of the protocol apart.
type MessageType uint8

// Message types. The numbers are fixed by the wire format.
const (
	PreVote MessageType = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	TimeoutNow // the receiver starts an election at once
	Refuse     // the receiver's log went back and must not be used
)

// Message is sent between replicas.
type Message struct {
	Type MessageType
	From model.ReplicaID
	To   model.ReplicaID
	Term model.Term
	// Index and LogTerm are the position before Entries in an Append, the last
	// position of the log in votes, and the matched or refused position in replies.
	Index   model.Index
	LogTerm model.Term
	// Commit is the leader's commit index in an Append. In a rejecting
	// AppendReply it is the last index of the log.
	Commit model.Index
	Reject bool
	// Hint is, in a rejected AppendReply, the highest index that may match.
	Hint model.Index
	// Context is the time at which a leader sent an Append, in nanoseconds since
	// the leader started; replies return it. In a Vote, 1 marks a handover.
	Context uint64
	Entries []Entry
}

// Config holds the constants of one replica.
type Config struct {
	ID model.ReplicaID
	// Heartbeat is the interval of messages from the leader.
	Heartbeat time.Duration
	// HeartbeatPerPeer raises the interval with the number of peers, so that the
	// traffic of an idle leader stays within its limit.
	HeartbeatPerPeer time.Duration
	// ElectionMin and ElectionMax bound the random election timeout. A leader
	// steps down after ElectionMin without contact to a quorum.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// ReplaceAfter is how long a member must be unreachable before another
	// incarnation of the same name may replace it.
	ReplaceAfter time.Duration
	// TargetVoters is the number of voters up to which replicas that ask for
	// admission under a new name become voters without an operator. Further ones
	// stay learners until a voter is unreachable. 0 admits no new names.
	TargetVoters int
	// MaxAppendBytes bounds the entries in one message.
	MaxAppendBytes int
	// MaxInflight bounds the entries sent to a follower but not yet acknowledged.
	MaxInflight model.Index
	// MaxUncommitted bounds the entries that wait for a quorum.
	MaxUncommitted model.Index
}

// Defaults returns the constants of docs/design.md for the replica.
func Defaults(id model.ReplicaID) Config {
	return Config{
		ID: id, Heartbeat: 150 * time.Millisecond, HeartbeatPerPeer: 40 * time.Millisecond,
		ElectionMin: 500 * time.Millisecond, ElectionMax: 900 * time.Millisecond,
		ReplaceAfter: 3 * time.Second, MaxAppendBytes: 256 << 10, MaxInflight: 4096, MaxUncommitted: 8192,
	}
}
