package raft

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// newStableCluster returns a cluster without faults that has elected a leader, and
// the ID of that leader.
func newStableCluster(t *testing.T, voters int) (*cluster, model.ReplicaID) {
	c := newCluster(func(int) int { return 0 }, voters, disabledRules{})
	assert.Assert(t, c.healAndConverge())
	leader, ok := c.leader()
	assert.Assert(t, ok)
	return c, leader
}

// runFor advances the time by d. Messages and writes take no time.
func (c *cluster) runFor(d time.Duration) {
	const tick = 10 * time.Millisecond
	for range d / tick {
		c.advance(tick)
		for range 5 {
			for _, id := range c.ids {
				c.sync(id)
			}
			for n := len(c.packets); n > 0; n-- {
				c.deliver(0, false)
			}
		}
	}
}

// isolate blocks all links from and to a replica.
func (c *cluster) isolate(id model.ReplicaID) {
	for _, other := range c.ids {
		c.blocked[[2]model.ReplicaID{id, other}] = true
		c.blocked[[2]model.ReplicaID{other, id}] = true
	}
}

// Guards against a partitioned leader that continues to act as leader, a failover
// that takes longer than 2 s, and a leader that is deposed when the partitioned
// replica returns with a higher term.
func TestPartitionedLeaderStepsDownAndRejoinsAsFollower(t *testing.T) {
	c, old := newStableCluster(t, 3)
	c.isolate(old)
	cut := c.now
	c.runFor(500*time.Millisecond + 200*time.Millisecond) // one election timeout and a heartbeat
	st := c.replicas[old].state.Status(c.now)
	assert.Assert(t, st.Role != Leader)
	assert.Equal(t, st.Leader, model.ReplicaID(""))
	refused := c.step(old, Propose{Commands: []Command{{Data: []byte("x")}}})
	assert.Equal(t, refused.Refusal, RefusedNotLeader)
	c.runFor(1300 * time.Millisecond)
	assert.Assert(t, c.now.Sub(cut) <= 2*time.Second)
	next, ok := c.leader()
	assert.Assert(t, ok && next != old)
	term := c.replicas[next].state.hard.Term
	c.runFor(time.Minute)
	clear(c.blocked)
	c.runFor(5 * time.Second)
	assert.Equal(t, c.replicas[next].state.role, Leader)
	assert.Equal(t, c.replicas[next].state.hard.Term, term)
	assert.Equal(t, c.replicas[old].state.leader, next)
}

// Guards against a leader lease that is counted from the arrival of replies and is
// therefore too long: the time of quorum contact must be the time at which the
// answered message was sent.
func TestQuorumContactIsTheTimeOfSending(t *testing.T) {
	c, leader := newStableCluster(t, 3)
	c.runFor(time.Second)
	before := c.replicas[leader].state.Status(c.now).QuorumContact
	assert.Assert(t, c.now.Sub(before) <= 160*time.Millisecond)
	c.packets = nil
	c.advance(150 * time.Millisecond)
	sent := c.now
	c.now = c.now.Add(300 * time.Millisecond) // the delay of the replies
	for n := len(c.packets); n > 0; n-- {
		c.deliver(0, false)
	}
	for n := len(c.packets); n > 0; n-- {
		c.deliver(0, false)
	}
	assert.Equal(t, c.replicas[leader].state.Status(c.now).QuorumContact, sent)
}

// Guards against counting a follower towards a quorum although its disk has lost
// entries that it had acknowledged.
func TestFollowerWithLostEntriesIsRefused(t *testing.T) {
	c, leader := newStableCluster(t, 3)
	assert.Assert(t, c.propose())
	c.runFor(time.Second)
	victim := c.ids[0]
	if victim == leader {
		victim = c.ids[1]
	}
	c.err = nil
	disk := &c.replicas[victim].disk
	disk.entries = disk.entries[:len(disk.entries)-1]
	c.restart(victim)
	c.runFor(time.Second)
	assert.ErrorContains(t, c.err, "refuses "+string(victim))
	assert.Assert(t, c.replicas[victim].state.halted)
	assert.Equal(t, c.replicas[leader].state.role, Leader)
}

