package raft

import (
	"math"
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

// Role is the part that a replica plays in its term.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[min(int(r), 3)]
}

// State is all that one replica knows. It is changed only by Step. A state that
// was given to Step must not be stepped a second time.
type State struct {
	cfg     Config
	started time.Time
	seed    uint64

	hard    HardState
	log     Log
	commit  model.Index
	applied model.Index // handed over in Effects.Committed
	configs []configAt
	clock   model.Timestamp // of the last appended entry

	role          Role
	leader        model.ReplicaID
	leaderContact time.Time
	leaderSince   time.Time
	electionAt    time.Time
	campaignAt    time.Time // when the votes of this term were asked for
	heartbeatAt   time.Time
	granted       []model.ReplicaID
	transfer      bool
	peers         []peer

	writes   durability
	deferred []deferredMessage
	failed   bool
	halted   bool

	// rules lets tests break a safety rule to show that their checks find it.
	rules disabledRules
}

// brokenRules is set by tests only.
type disabledRules struct {
	replyBeforeSync    bool // send answers before the write that they depend on
	commitAnyTerm      bool // commit entries of earlier terms by counting
	voteForStaleLog    bool // vote for candidates whose log is behind
	overlappingChanges bool // change the membership before the last change is committed
}

// configAt is a membership and the index of the entry that holds it.
type configAt struct {
	index   model.Index
	members Membership
}

// Recovered is what a replica reads from its storage at start.
type Recovered struct {
	Hard HardState
	// SnapshotIndex, SnapshotTerm and Members describe the snapshot; zero if none.
	SnapshotIndex model.Index
	SnapshotTerm  model.Term
	Members       Membership
	Clock         model.Timestamp
	Entries       []Entry
}

// New returns the state of a replica that has just started. The seed decides
// its random timeouts.
func New(cfg Config, now time.Time, seed uint64, r Recovered) State {
	s := State{
		cfg: cfg, started: now, seed: seed, hard: r.Hard,
		log: NewLog(r.SnapshotIndex, r.SnapshotTerm, r.Entries), commit: r.SnapshotIndex, applied: r.SnapshotIndex, clock: r.Clock,
		configs: []configAt{{r.SnapshotIndex, r.Members}},
	}
	for _, e := range r.Entries {
		s.clock = max(s.clock, e.Time)
		if e.Kind == KindMembership {
			s.configs = append(s.configs, configAt{e.Index, e.Value.(Membership)})
		}
	}
	s.writes.durable = s.log.Last()
	m := machine{State: s, now: now}
	m.resetElection()
	return m.State
}

// Effects are what the caller has to carry out, in this order of fields.
type Effects struct {
	// Writes must reach the disk in order; Persisted reports them.
	Writes   []Write
	Messages []Message
	// Restore replaces the applied state by that of a snapshot.
	Restore *Snapshot
	// Committed entries are applied in order, each exactly once.
	Committed []Entry
	// SendSnapshots lists followers whose next entry is no longer in the log.
	SendSnapshots []model.ReplicaID
	Proposed      *Proposed
	Notices       []Notice
}

// Write is one change of the durable state. An entry whose index is already
// in the log replaces it and all entries after it.
type Write struct {
	Seq     uint64
	Hard    *HardState
	Entries []Entry
	// Install replaces the whole log by a snapshot.
	Install *Snapshot
}

// Snapshot is the applied state at a position of the log.
type Snapshot struct {
	Index   model.Index
	Term    model.Term
	Members Membership
	Clock   model.Timestamp
	Data    any // opaque here
}

// Proposed answers a proposal or a membership change.
type Proposed struct {
	Refusal Refusal // Appended if the entries were appended
	First   model.Index
	Term    model.Term
}

// Refusal is why nothing was appended.
type Refusal uint8

// Reasons for a refusal.
const (
	Appended Refusal = iota
	RefusedNotLeader
	RefusedBusy   // too many entries wait for a quorum
	RefusedChange // another membership change is in progress or the change is not valid
)

// Notice reports a change worth logging.
type Notice struct {
	Kind NoticeKind
	Peer model.ReplicaID
	Term model.Term
}

// NoticeKind tells notices apart.
type NoticeKind uint8

// Kinds of notices.
const (
	BecameLeader NoticeKind = iota + 1
	LostLeadership
	LostQuorum
	FollowsLeader
	LogWentBack   // the leader refuses Peer
	RefusedByPeer // this replica was refused and has halted
	LogContradicts
	MembershipChanged
)

// machine is a state that is being stepped and the effects so far.
type machine struct {
	State
	now time.Time
	out Effects
}

// Input is what Step takes: one of the types in inputs.go.
type Input interface{ step(m *machine) }

// Step applies one input at the given time.
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

// deliver hands over what was committed since the last step.
func (m *machine) deliver() {
	if m.commit > m.applied {
		m.out.Committed = m.log.Slice(m.applied, m.commit, math.MaxInt)
		m.applied = m.commit
	}
}

func (m *machine) notice(kind NoticeKind, peer model.ReplicaID) {
	m.out.Notices = append(m.out.Notices, Notice{Kind: kind, Peer: peer, Term: m.hard.Term})
}

// random returns a number below n from the seed (splitmix64).
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
