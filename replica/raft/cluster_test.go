package raft

import (
	"fmt"
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

// choose returns a number below n. In the property test rapid draws it, so that
// a failing run can be minimized; other tests use a seeded generator or a
// constant.
type choose func(n int) int

// disk is the durable data of a replica, which survives a crash.
type disk struct {
	hard     HardState
	snapshot Snapshot
	applied  []Entry // content of the snapshot: all entries applied up to it
	entries  []Entry // log entries after the snapshot
}

// write applies w as a durable write.
func (d *disk) write(w Write) {
	if w.Hard != nil {
		d.hard = *w.Hard
	}
	if w.Install != nil {
		d.snapshot, d.entries, d.applied = *w.Install, nil, w.Install.Data.([]Entry)
	}
	if len(w.Entries) > 0 {
		keep := w.Entries[0].Index - d.snapshot.Index - 1
		d.entries = append(slices.Clone(d.entries[:keep]), w.Entries...)
	}
}

// simReplica is one replica of the simulated cluster.
type simReplica struct {
	state   State
	disk    disk
	pending []Write // issued but not synced yet
	applied []Entry
}

// packet is a message in transit, or a snapshot transfer if snap is set.
type packet struct {
	msg  Message
	snap *Snapshot
}

// cluster simulates several replicas and their network, injects faults and checks
// the safety rules.
type cluster struct {
	now        time.Time
	choose     choose
	rules      disabledRules
	ids        []model.ReplicaID
	replicas   map[model.ReplicaID]*simReplica
	packets    []packet
	blocked    map[[2]model.ReplicaID]bool
	leaders    map[model.Term]model.ReplicaID // the leader elected in each term
	committed  map[model.Index]Entry          // entries committed on any replica
	proposed   int                            // number of proposed commands
	diskLost   bool
	faultHeavy bool // replace the rarer faults by crashes and blocked links
	err        error
}

func newCluster(choice choose, voters int, rules disabledRules) *cluster {
	c := &cluster{
		now: time.Unix(1_000_000, 0), choose: choice, rules: rules, replicas: map[model.ReplicaID]*simReplica{},
		blocked: map[[2]model.ReplicaID]bool{}, leaders: map[model.Term]model.ReplicaID{}, committed: map[model.Index]Entry{},
	}
	var members Membership
	for i := range voters {
		id := model.ReplicaID(fmt.Sprintf("r%d/1", i+1))
		c.add(id)
		members = append(members, Member{ID: id, Address: ReplicaName(id), Voter: true})
	}
	c.step(c.ids[0], Bootstrap{Members: members})
	c.sync(c.ids[0])
	return c
}

func (c *cluster) add(id model.ReplicaID) {
	c.ids = append(c.ids, id)
	c.replicas[id] = &simReplica{}
	c.restart(id)
}

func (c *cluster) restart(id model.ReplicaID) {
	a := c.replicas[id]
	cfg := DefaultConfig(id)
	cfg.MaxAppendBytes, cfg.MaxInflight = 100, 8 // small, to split batches
	a.pending, a.applied = nil, slices.Clone(a.disk.applied)
	a.state = New(cfg, c.now, uint64(c.choose(1<<30)*16+slices.Index(c.ids, id)), Recovered{
		Hard: a.disk.hard, SnapshotIndex: a.disk.snapshot.Index, SnapshotTerm: a.disk.snapshot.Term,
		Members: a.disk.snapshot.Members, Clock: a.disk.snapshot.Clock, Entries: slices.Clone(a.disk.entries),
	})
	a.state.rules = c.rules
}

func (c *cluster) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

// step passes an input to a replica and then ends the batch with Flush, as the
// loop of a real replica does.
func (c *cluster) step(id model.ReplicaID, in Input) *Proposed {
	a := c.replicas[id]
	var out Effects
	a.state, out = a.state.Step(c.now, in)
	proposed := out.Proposed
	c.effects(id, out)
	a.state, out = a.state.Step(c.now, Flush{})
	c.effects(id, out)
	return proposed
}

func (c *cluster) effects(id model.ReplicaID, out Effects) {
	a := c.replicas[id]
	a.pending = append(a.pending, out.Writes...)
	for _, m := range out.Messages {
		c.packets = append(c.packets, packet{msg: m})
	}
	if out.Restore != nil {
		a.applied = slices.Clone(out.Restore.Data.([]Entry))
	}
	for _, e := range out.Committed {
		c.commit(id, e)
	}
	for _, to := range out.SendSnapshots {
		snap, ok := a.state.SnapshotMetadata(model.Index(len(a.applied)), 0)
		if !ok {
			c.fail("%s: the log has no term for the last applied index", id)
			return
		}
		snap.Data = slices.Clone(a.applied)
		c.packets = append(c.packets, packet{Message{From: id, To: to, Term: a.state.hard.Term}, &snap})
	}
	for _, n := range out.Notices {
		c.notice(id, n)
	}
}

// commit applies a committed entry on a replica. It checks that indexes are
// contiguous, that time and term do not decrease, and that no committed entry
// changes.
func (c *cluster) commit(id model.ReplicaID, e Entry) {
	a := c.replicas[id]
	if e.Index != model.Index(len(a.applied))+1 {
		c.fail("%s applied index %d after %d entries", id, e.Index, len(a.applied))
	}
	if n := len(a.applied); n > 0 && (e.Time < a.applied[n-1].Time || e.Term < a.applied[n-1].Term) {
		c.fail("%s: time or term decreases at index %d", id, e.Index)
	}
	if old, ok := c.committed[e.Index]; ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		c.fail("committed entry %d changed from %q (term %d) to %q (term %d)", e.Index, old.Data, old.Term, e.Data, e.Term)
	}
	c.committed[e.Index] = e
	a.applied = append(a.applied, e)
}

