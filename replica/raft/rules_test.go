package raft

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// quiet is a world without faults whose first replica leads.
func quiet(t *testing.T, voters int) (*world, model.ReplicaID) {
	w := newWorld(func(int) int { return 0 }, voters, brokenRules{})
	assert.Assert(t, w.settle())
	leader, ok := w.leader()
	assert.Assert(t, ok)
	return w, leader
}

// pass lets time pass while all messages and writes take no time.
func (w *world) pass(d time.Duration) {
	const tick = 10 * time.Millisecond
	for range d / tick {
		w.advance(tick)
		for range 5 {
			for _, id := range w.ids {
				w.sync(id)
			}
			for n := len(w.packets); n > 0; n-- {
				w.deliver(0, false)
			}
		}
	}
}

func (w *world) isolate(id model.ReplicaID) {
	for _, other := range w.ids {
		w.cuts[[2]model.ReplicaID{id, other}] = true
		w.cuts[[2]model.ReplicaID{other, id}] = true
	}
}

// Guards against a leader that was cut off and keeps acting as one, against a
// failover that takes longer than 2 s, and against a returning replica that
// disturbs the new leader.
func TestCutOffLeaderStepsDownAndReturnsQuietly(t *testing.T) {
	w, old := quiet(t, 3)
	w.isolate(old)
	cut := w.now
	w.pass(500*time.Millisecond + 200*time.Millisecond) // one election timeout and a heartbeat
	st := w.actors[old].state.Status(w.now)
	assert.Assert(t, st.Role != Leader)
	assert.Equal(t, st.Leader, model.ReplicaID(""))
	refused := w.step(old, Propose{Commands: []Command{{Data: []byte("x")}}})
	assert.Equal(t, refused.Refusal, RefusedNotLeader)
	w.pass(1300 * time.Millisecond)
	assert.Assert(t, w.now.Sub(cut) <= 2*time.Second)
	next, ok := w.leader()
	assert.Assert(t, ok && next != old)
	term := w.actors[next].state.hard.Term
	w.pass(time.Minute)
	clear(w.cuts)
	w.pass(5 * time.Second)
	assert.Equal(t, w.actors[next].state.role, Leader)
	assert.Equal(t, w.actors[next].state.hard.Term, term)
	assert.Equal(t, w.actors[old].state.leader, next)
}

// Guards against a lease that is counted from the arrival of answers: the time
// of quorum contact must be when the answered message was sent.
func TestQuorumContactIsTheTimeOfSending(t *testing.T) {
	w, leader := quiet(t, 3)
	w.pass(time.Second)
	before := w.actors[leader].state.Status(w.now).QuorumContact
	assert.Assert(t, w.now.Sub(before) <= 160*time.Millisecond)
	w.packets = nil
	w.advance(150 * time.Millisecond)
	sent := w.now
	w.now = w.now.Add(300 * time.Millisecond) // the answers take this long
	for n := len(w.packets); n > 0; n-- {
		w.deliver(0, false)
	}
	for n := len(w.packets); n > 0; n-- {
		w.deliver(0, false)
	}
	assert.Equal(t, w.actors[leader].state.Status(w.now).QuorumContact, sent)
}

// Guards against a follower that is counted although its disk went back behind
// what it had acknowledged.
func TestFollowerThatWentBackIsRefused(t *testing.T) {
	w, leader := quiet(t, 3)
	assert.Assert(t, w.propose())
	w.pass(time.Second)
	victim := w.ids[0]
	if victim == leader {
		victim = w.ids[1]
	}
	w.err = nil
	disk := &w.actors[victim].disk
	disk.entries = disk.entries[:len(disk.entries)-1]
	w.restart(victim)
	w.pass(time.Second)
	assert.ErrorContains(t, w.err, "refuses "+string(victim))
	assert.Assert(t, w.actors[victim].state.halted)
	assert.Equal(t, w.actors[leader].state.role, Leader)
}

// Guards against a planned stop that costs a whole election timeout.
func TestResignHandsOverAtOnce(t *testing.T) {
	w, old := quiet(t, 3)
	w.pass(time.Second)
	w.step(old, Resign{})
	w.pass(50 * time.Millisecond)
	next, ok := w.leader()
	assert.Assert(t, ok && next != old)
}

// Guards against a new incarnation that is admitted while the old one works,
// and against a replacement that does not end.
func TestReplacementWaitsUntilTheOldIncarnationIsUnreachable(t *testing.T) {
	w, leader := quiet(t, 3)
	victim := w.ids[0]
	if victim == leader {
		victim = w.ids[1]
	}
	fresh := model.ReplicaID(Name(victim) + "/2")
	w.add(fresh)
	join := func() { w.step(leader, Join{Member: Member{ID: fresh, Address: "b"}}) }
	w.pass(10 * time.Second)
	join()
	_, admitted := w.actors[leader].state.Members().Get(fresh)
	assert.Assert(t, !admitted)
	w.isolate(victim)
	w.pass(4 * time.Second)
	join()
	w.pass(time.Second)
	members := w.actors[leader].state.Members()
	assert.Assert(t, members.Voter(fresh) && len(members) == 3, "%v", members)
	assert.NilError(t, w.err)
}

// Guards against a control loop that spins: a replica that takes no further
// part must not ask for a tick in the past.
func TestStoppedReplicaHasNoDeadline(t *testing.T) {
	w, leader := quiet(t, 3)
	assert.Assert(t, !w.actors[leader].state.Deadline().IsZero())
	w.step(leader, StorageFailed{})
	assert.Assert(t, w.actors[leader].state.Deadline().IsZero())
	for _, id := range w.ids {
		if st := w.actors[id].state; id != leader {
			w.step(id, Receive{Message{Type: Refuse, From: leader, To: id, Term: st.hard.Term}})
			assert.Assert(t, w.actors[id].state.Deadline().IsZero())
		}
	}
}

// Guards against a group that stays short of a replica whose instance is gone
// for good, and against one with a new name that takes the place of a working voter.
func TestReplicaWithNewNameReplacesALostVoter(t *testing.T) {
	w, leader := quiet(t, 3)
	for _, id := range w.ids {
		w.actors[id].state.cfg.TargetVoters = 3
	}
	victim := w.ids[0]
	if victim == leader {
		victim = w.ids[1]
	}
	fresh := model.ReplicaID("r9/1")
	w.add(fresh)
	w.step(leader, Join{Member: Member{ID: fresh, Address: "b"}})
	w.pass(10 * time.Second)
	members := w.actors[leader].state.Members()
	_, admitted := members.Get(fresh)
	assert.Assert(t, admitted && !members.Voter(fresh) && members.Voters() == 3, "%v", members)
	w.isolate(victim)
	w.pass(5 * time.Second)
	members = w.actors[leader].state.Members()
	_, kept := members.Get(victim)
	assert.Assert(t, members.Voter(fresh) && !kept && members.Voters() == 3, "%v", members)
	assert.NilError(t, w.err)
}

// Guards against a site that bears fewer losses than it has replicas for.
func TestReplicasWithNewNamesFillUpTheGroup(t *testing.T) {
	w, leader := quiet(t, 3)
	for _, id := range w.ids {
		w.actors[id].state.cfg.TargetVoters = 5
	}
	for _, id := range []model.ReplicaID{"r7/1", "r8/1", "r9/1"} {
		w.add(id)
		w.step(leader, Join{Member: Member{ID: id, Address: "b"}})
		w.pass(2 * time.Second)
	}
	members := w.actors[leader].state.Members()
	assert.Equal(t, members.Voters(), 5)
	assert.Equal(t, len(members), 6)
	assert.NilError(t, w.err)
}
