package raft

import (
	"math"
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

// Role is the role of a replica in its current term.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role as it is logged.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[min(int(r), 3)]
}

// State is the complete protocol state of one replica. Only Step changes it. A
// State must not be used again after Step was called on it.
type State struct {
	cfg     Config
	started time.Time
	seed    uint64

	hard        HardState
	log         Log
	commit      model.Index
	applied     model.Index // last index returned in Effects.Committed
	memberships []membershipAt
	clock       model.Timestamp // highest Time of the entries appended or covered by a snapshot so far

	role          Role
	leader        model.ReplicaID
	lastLeader    model.ReplicaID // the leader that this replica last followed; empty if none
	leaderContact time.Time       // when its last message arrived
	leaderSince   time.Time
	electionAt    time.Time
	campaignAt    time.Time // when this replica requested votes in this term
	heartbeatAt   time.Time
	granted       []model.ReplicaID // replicas that granted their vote or pre-vote in the current campaign
	transfer      bool              // this replica campaigns after a TimeoutNow; reset when it becomes follower or leader
	peers         []peer

	writes   durability
	deferred []deferredMessage
	failed   bool // a storage write failed
	halted   bool // the log conflicts with the leader's or has lost acknowledged entries

	// rules lets tests disable a safety rule, to show that their checks detect
	// the violation.
	rules disabledRules
}

// disabledRules selects safety rules that are not applied. Only tests set it.
type disabledRules struct {
	replyBeforeSync    bool // send replies before the write that they depend on is durable
	commitAnyTerm      bool // commit entries of earlier terms by counting replicas
	voteForStaleLog    bool // vote for candidates whose log is not up to date
	overlappingChanges bool // change the membership before the previous change is committed
}

// membershipAt is a membership and the index of its log entry.
type membershipAt struct {
	index   model.Index
	members Membership
}

// Recovered is the durable state that a replica reads from its storage at start.
type Recovered struct {
	Hard HardState
	// SnapshotIndex, SnapshotTerm, Members and Clock are the metadata of the
	// snapshot. They are zero if there is none.
	SnapshotIndex model.Index
	SnapshotTerm  model.Term
	Members       Membership
	Clock         model.Timestamp
	Entries       []Entry
}

// New returns the state of a replica that starts at time now with the durable
// state r. The seed determines its randomized election timeouts.
func New(cfg Config, now time.Time, seed uint64, r Recovered) State {
	s := State{
		cfg: cfg, started: now, seed: seed, hard: r.Hard,
		log: NewLog(r.SnapshotIndex, r.SnapshotTerm, r.Entries), commit: r.SnapshotIndex, applied: r.SnapshotIndex, clock: r.Clock,
		memberships: []membershipAt{{r.SnapshotIndex, r.Members}},
	}
	for _, e := range r.Entries {
		s.clock = max(s.clock, e.Time)
		if e.Kind == KindMembership {
			s.memberships = append(s.memberships, membershipAt{e.Index, e.Value.(Membership)})
		}
	}
	s.writes.durable = s.log.Last()
	m := machine{State: s, now: now}
	m.resetElection()
	return m.State
}

// Effects are the actions that the caller of Step must carry out, in the order of
// the fields. It need not wait until the writes are durable.
type Effects struct {
	// Writes must be made durable in order. The caller reports their completion
	// with the input Persisted.
	Writes []Write
	// Messages may be sent at once. A message that depends on a write is returned
	// only after the write was reported as durable.
	Messages []Message
	// Restore, if set, is a snapshot that replaces the applied state.
	Restore *Snapshot
	// Committed are newly committed entries, to be applied in order. Each entry is
	// returned exactly once.
	Committed []Entry
	// SendSnapshots lists the followers that need a snapshot because their next
	// entry is no longer in the log.
	SendSnapshots []model.ReplicaID
	// Proposed is the result of a Propose or ChangeMembership input; nil after other
	// inputs.
	Proposed *Proposed
	Notices  []Notice
}