func (c *cluster) notice(id model.ReplicaID, n Notice) {
	switch n.Kind {
	case BecameLeader:
		if other, ok := c.leaders[n.Term]; ok && other != id {
			c.fail("%s and %s are both leaders in term %d", other, id, n.Term)
		}
		c.leaders[n.Term] = id
	case LogConflict:
		c.fail("%s: the leader's log conflicts with a committed entry", id)
	case PeerLostEntries:
		c.fail("%s refuses %s, but no durable entry was lost", id, n.Peer)
	}
}

// sync makes the pending writes of a replica durable.
func (c *cluster) sync(id model.ReplicaID) {
	a := c.replicas[id]
	if len(a.pending) == 0 {
		return
	}
	seq := a.pending[len(a.pending)-1].Seq
	for _, p := range a.pending {
		a.disk.write(p)
	}
	a.pending = nil
	c.step(id, Persisted{Seq: seq})
}

// deliver delivers the packet at position i, or drops it if its link is blocked.
// If duplicate is set, the packet also stays in the network.
func (c *cluster) deliver(i int, duplicate bool) {
	p := c.packets[i]
	if !duplicate {
		c.packets = slices.Delete(c.packets, i, i+1)
	}
	lost := c.replicas[p.msg.To] == nil || c.blocked[[2]model.ReplicaID{p.msg.From, p.msg.To}]
	switch {
	case lost:
		c.refuse(p.msg)
	case p.snap == nil:
		c.step(p.msg.To, Receive{p.msg})
	default:
		c.step(p.msg.To, SnapshotReceived{From: p.msg.From, Term: p.msg.Term, Snapshot: *p.snap})
	}
	c.endTransfer(p)
}

// refuse reports to the sender of a message which replica serves at the address that it was sent
// to, if that is another incarnation. It does nothing while the link is blocked.
func (c *cluster) refuse(msg Message) {
	if c.replicas[msg.To] != nil || c.replicas[msg.From] == nil || c.blocked[[2]model.ReplicaID{msg.From, msg.To}] {
		return
	}
	name := ReplicaName(msg.To)
	for _, id := range c.ids {
		if ReplicaName(id) == name {
			c.step(msg.From, Superseded{ID: msg.To, By: Member{ID: id, Address: name}, AskedAt: c.now})
			return
		}
	}
}

// endTransfer reports the end of a snapshot transfer, delivered or lost, to its
// sender.
func (c *cluster) endTransfer(p packet) {
	if p.snap != nil && c.replicas[p.msg.From] != nil {
		c.step(p.msg.From, SnapshotSent{Peer: p.msg.To})
	}
}

func (c *cluster) advance(d time.Duration) {
	c.now = c.now.Add(d)
	for _, id := range c.ids {
		if at := c.replicas[id].state.Deadline(); !at.IsZero() && !at.After(c.now) {
			c.step(id, Tick{})
		}
	}
}

func (c *cluster) pick() model.ReplicaID { return c.ids[c.choose(len(c.ids))] }

func (c *cluster) leader() (model.ReplicaID, bool) {
	first := c.choose(len(c.ids))
	for i := range c.ids {
		if id := c.ids[(first+i)%len(c.ids)]; c.replicas[id].state.role == Leader {
			return id, true
		}
	}
	return "", false
}

func (c *cluster) propose() bool {
	id, ok := c.leader()
	if !ok {
		return false
	}
	c.proposed++
	c.step(id, Propose{Commands: []Command{{Data: fmt.Appendf(nil, "command %d", c.proposed)}}})
	return true
}

// crash restarts a replica without its pending writes, except for a random prefix
// of them that reached the disk.
func (c *cluster) crash(id model.ReplicaID) {
	a := c.replicas[id]
	for _, p := range a.pending[:c.choose(len(a.pending)+1)] {
		a.disk.write(p)
	}
	c.restart(id)
}

// compact saves a snapshot of the applied state and removes the log up to it or a
// few entries less.
func (c *cluster) compact(id model.ReplicaID) {
	a := c.replicas[id]
	index := model.Index(len(a.applied))
	snap, ok := a.state.SnapshotMetadata(index, a.state.clock)
	if !ok || len(a.pending) > 0 || index <= a.disk.snapshot.Index {
		return
	}
	a.disk.entries = slices.Clone(a.disk.entries[index-a.disk.snapshot.Index:])
	a.disk.snapshot, a.disk.applied = snap, slices.Clone(a.applied)
	c.step(id, Compact{Index: index - min(index, model.Index(c.choose(3)))})
}

// describe returns the status of all replicas for a failure message.
func (c *cluster) describe() string {
	s := fmt.Sprintf("%d committed", len(c.committed))
	for _, id := range c.ids {
		st := c.replicas[id].state.Status(c.now)
		s += fmt.Sprintf("\n%s %s term %d commit %d last %d base %d failed %t halted %t members %v",
			id, st.Role, st.Term, st.Commit, st.Last, st.Base, st.Failed, st.Halted, st.Members)
	}
	return s
}

// peer returns the replication progress of a peer, nil if there is none.
func (s State) peer(id model.ReplicaID) *peer {
	m := machine{State: s}
	return m.peer(id)
}
