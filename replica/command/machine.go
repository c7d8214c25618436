package command

import (
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica"
	"lacewingturn.example/replica/raft"
)

// Messages to the machine.
type (
	received struct{ messages []raft.Message }
	proposal struct {
		commands []raft.Command
		reply    chan<- []result.Result // takes one value without waiting
	}
	changeRequest struct {
		change raft.Change
		reply  chan<- []result.Result
	}
	written struct {
		seq     uint64
		adopted *raft.Snapshot
		err     error
	}
	prepared struct {
		snapshot raft.Snapshot
		err      error
	}
	snapshotReceived struct {
		input raft.SnapshotReceived
		done  chan<- struct{}
	}
	snapshotSent struct{ peer model.ReplicaID }
	joinRequest  struct{ member raft.Member }
	bootstrap    struct{ members raft.Membership }
	resign       struct{}
	// attached and detached announce an incoming stream that takes replies.
	attached struct {
		peer model.ReplicaID
		out  outlet
	}
	detached struct {
		peer model.ReplicaID
		out  outlet
	}
)

// machine is the control state of a replica. It implements loop.Machine.
type machine struct {
	r     *Replica
	raft  raft.State
	state model.State
	// backlog holds committed entries that are not applied yet.
	backlog []raft.Entry
	// flushedAt is the time of the last flush.
	flushedAt time.Time

	waiting  []*waiter // in the order of their first index
	finished []*waiter // their results are delivered after the next publication
	// queue holds writes for the next disk write; one is in flight at a time.
	queue   job
	writing bool
	// snapshotIndex is that of the last snapshot on disk.
	snapshotIndex model.Index
	snapshotting  bool
	appliedBytes  int // of commands applied since the last snapshot was begun
	sendingTo     map[model.ReplicaID]bool

	next      chan struct{} // closed at the next publication
	published publishedKey
}

var _ loop.Machine = (*machine)(nil)

func newMachine(r *Replica, state raft.State, applied model.State) *machine {
	return &machine{
		r: r, raft: state, state: applied, snapshotIndex: applied.Index,
		sendingTo: map[model.ReplicaID]bool{}, next: make(chan struct{}),
	}
}

// Handle implements loop.Machine.
func (m *machine) Handle(now time.Time, msg loop.Message) {
	switch msg := msg.(type) {
	case received:
		for _, one := range msg.messages {
			m.step(now, raft.Receive{Message: one})
		}
	case proposal:
		m.propose(now, raft.Propose{Commands: msg.commands}, len(msg.commands), msg.reply)
	case changeRequest:
		m.propose(now, msg.change, 1, msg.reply)
	case written:
		m.written(now, msg)
	case prepared:
		m.prepared(msg)
	case snapshotReceived:
		m.step(now, msg.input)
		close(msg.done)
	case snapshotSent:
		delete(m.sendingTo, msg.peer)
		m.step(now, raft.SnapshotSent{Peer: msg.peer})
	case joinRequest:
		m.step(now, raft.Join{Member: msg.member})
	case bootstrap:
		m.step(now, raft.Bootstrap{Members: msg.members})
	case attached:
		m.r.senders.replies[msg.peer] = msg.out
	case detached:
		m.r.senders.detach(msg)
	case resign:
		m.step(now, raft.Resign{})
	}
}

// Tick implements loop.Machine.
func (m *machine) Tick(now time.Time) { m.step(now, raft.Tick{}) }

// Deadline implements loop.Machine. It is past while entries wait to be applied.
func (m *machine) Deadline() time.Time {
	if len(m.backlog) > 0 {
		return m.flushedAt
	}
	return m.raft.Deadline()
}

// applyBatch is the number of entries that are applied before other messages
// are handled again. A replica that starts with a long log still answers
// heartbeats and votes in time.
const applyBatch = 64

// Flush implements loop.Machine.
func (m *machine) Flush(now time.Time) {
	m.flushedAt = now
	m.step(now, raft.Flush{})
	n := min(len(m.backlog), applyBatch)
	for _, e := range m.backlog[:n] {
		m.apply(e)
	}
	if m.backlog = m.backlog[n:]; len(m.backlog) == 0 {
		m.backlog = nil
	}
	m.startWrite()
	m.startSnapshot()
	m.publish(now)
	m.deliverResults(now)
}