// Guards against a planned shutdown of the leader that leaves the cluster without
// a leader for a whole election timeout.
func TestLeadershipIsTransferredImmediately(t *testing.T) {
	c, old := newStableCluster(t, 3)
	c.runFor(time.Second)
	c.step(old, TransferLeadership{})
	c.runFor(50 * time.Millisecond)
	next, ok := c.leader()
	assert.Assert(t, ok && next != old)
}

// Guards against admitting a new incarnation while the old one is still reachable,
// and against a replacement that never completes.
func TestReplacementWaitsUntilTheOldIncarnationIsUnreachable(t *testing.T) {
	c, leader := newStableCluster(t, 3)
	victim := c.ids[0]
	if victim == leader {
		victim = c.ids[1]
	}
	newID := model.ReplicaID(ReplicaName(victim) + "/2")
	c.add(newID)
	join := func() { c.step(leader, Join{Member: Member{ID: newID, Address: "b"}}) }
	c.runFor(10 * time.Second)
	join()
	_, admitted := c.replicas[leader].state.Members().Get(newID)
	assert.Assert(t, !admitted)
	c.isolate(victim)
	c.runFor(4 * time.Second)
	join()
	c.runFor(time.Second)
	members := c.replicas[leader].state.Members()
	assert.Assert(t, members.Voter(newID) && len(members) == 3, "%v", members)
	assert.NilError(t, c.err)
}

// Guards against a busy loop: a failed or halted replica ignores ticks, so it must
// not return a deadline, which would soon be in the past.
func TestStoppedReplicaHasNoDeadline(t *testing.T) {
	c, leader := newStableCluster(t, 3)
	assert.Assert(t, !c.replicas[leader].state.Deadline().IsZero())
	c.step(leader, StorageFailed{})
	assert.Assert(t, c.replicas[leader].state.Deadline().IsZero())
	for _, id := range c.ids {
		if st := c.replicas[id].state; id != leader {
			c.step(id, Receive{Message{Type: RejectFollower, From: leader, To: id, Term: st.hard.Term}})
			assert.Assert(t, c.replicas[id].state.Deadline().IsZero())
		}
	}
}

// Guards against a voter that is never replaced after its instance is lost for
// good, and against a replica with a new name that replaces a reachable voter.
func TestReplicaWithNewNameReplacesALostVoter(t *testing.T) {
	c, leader := newStableCluster(t, 3)
	for _, id := range c.ids {
		c.replicas[id].state.cfg.TargetVoters = 3
	}
	victim := c.ids[0]
	if victim == leader {
		victim = c.ids[1]
	}
	newID := model.ReplicaID("r9/1")
	c.add(newID)
	c.step(leader, Join{Member: Member{ID: newID, Address: "b"}})
	c.runFor(10 * time.Second)
	members := c.replicas[leader].state.Members()
	_, admitted := members.Get(newID)
	assert.Assert(t, admitted && !members.Voter(newID) && members.Voters() == 3, "%v", members)
	c.isolate(victim)
	c.runFor(5 * time.Second)
	members = c.replicas[leader].state.Members()
	_, kept := members.Get(victim)
	assert.Assert(t, members.Voter(newID) && !kept && members.Voters() == 3, "%v", members)
	assert.NilError(t, c.err)
}

// Guards against lower fault tolerance than the number of replicas allows: replicas
// with new names must be promoted until there are TargetVoters voters.
func TestReplicasWithNewNamesArePromotedUpToTargetVoters(t *testing.T) {
	c, leader := newStableCluster(t, 3)
	for _, id := range c.ids {
		c.replicas[id].state.cfg.TargetVoters = 5
	}
	for _, id := range []model.ReplicaID{"r7/1", "r8/1", "r9/1"} {
		c.add(id)
		c.step(leader, Join{Member: Member{ID: id, Address: "b"}})
		c.runFor(2 * time.Second)
	}
	members := c.replicas[leader].state.Members()
	assert.Equal(t, members.Voters(), 5)
	assert.Equal(t, len(members), 6)
	assert.NilError(t, c.err)
}
