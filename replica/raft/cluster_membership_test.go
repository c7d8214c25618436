package raft

import (
	"fmt"
	"slices"
	"strings"

	"lacewingturn.example/core/model"
)

// change requests a random membership change from the leader. It does nothing
// while a replica that lost its disk has not been replaced: with three replicas,
// a removal and a lost disk at the same time leave no quorum.
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
	c.step(id, ChangeMembership{Kind: kind, Member: Member{ID: c.pick(), Address: "a"}})
}

// loseDisk removes one follower with its disk, at most once per run, and starts a
// new incarnation of it without data. rejoin then requests its admission.
func (c *cluster) loseDisk() {
	id := c.pick()
	if c.diskLost || c.replicas[id].state.role == Leader || !c.safeWithout(id) {
		return
	}
	c.diskLost = true
	c.ids = slices.DeleteFunc(c.ids, func(o model.ReplicaID) bool { return o == id })
	delete(c.replicas, id)
	c.add(model.ReplicaID(ReplicaName(id) + "/2"))
}

// replaced reports whether the new incarnation of the replica that lost its disk
// is a voter.
func (c *cluster) replaced() bool {
	for _, id := range c.ids {
		_, incarnation, _ := strings.Cut(string(id), "/")
		if incarnation == "2" && c.replicas[id].state.Members().Voter(id) {
			return true
		}
	}
	return false
}

// safeWithout reports whether the cluster tolerates the loss of the disk of id:
// no membership change is in progress, and every committed entry is on the disks
// of a quorum that does not include id. Replication does not protect against
// greater losses.
func (c *cluster) safeWithout(id model.ReplicaID) bool {
	leader, ok := c.leader()
	if !ok {
		return false
	}
	last := c.replicas[leader].state.memberships[len(c.replicas[leader].state.memberships)-1]
	holders := 0
	for _, m := range last.members {
		a := c.replicas[m.ID]
		if !m.Voter || a == nil {
			return false
		}
		if conf := a.state.memberships[len(a.state.memberships)-1]; conf.index != last.index || conf.index > a.state.commit {
			return false
		}
		if m.ID != id && int(a.disk.snapshot.Index)+len(a.disk.entries) >= len(c.committed) && len(a.applied) == len(c.committed) {
			holders++
		}
	}
	return last.members.Voter(id) && holders >= last.members.Quorum()
}

// rejoin sends the leader a Join for each replica that is not a member. It does
// nothing before a disk was lost.
func (c *cluster) rejoin() {
	leader, ok := c.leader()
	if !ok {
		return
	}
	for _, id := range c.ids {
		if _, member := c.replicas[leader].state.Members().Get(id); !member && c.diskLost {
			c.step(leader, Join{Member: Member{ID: id, Address: ReplicaName(id)}})
		}
	}
}
