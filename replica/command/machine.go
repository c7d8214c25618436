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

// Messages that the machine handles.
type (
	received struct{ messages []raft.Message }
	proposal struct {
		commands []raft.Command
		reply    chan<- []result.Result // has room for the one value that is sent
	}
	changeRequest struct {
		change raft.ChangeMembership
		reply  chan<- []result.Result
	}
	written struct {
		seq       uint64         // of the last write of the batch; 0 if the batch had none
		activated *raft.Snapshot // nil if the batch activated no snapshot
		err       error
	}
	prepared struct {
		snapshot raft.Snapshot
		err      error
	}
	snapshotReceived struct {
		input raft.SnapshotReceived
		done  chan<- struct{}
	}
	snapshotSent       struct{ peer model.ReplicaID }
	joinRequest        struct{ member raft.Member }
	superseded         struct{ input raft.Superseded }
	bootstrap          struct{ members raft.Membership }
	transferLeadership struct{}
	// streamOpened and streamClosed announce an incoming stream that accepts replies.
	streamOpened struct {
		peer    model.ReplicaID
		replies replyQueue
	}
	streamClosed struct {
		peer    model.ReplicaID
		replies replyQueue
	}
)

// machine holds the control state of a replica: the protocol state, the applied
// state and the operations in progress. It implements loop.StateMachine.
type machine struct {
	r     *Replica
	raft  raft.State
	state model.State
	// backlog holds the committed entries that have not been applied.
	backlog   []raft.Entry
	flushedAt time.Time

	pending   []*pendingProposal // ordered by first index
	completed []*pendingProposal // their results are delivered after the next view is published
	// queue accumulates the next batch of disk writes while one batch is in flight.
	queue   writeBatch
	writing bool
	// snapshotIndex is the index of the last snapshot on disk, or the applied index
	// at the last failed attempt to save one.
	snapshotIndex model.Index
	snapshotting  bool
	appliedBytes  int                      // size of the commands applied since the last snapshot was started
	transferring  map[model.ReplicaID]bool // followers to which a snapshot is being sent
	calls         *calls

	next    chan struct{} // closed when the next view is published
	lastKey viewKey
}

var _ loop.StateMachine = (*machine)(nil)

func newMachine(r *Replica, state raft.State, applied model.State) *machine {
	return &machine{
		r: r, raft: state, state: applied, snapshotIndex: applied.Index,
		transferring: map[model.ReplicaID]bool{}, next: make(chan struct{}), calls: newCalls(r.log, r.settings.Metrics),
	}
}

// Handle implements loop.StateMachine.
func (m *machine) Handle(now time.Time, msg loop.Message) {
	switch msg := msg.(type) {
	case received:
		for _, message := range msg.messages {
			m.step(now, raft.Receive{Message: message})
		}
	case proposal:
		m.propose(now, raft.Propose{Commands: msg.commands}, len(msg.commands), msg.reply)
	case changeRequest:
		m.propose(now, msg.change, 1, msg.reply)
	case written:
		m.handleWritten(now, msg)
	case prepared:
		m.handlePrepared(msg)
	case snapshotReceived:
		m.step(now, msg.input)
		close(msg.done)
	case snapshotSent:
		delete(m.transferring, msg.peer)
		m.step(now, raft.SnapshotSent{Peer: msg.peer})
	case joinRequest:
		m.step(now, raft.Join{Member: msg.member})
	case superseded:
		m.step(now, msg.input)
	case bootstrap:
		m.step(now, raft.Bootstrap{Members: msg.members})
	case streamOpened:
		m.r.senders.replies[msg.peer] = msg.replies
	case streamClosed:
		m.r.senders.removeStream(msg)
	case transferLeadership:
		m.step(now, raft.TransferLeadership{})
	}
}

// Tick implements loop.StateMachine.
func (m *machine) Tick(now time.Time) { m.step(now, raft.Tick{}) }

// Deadline implements loop.StateMachine. While the backlog is not empty it returns a
// time in the past, so that the loop continues to apply entries at once.
func (m *machine) Deadline() time.Time {
	if len(m.backlog) > 0 {
		return m.flushedAt
	}
	return m.raft.Deadline()
}

// applyBatch is the maximum number of entries that one flush applies. It lets a
// replica that starts with a long log respond to heartbeats and vote requests in
// time.
const applyBatch = 64

// applyBytes is the size of the commands, in bytes, after which a flush applies no more: the time
// that a command takes grows with its size.
const applyBytes = 128 << 10

// Flush implements loop.StateMachine.
func (m *machine) Flush(now time.Time) {
	m.flushedAt = now
	m.step(now, raft.Flush{})
	m.applyBacklog()
	m.startWrite()
	m.startSnapshot()
	m.publish(now)
	m.deliverResults(now)
}

