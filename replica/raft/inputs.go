package raft

import (
	"time"

	"lacewingturn.example/core/model"
)

// Inputs of Step.
type (
	// Tick evaluates the timers: heartbeats of a leader, election timeouts of
	// other replicas.
	Tick struct{}
	// Flush ends a batch of inputs; a leader then sends the appended entries to
	// its peers.
	Flush struct{}
	// Receive handles a message from another replica.
	Receive struct{ Message Message }
	// Propose appends commands to the log. It is refused unless this replica is
	// the leader, and if more than MaxUncommitted entries or MaxUncommittedBytes would be
	// uncommitted.
	Propose struct{ Commands []Command }
	// Persisted reports that all writes up to Seq are durable.
	Persisted struct{ Seq uint64 }
	// StorageFailed reports that a write or sync of the storage failed.
	StorageFailed struct{}
	// Compact removes the log entries up to Index, which a durable snapshot must
	// cover.
	Compact struct{ Index model.Index }
	// SnapshotReceived handles a complete snapshot sent by the leader of Term.
	SnapshotReceived struct {
		From     model.ReplicaID
		Term     model.Term
		Snapshot Snapshot
	}
	// SnapshotSent reports the end, successful or not, of a snapshot transfer
	// requested by Effects.SendSnapshots.
	SnapshotSent struct{ Peer model.ReplicaID }
	// TransferLeadership transfers leadership to the voter with the highest
	// acknowledged index.
	TransferLeadership struct{}
	// Bootstrap writes the initial membership of a new site. It must be used on
	// exactly one replica of the site; a replica that has a log or members ignores
	// it.
	Bootstrap struct{ Members Membership }
	// ChangeMembership requests a change of one member of the membership.
	ChangeMembership struct {
		Kind   ChangeKind
		Member Member
	}
	// Join is the request of a replica to become a member or, if it is one, to
	// update its address and domain.
	Join struct{ Member Member }
	// Superseded reports that the address of the member ID is served by By, which states another
	// ID. AskedAt is when the connection that By answered was opened.
	Superseded struct {
		ID      model.ReplicaID
		By      Member
		AskedAt time.Time
	}
)

// Command is a proposed command in its encoded form, with its decoded value,
// which this package does not inspect.
type Command struct {
	Data  []byte
	Value any
}

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
	Update // changes address and domain
)

func (Tick) step(m *machine) { m.tick() }

func (Flush) step(m *machine) {
	if m.role == Leader {
		m.replicate()
	}
}

func (r Receive) step(m *machine) { m.receive(r.Message) }

func (p Propose) step(m *machine) {
	result := Proposed{}
	switch {
	case m.role != Leader:
		result.Refusal = RefusedNotLeader
	case m.log.Last()-m.commit+model.Index(len(p.Commands)) > m.cfg.MaxUncommitted, m.log.bytesAfter(m.commit) > m.cfg.MaxUncommittedBytes:
		result.Refusal = RefusedBusy
	default:
		result.First, result.Term = m.log.Last()+1, m.hard.Term
		entries := make([]Entry, len(p.Commands))
		for i, c := range p.Commands {
			entries[i] = Entry{Kind: KindCommand, Data: c.Data, Value: c.Value}
		}
		m.appendAsLeader(entries...)
	}
	m.out.Proposed = &result
}

func (c Compact) step(m *machine) {
	if c.Index > m.applied {
		return
	}
	m.log = m.log.compact(c.Index)
	base := 0
	for i, config := range m.memberships {
		if config.index <= c.Index {
			base = i
		}
	}
	m.memberships = append([]membershipAt(nil), m.memberships[base:]...)
}

func (s SnapshotSent) step(m *machine) {
	if p := m.peer(s.Peer); p != nil {
		p.snapshot = false
		p.probe(max(p.match, m.log.Base()) + 1)
	}
}

func (b Bootstrap) step(m *machine) {
	if m.log.Last() != 0 || len(m.Members()) != 0 {
		return
	}
	entry := Entry{Index: 1, Term: 0, Kind: KindMembership, Time: model.TimestampOf(m.now), Value: b.Members}
	m.log = m.log.append(entry)
	m.clock = entry.Time
	m.memberships = append(m.memberships, membershipAt{1, b.Members})
	m.write(Write{Entries: []Entry{entry}})
	m.electionAt = m.now
}

// Deadline returns the time at which the next Tick is due. It is zero if the
// replica has stopped because its storage failed or its log is invalid.
func (s State) Deadline() time.Time {
	if s.failed || s.halted {
		return time.Time{}
	}
	if s.role == Leader {
		return s.heartbeatAt
	}
	return s.electionAt
}