// step lets the decisions take one input and carries out the effects.
func (m *machine) step(now time.Time, in raft.Input) *raft.Proposed {
	var out raft.Effects
	m.raft, out = m.raft.Step(now, in)
	m.queue.writes = append(m.queue.writes, out.Writes...)
	m.r.senders.post(out.Messages, m.address)
	if out.Restore != nil {
		m.restore(*out.Restore)
	}
	m.backlog = append(m.backlog, out.Committed...)
	for _, peer := range out.SendSnapshots {
		m.sendSnapshot(now, peer)
	}
	for _, n := range out.Notices {
		m.report(n)
	}
	return out.Proposed
}

// apply applies a committed entry and answers who waits for it.
func (m *machine) apply(e raft.Entry) {
	m.appliedBytes += len(e.Data)
	env := model.Envelope{Command: model.Noop{}}
	switch v := e.Value.(type) {
	case model.Envelope:
		env = v
	case raft.Membership:
		env.Command = model.SetReplicas{Replicas: replicaMembers(v)}
	}
	env.Time = e.Time
	if m.r.settings.Applied != nil {
		m.r.settings.Applied(Input{Before: m.state, Index: e.Index, Term: e.Term, Envelope: env})
	}
	var res result.Result
	m.state, res = command.Apply(m.state, e.Index, e.Term, env)
	m.answer(e, res)
}

func replicaMembers(members raft.Membership) []model.ReplicaMember {
	list := make([]model.ReplicaMember, len(members))
	for i, o := range members {
		list[i] = model.ReplicaMember{ID: o.ID, Address: o.Address, Domain: o.Domain, Voter: o.Voter}
	}
	return list
}

// address returns where a member is reached.
func (m *machine) address(id model.ReplicaID) string {
	if member, ok := m.raft.Members().Get(id); ok {
		return member.Address
	}
	for _, p := range *m.r.peers.Load() {
		if p.Name == raft.Name(id) {
			return p.Address
		}
	}
	return ""
}

// report logs a notice. Losing leadership ends the wait of proposers: their
// commands may still be committed by another leader.
func (m *machine) report(n raft.Notice) {
	fields := []zap.Field{zap.Uint64("term", uint64(n.Term))}
	if n.Peer != "" {
		fields = append(fields, zap.String("peer", string(n.Peer)))
	}
	kinds := map[raft.NoticeKind]event.Event{
		raft.BecameLeader: event.LeaderElected, raft.LostLeadership: event.LeadershipLost, raft.LostQuorum: event.QuorumLost,
		raft.FollowsLeader: event.LeaderFollowed, raft.LogWentBack: event.FollowerRefused, raft.RefusedByPeer: event.ReplicaRefused,
		raft.LogContradicts: event.LogContradicts, raft.MembershipChanged: event.MembershipChanged,
	}
	kinds[n.Kind].Log(m.r.log, fields...)
	switch n.Kind {
	case raft.LostLeadership:
		m.abandon()
	case raft.BecameLeader, raft.FollowsLeader:
		m.r.settings.Metrics.leaderChanged()
	}
}

// publishedKey is what a view is made of; equal keys need no new view.
type publishedKey struct {
	index   model.Index
	term    model.Term
	leader  model.ReplicaID
	role    raft.Role
	contact time.Time
	failed  bool
	members int
	last    model.Index
}

// publish stores a new view if anything in it has changed.
func (m *machine) publish(now time.Time) {
	st := m.raft.Status(now)
	key := publishedKey{m.state.Index, st.Term, st.Leader, st.Role, st.LeaderContact, st.Failed || st.Halted, len(st.Members), st.Last}
	if key == m.published && m.r.view.Load() != nil {
		return
	}
	m.published = key
	m.r.settings.Metrics.published(now, st, len(m.backlog), len(m.waiting))
	old := m.next
	m.next = make(chan struct{})
	v := &replica.View{
		ID: st.ID, State: m.state, Term: st.Term, Leader: st.Leader, IsLeader: st.Role == raft.Leader && m.state.Term == st.Term,
		LeaderSince: st.LeaderSince, QuorumContact: st.QuorumContact, LeaderContact: st.LeaderContact, Next: m.next,
	}
	if st.Leader != "" {
		v.LeaderAddress = m.address(st.Leader)
	}
	m.r.status.Store(&st)
	m.r.view.Store(v)
	close(old)
}
