package raft

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// quiet is a world without faults whose first replica leads.
func newStableCluster(t *testing.T, voters int) (*cluster, model.ReplicaID) {
	c := newCluster(func(int) int { return 0 }, voters, disabledRules{})
	assert.Assert(t, c.healAndConverge())
	leader, ok := c.leader()
	assert.Assert(t, ok)
	return c, leader
}

// pass lets time pass while all messages and writes take no time.
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

func (c *cluster) isolate(id model.ReplicaID) {
	for _, other := range c.ids {
		c.blocked[[2]model.ReplicaID{id, other}] = true
		c.blocked[[2]model.ReplicaID{other, id}] = true
	}
}

// Guards against a leader that was cut off and keeps acting as one, against a
// failover that takes longer than 2 s, and against a returning replica that
// disturbs the new leader.
func TestCutOffLeaderStepsDownAndReturnsQuietly(t *testing.T) {
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

// Guards against a lease that is counted from the arrival of answers: the time
// of quorum contact must be when the answered message was sent.
func TestQuorumContactIsTheTimeOfSending(t *testing.T) {
	c, leader := newStableCluster(t, 3)
	c.runFor(time.Second)
	before := c.replicas[leader].state.Status(c.now).QuorumContact
	assert.Assert(t, c.now.Sub(before) <= 160*time.Millisecond)
	c.packets = nil
	c.advance(150 * time.Millisecond)
	sent := c.now
	c.now = c.now.Add(300 * time.Millisecond) // the answers take this long
	for n := len(c.packets); n > 0; n-- {
		c.deliver(0, false)
	}
	for n := len(c.packets); n > 0; n-- {
		c.deliver(0, false)
	}
	assert.Equal(t, c.replicas[leader].state.Status(c.now).QuorumContact, sent)
}

// Guards against a follower that is counted although its disk went back behind
// what it had acknowledged.
func TestFollowerThatWentBackIsRefused(t *testing.T) {
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

// Guards against a planned stop that costs a whole election timeout.
func TestResignHandsOverAtOnce(t *testing.T) {
	c, old := newStableCluster(t, 3)
	c.runFor(time.Second)
	c.step(old, Resign{})
	c.runFor(50 * time.Millisecond)
	next, ok := c.leader()
	assert.Assert(t, ok && next != old)
}

// Guards against a new incarnation that is admitted while the old one works,
// and against a replacement that does not end.
func TestReplacementWaitsUntilTheOldIncarnationIsUnreachable(t *testing.T) {
	c, leader := newStableCluster(t, 3)
	victim := c.ids[0]
	if victim == leader {
		victim = c.ids[1]
	}
	newID := model.ReplicaID(Name(victim) + "/2")
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

// Guards against a control loop that spins: a replica that takes no further
// part must not ask for a tick in the past.
func TestStoppedReplicaHasNoDeadline(t *testing.T) {
	c, leader := newStableCluster(t, 3)
	assert.Assert(t, !c.replicas[leader].state.Deadline().IsZero())
	c.step(leader, StorageFailed{})
	assert.Assert(t, c.replicas[leader].state.Deadline().IsZero())
	for _, id := range c.ids {
		if st := c.replicas[id].state; id != leader {
			c.step(id, Receive{Message{Type: Refuse, From: leader, To: id, Term: st.hard.Term}})
			assert.Assert(t, c.replicas[id].state.Deadline().IsZero())
		}
	}
}

// Guards against a group that stays short of a replica whose instance is gone
// for good, and against one with a new name that takes the place of a working voter.
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

// Guards against a site that bears fewer losses than it has replicas for.
func TestReplicasWithNewNamesFillUpTheGroup(t *testing.T) {
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
