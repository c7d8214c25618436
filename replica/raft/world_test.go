package raft

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lacewingturn.example/core/model"
)

// choose returns a number below n. Property tests draw it, so that a failing
// run is reduced; the tests of broken rules take it from a seeded generator.
type choose func(n int) int

// disk is what survives a crash of a replica.
type disk struct {
	hard     HardState
	snapshot Snapshot
	applied  []Entry // state of the snapshot: everything applied up to it
	entries  []Entry // after the snapshot
}

// write applies w as a synced write.
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

// actor is one replica of the world.
type actor struct {
	state   State
	disk    disk
	pending []Write // issued but not synced
	applied []Entry
}

// packet is a message, or a snapshot transfer if snap is set.
type packet struct {
	msg  Message
	snap *Snapshot
}

// world drives several replicas through faults and checks the safety rules.
type world struct {
	now      time.Time
	choose   choose
	rules    brokenRules
	ids      []model.ReplicaID
	actors   map[model.ReplicaID]*actor
	packets  []packet
	cuts     map[[2]model.ReplicaID]bool
	leaders  map[model.Term]model.ReplicaID
	history  map[model.Index]Entry // committed on any replica
	proposed int
	wiped    bool
	stormy   bool
	err      error
}

func newWorld(c choose, voters int, rules brokenRules) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), choose: c, rules: rules, actors: map[model.ReplicaID]*actor{},
		cuts: map[[2]model.ReplicaID]bool{}, leaders: map[model.Term]model.ReplicaID{}, history: map[model.Index]Entry{},
	}
	var members Membership
	for i := range voters {
		id := model.ReplicaID(fmt.Sprintf("r%d/1", i+1))
		w.add(id)
		members = append(members, Member{ID: id, Address: string(id), Voter: true})
	}
	w.step(w.ids[0], Bootstrap{Members: members})
	w.sync(w.ids[0])
	return w
}

func (w *world) add(id model.ReplicaID) {
	w.ids = append(w.ids, id)
	w.actors[id] = &actor{}
	w.restart(id)
}

func (w *world) restart(id model.ReplicaID) {
	a := w.actors[id]
	cfg := Defaults(id)
	cfg.MaxAppendBytes, cfg.MaxInflight = 100, 8 // small, so that batches are split
	a.pending, a.applied = nil, slices.Clone(a.disk.applied)
	a.state = New(cfg, w.now, uint64(w.choose(1<<30)*16+slices.Index(w.ids, id)), Recovered{
		Hard: a.disk.hard, SnapshotIndex: a.disk.snapshot.Index, SnapshotTerm: a.disk.snapshot.Term,
		Members: a.disk.snapshot.Members, Clock: a.disk.snapshot.Clock, Entries: slices.Clone(a.disk.entries),
	})
	a.state.rules = w.rules
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// step gives a replica an input and then ends the batch, as the machine does.
func (w *world) step(id model.ReplicaID, in Input) *Proposed {
	a := w.actors[id]
	var out Effects
	a.state, out = a.state.Step(w.now, in)
	proposed := out.Proposed
	w.effects(id, out)
	a.state, out = a.state.Step(w.now, Flush{})
	w.effects(id, out)
	return proposed
}

func (w *world) effects(id model.ReplicaID, out Effects) {
	a := w.actors[id]
	a.pending = append(a.pending, out.Writes...)
	for _, m := range out.Messages {
		w.packets = append(w.packets, packet{msg: m})
	}
	if out.Restore != nil {
		a.applied = slices.Clone(out.Restore.Data.([]Entry))
	}
	for _, e := range out.Committed {
		w.commit(id, e)
	}
	for _, to := range out.SendSnapshots {
		snap, ok := a.state.SnapshotAt(model.Index(len(a.applied)), 0)
		if !ok {
			w.fail("%s cannot describe its applied state", id)
			return
		}
		snap.Data = slices.Clone(a.applied)
		w.packets = append(w.packets, packet{Message{From: id, To: to, Term: a.state.hard.Term}, &snap})
	}
	for _, n := range out.Notices {
		w.notice(id, n)
	}
}

// commit checks an entry that a replica applies.
func (w *world) commit(id model.ReplicaID, e Entry) {
	a := w.actors[id]
	if e.Index != model.Index(len(a.applied))+1 {
		w.fail("%s applies %d after %d entries", id, e.Index, len(a.applied))
	}
	if n := len(a.applied); n > 0 && (e.Time < a.applied[n-1].Time || e.Term < a.applied[n-1].Term) {
		w.fail("%s: time or term goes back at %d", id, e.Index)
	}
	if old, ok := w.history[e.Index]; ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		w.fail("committed entry %d changed from %q of term %d to %q of term %d", e.Index, old.Data, old.Term, e.Data, e.Term)
	}
	w.history[e.Index] = e
	a.applied = append(a.applied, e)
}