// Write is one change of the durable state. An entry whose index is already in
// the log replaces that entry and all entries after it.
type Write struct {
	// Seq numbers the writes from 1 on. The input Persisted refers to it.
	Seq     uint64
	Hard    *HardState
	Entries []Entry
	// Install, if set, is a snapshot that replaces the whole log.
	Install *Snapshot
}

// Snapshot is the applied state at a log index.
type Snapshot struct {
	Index   model.Index
	Term    model.Term
	Members Membership
	Clock   model.Timestamp // latest Time of an entry up to Index
	Data    any             // not inspected by this package
}

// Proposed is the result of a Propose or ChangeMembership input.
type Proposed struct {
	Refusal Refusal     // Appended if the entries were appended
	First   model.Index // index of the first appended entry
	Term    model.Term  // term of the appended entries
}

// Refusal is the reason why nothing was appended, or Appended.
type Refusal uint8

// Values of Refusal.
const (
	Appended Refusal = iota
	RefusedNotLeader
	RefusedBusy // too many uncommitted entries
	// RefusedChange means that the change is not valid, another membership change is
	// in progress, the leader has not committed an entry of its term yet, or no
	// quorum of the new membership is reachable.
	RefusedChange
)

// Notice reports a state change that the caller should log.
type Notice struct {
	Kind NoticeKind
	Peer model.ReplicaID // the other replica concerned, if any
	Term model.Term
}

// NoticeKind is the type of a Notice.
type NoticeKind uint8

// Kinds of notices.
const (
	BecameLeader      NoticeKind = iota + 1
	LeaderLost                   // this replica stepped down, or its election timeout expired while it followed a leader
	LostQuorum                   // this leader steps down because a quorum was out of contact for ElectionMin
	LeaderDiscovered             // Peer is now known as the leader of the term
	PeerLostEntries              // the leader refuses Peer, whose log has lost acknowledged entries
	RefusedByPeer                // this replica was refused and has halted
	LogConflict                  // the leader's log conflicts with a committed entry; this replica has halted
	MembershipChanged            // a new membership is in effect
	MemberSuperseded             // another incarnation serves at the address of the member Peer, whose disk is therefore lost
)

// machine is a State during one Step, with the effects accumulated so far.
type machine struct {
	State
	now time.Time
	out Effects
}

// Input is an input of Step: one of the types in inputs.go.
type Input interface{ step(m *machine) }

// Step applies one input at time now and returns the new state and the effects.
// A failed or halted replica refuses a Propose and ignores all other inputs.
func (s State) Step(now time.Time, in Input) (State, Effects) {
	m := machine{State: s, now: now}
	if m.failed || m.halted {
		if p, ok := in.(Propose); ok {
			p.step(&m)
		}
		return m.State, m.out
	}
	m.peers = slices.Clone(s.peers)
	in.step(&m)
	m.deliver()
	return m.State, m.out
}

// deliver adds the entries committed since the last step to the effects.
func (m *machine) deliver() {
	if m.commit > m.applied {
		m.out.Committed = m.log.Slice(m.applied, m.commit, math.MaxInt)
		m.applied = m.commit
	}
}

func (m *machine) notice(kind NoticeKind, peer model.ReplicaID) {
	m.out.Notices = append(m.out.Notices, Notice{Kind: kind, Peer: peer, Term: m.hard.Term})
}

// random returns a pseudo-random number below n, generated from the seed with
// splitmix64.
func (m *machine) random(n uint64) uint64 {
	m.seed += 0x9e3779b97f4a7c15
	z := m.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return (z ^ z>>31) % n
}

func (m *machine) resetElection() {
	spread := uint64(m.cfg.ElectionMax - m.cfg.ElectionMin)
	m.electionAt = m.now.Add(m.cfg.ElectionMin + time.Duration(m.random(spread+1)))
}