// applyBacklog applies entries of the backlog, at least one and as many as applyBatch and
// applyBytes allow.
func (m *machine) applyBacklog() {
	n, size := 0, 0
	for n < min(len(m.backlog), applyBatch) && size < applyBytes {
		size += len(m.backlog[n].Data)
		m.apply(m.backlog[n])
		n++
	}
	if m.backlog = m.backlog[n:]; len(m.backlog) == 0 {
		m.backlog = nil
	}
}

// step passes one input to the protocol and carries out the effects.
func (m *machine) step(now time.Time, in raft.Input) *raft.Proposed {
	var out raft.Effects
	m.raft, out = m.raft.Step(now, in)
	m.queue.writes = append(m.queue.writes, out.Writes...)
	m.r.senders.send(out.Messages, m.address)
	if out.Restore != nil {
		m.restore(*out.Restore)
	}
	m.backlog = append(m.backlog, out.Committed...)
	for _, peer := range out.SendSnapshots {
		m.sendSnapshot(now, peer)
	}
	for _, n := range out.Notices {
		m.handleNotice(n)
	}
	return out.Proposed
}

// apply applies a committed entry and records its result for the proposer.
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
	if m.r.settings.BeforeApply != nil {
		m.r.settings.BeforeApply(AppliedCommand{Before: m.state, Index: e.Index, Term: e.Term, Envelope: env})
	}
	before := m.state.Catalog
	var res result.Result
	m.state, res = command.Apply(m.state, e.Index, e.Term, env)
	own := m.recordResult(e, res)
	m.calls.applied(before, m.state.Catalog, env.Command, res, own)
}

// replicaMembers converts a membership to the list that SetReplicas stores in the
// control state.
func replicaMembers(members raft.Membership) []model.ReplicaMember {
	list := make([]model.ReplicaMember, len(members))
	for i, member := range members {
		list[i] = model.ReplicaMember{ID: member.ID, Address: member.Address, Domain: member.Domain, Voter: member.Voter}
	}
	return list
}

// address returns the address of a replica from the membership or else from the
// peers; empty if the replica is unknown.
func (m *machine) address(id model.ReplicaID) string {
	if member, ok := m.raft.Members().Get(id); ok {
		return member.Address
	}
	for _, p := range *m.r.peers.Load() {
		if p.Name == raft.ReplicaName(id) {
			return p.Address
		}
	}
	return ""
}

// handleNotice logs a notice. A loss of leadership completes the pending proposals with
// Unknown, because another leader may still commit their commands.
func (m *machine) handleNotice(n raft.Notice) {
	fields := []zap.Field{zap.Uint64("term", uint64(n.Term))}
	if n.Peer != "" {
		fields = append(fields, zap.String("peer", string(n.Peer)))
	}
	kinds := map[raft.NoticeKind]event.Event{
		raft.BecameLeader: event.LeaderElected, raft.LeaderLost: event.LeadershipLost, raft.LostQuorum: event.QuorumLost,
		raft.LeaderDiscovered: event.LeaderFollowed, raft.PeerLostEntries: event.FollowerRefused, raft.RefusedByPeer: event.ReplicaRefused,
		raft.LogConflict: event.LogContradicts, raft.MembershipChanged: event.MembershipChanged,
		raft.MemberSuperseded: event.MemberSuperseded,
	}
	kinds[n.Kind].Log(m.r.log, fields...)
	switch n.Kind {
	case raft.LeaderLost:
		m.failPending()
	case raft.BecameLeader, raft.LeaderDiscovered:
		m.r.settings.Metrics.leaderChanged()
	}
}

// viewKey identifies the contents of a view. A view with an equal key is not
// published again.
type viewKey struct {
	index   model.Index
	term    model.Term
	leader  model.ReplicaID
	role    raft.Role
	contact time.Time
	failed  bool
	members int
	last    model.Index
}

// publish stores a new view if its key has changed and closes the Next channel of
// the previous view.
func (m *machine) publish(now time.Time) {
	status := m.raft.Status(now)
	key := viewKey{m.state.Index, status.Term, status.Leader, status.Role, status.LeaderContact, status.Failed || status.Halted, len(status.Members), status.Last}
	if key == m.lastKey && m.r.view.Load() != nil {
		return
	}
	m.lastKey = key
	m.r.settings.Metrics.observeView(now, status, len(m.backlog), len(m.pending))
	m.r.settings.Metrics.observeStored(m.state.StoredBytes(), m.r.settings.WorkloadBudget)
	old := m.next
	m.next = make(chan struct{})
	v := &replica.View{
		ID: status.ID, State: m.state, Term: status.Term, Leader: status.Leader, IsLeader: status.Role == raft.Leader && m.state.Term == status.Term,
		LeaderSince: status.LeaderSince, QuorumContact: status.QuorumContact, LeaderContact: status.LeaderContact, Next: m.next,
	}
	if status.Leader != "" {
		v.LeaderAddress = m.address(status.Leader)
	}
	m.r.status.Store(&status)
	m.r.view.Store(v)
	close(old)
}