func (w *world) notice(id model.ReplicaID, n Notice) {
	switch n.Kind {
	case BecameLeader:
		if other, ok := w.leaders[n.Term]; ok && other != id {
			w.fail("%s and %s lead term %d", other, id, n.Term)
		}
		w.leaders[n.Term] = id
	case LogContradicts:
		w.fail("%s: the log of the leader contradicts a committed entry", id)
	case LogWentBack:
		w.fail("%s refuses %s, whose disk has lost nothing", id, n.Peer)
	}
}

// sync makes the issued writes of a replica durable.
func (w *world) sync(id model.ReplicaID) {
	a := w.actors[id]
	if len(a.pending) == 0 {
		return
	}
	seq := a.pending[len(a.pending)-1].Seq
	for _, p := range a.pending {
		a.disk.write(p)
	}
	a.pending = nil
	w.step(id, Persisted{Seq: seq})
}

// deliver takes the packet at position i from the network.
func (w *world) deliver(i int, keep bool) {
	p := w.packets[i]
	if !keep {
		w.packets = slices.Delete(w.packets, i, i+1)
	}
	lost := w.actors[p.msg.To] == nil || w.cuts[[2]model.ReplicaID{p.msg.From, p.msg.To}]
	switch {
	case lost:
	case p.snap == nil:
		w.step(p.msg.To, Receive{p.msg})
	default:
		w.step(p.msg.To, SnapshotReceived{From: p.msg.From, Term: p.msg.Term, Snapshot: *p.snap})
	}
	w.transferred(p)
}

// transferred ends a snapshot transfer, whether it arrived or not.
func (w *world) transferred(p packet) {
	if p.snap != nil && w.actors[p.msg.From] != nil {
		w.step(p.msg.From, SnapshotSent{Peer: p.msg.To})
	}
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, id := range w.ids {
		if at := w.actors[id].state.Deadline(); !at.IsZero() && !at.After(w.now) {
			w.step(id, Tick{})
		}
	}
}

func (w *world) pick() model.ReplicaID { return w.ids[w.choose(len(w.ids))] }

func (w *world) leader() (model.ReplicaID, bool) {
	first := w.choose(len(w.ids))
	for i := range w.ids {
		if id := w.ids[(first+i)%len(w.ids)]; w.actors[id].state.role == Leader {
			return id, true
		}
	}
	return "", false
}

func (w *world) propose() bool {
	id, ok := w.leader()
	if !ok {
		return false
	}
	w.proposed++
	w.step(id, Propose{Commands: []Command{{Data: fmt.Appendf(nil, "command %d", w.proposed)}}})
	return true
}

// crash loses what was not synced; a part of it may have reached the disk.
func (w *world) crash(id model.ReplicaID) {
	a := w.actors[id]
	for _, p := range a.pending[:w.choose(len(a.pending)+1)] {
		a.disk.write(p)
	}
	w.restart(id)
}

