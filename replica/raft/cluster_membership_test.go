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
func (c *cluster) change() {
	id, ok := c.leader()
	if !ok || c.diskLost && !c.replaced() {
		return
	}
	kind := ChangeKind(1 + c.choose(3))
	if kind == AddLearner && len(c.ids) < 6 {
		newID := model.ReplicaID(fmt.Sprintf("r%d/1", len(c.ids)+1))
		c.add(newID)
	}
	c.step(id, Change{Kind: kind, Member: Member{ID: c.pick(), Address: "a"}})
}

// wipe takes the disk of one follower, once; its next incarnation asks to join.
func (c *cluster) loseDisk() {
	id := c.pick()
	if c.diskLost || c.replicas[id].state.role == Leader || !c.safeWithout(id) {
		return
	}
	c.diskLost = true
	c.ids = slices.DeleteFunc(c.ids, func(o model.ReplicaID) bool { return o == id })
	delete(c.replicas, id)
	c.add(model.ReplicaID(Name(id) + "/2"))
}

// replaced reports whether the replica that lost its disk votes again.
func (c *cluster) replaced() bool {
	for _, id := range c.ids {
		_, incarnation, _ := strings.Cut(string(id), "/")
		if incarnation == "2" && c.replicas[id].state.Members().Voter(id) {
			return true
		}
	}
	return false
}

// safeWithout reports whether the site bears the loss of the disk of id: no
// membership change is in progress, and every committed entry is on the disks
// of a quorum without id. Losing more is beyond what replication bears.
func (c *cluster) safeWithout(id model.ReplicaID) bool {
	leader, ok := c.leader()
	if !ok {
		return false
	}
	last := c.replicas[leader].state.configs[len(c.replicas[leader].state.configs)-1]
	holders := 0
	for _, m := range last.members {
		a := c.replicas[m.ID]
		if !m.Voter || a == nil {
			return false
		}
		if conf := a.state.configs[len(a.state.configs)-1]; conf.index != last.index || conf.index > a.state.commit {
			return false
		}
		if m.ID != id && int(a.disk.snapshot.Index)+len(a.disk.entries) >= len(c.committed) && len(a.applied) == len(c.committed) {
			holders++
		}
	}
	return last.members.Voter(id) && holders >= last.members.Quorum()
}

// rejoin lets replicas that are not members ask the leader for admission.
func (c *cluster) rejoin() {
	leader, ok := c.leader()
	if !ok {
		return
	}
	for _, id := range c.ids {
		if _, member := c.replicas[leader].state.Members().Get(id); !member && c.diskLost {
			c.step(leader, Join{Member: Member{ID: id, Address: "b"}})
		}
	}
}
