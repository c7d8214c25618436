package raft

import (
	"fmt"
	"slices"
	"strings"

	"lacewingturn.example/core/model"
)

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