// compact saves the applied state and drops a part of the log.
func (w *world) compact(id model.ReplicaID) {
	a := w.actors[id]
	index := model.Index(len(a.applied))
	snap, ok := a.state.SnapshotAt(index, a.state.clock)
	if !ok || len(a.pending) > 0 || index <= a.disk.snapshot.Index {
		return
	}
	a.disk.entries = slices.Clone(a.disk.entries[index-a.disk.snapshot.Index:])
	a.disk.snapshot, a.disk.applied = snap, slices.Clone(a.applied)
	w.step(id, Compact{Index: index - min(index, model.Index(w.choose(3)))})
}

// change asks the leader for a random change of the membership. None is asked
// for while a lost replica is not replaced: with three replicas, a removal and
// a lost disk at the same time leave no quorum.
func (w *world) change() {
	id, ok := w.leader()
	if !ok || w.wiped && !w.replaced() {
		return
	}
	kind := ChangeKind(1 + w.choose(3))
	if kind == AddLearner && len(w.ids) < 6 {
		fresh := model.ReplicaID(fmt.Sprintf("r%d/1", len(w.ids)+1))
		w.add(fresh)
	}
	w.step(id, Change{Kind: kind, Member: Member{ID: w.pick(), Address: "a"}})
}

// wipe takes the disk of one follower, once; its next incarnation asks to join.
func (w *world) wipe() {
	id := w.pick()
	if w.wiped || w.actors[id].state.role == Leader || !w.safeWithout(id) {
		return
	}
	w.wiped = true
	w.ids = slices.DeleteFunc(w.ids, func(o model.ReplicaID) bool { return o == id })
	delete(w.actors, id)
	w.add(model.ReplicaID(Name(id) + "/2"))
}

// replaced reports whether the replica that lost its disk votes again.
func (w *world) replaced() bool {
	for _, id := range w.ids {
		_, incarnation, _ := strings.Cut(string(id), "/")
		if incarnation == "2" && w.actors[id].state.Members().Voter(id) {
			return true
		}
	}
	return false
}

// safeWithout reports whether the site bears the loss of the disk of id: no
// membership change is in progress, and every committed entry is on the disks
// of a quorum without id. Losing more is beyond what replication bears.
func (w *world) safeWithout(id model.ReplicaID) bool {
	leader, ok := w.leader()
	if !ok {
		return false
	}
	last := w.actors[leader].state.configs[len(w.actors[leader].state.configs)-1]
	holders := 0
	for _, m := range last.members {
		a := w.actors[m.ID]
		if !m.Voter || a == nil {
			return false
		}
		if c := a.state.configs[len(a.state.configs)-1]; c.index != last.index || c.index > a.state.commit {
			return false
		}
		if m.ID != id && int(a.disk.snapshot.Index)+len(a.disk.entries) >= len(w.history) && len(a.applied) == len(w.history) {
			holders++
		}
	}
	return last.members.Voter(id) && holders >= last.members.Quorum()
}

// rejoin lets replicas that are not members ask the leader for admission.
func (w *world) rejoin() {
	leader, ok := w.leader()
	if !ok {
		return
	}
	for _, id := range w.ids {
		if _, member := w.actors[leader].state.Members().Get(id); !member && w.wiped {
			w.step(leader, Join{Member: Member{ID: id, Address: "b"}})
		}
	}
}

// describe lists the replicas for a failure message.
func (w *world) describe() string {
	s := fmt.Sprintf("%d committed", len(w.history))
	for _, id := range w.ids {
		st := w.actors[id].state.Status(w.now)
		s += fmt.Sprintf("\n%s %s term %d commit %d last %d base %d failed %t halted %t members %v",
			id, st.Role, st.Term, st.Commit, st.Last, st.Base, st.Failed, st.Halted, st.Members)
	}
	return s
}

// peer returns what a leader knows about another replica.
func (s State) peer(id model.ReplicaID) *peer {
	m := machine{State: s}
	return m.peer(id)
}
