package raft

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// replacementsPerSeed is the number of replacements in a row that TestManyReplacementsInARow
// plays for each of four seeds.
var replacementsPerSeed = flag.Int("replacements", 40, "number of replacements in a row")

// replacements plays a site whose machines are replaced one at a time, each by an empty one with
// a new name, as operators do daily.
type replacements struct {
	*cluster
	t       *testing.T
	rng     *rand.Rand
	created int
	// removed counts the machines that were removed.
	removed int
}

func newReplacements(t *testing.T, seed uint64) *replacements {
	c, _ := newStableCluster(t, 3)
	r := &replacements{cluster: c, t: t, rng: rand.New(rand.NewPCG(seed, 7)), created: 3}
	for _, id := range c.ids {
		c.replicas[id].state.cfg.TargetVoters = 3
	}
	return r
}

// addMachine starts a machine, which asks for admission as long as it is not a member.
func (r *replacements) addMachine() model.ReplicaID {
	r.created++
	id := model.ReplicaID(fmt.Sprintf("r%d/1", r.created))
	r.add(id)
	r.replicas[id].state.cfg.TargetVoters = 3
	return id
}

// pass lets the time go on, with a request for admission each half second.
func (r *replacements) pass(d time.Duration) {
	const interval = 500 * time.Millisecond
	for range d / interval {
		if leader, ok := r.leader(); ok {
			for _, id := range slices.Clone(r.ids) {
				if _, member := r.replicas[leader].state.Members().Get(id); !member {
					r.step(leader, Join{Member: Member{ID: id, Address: "a"}})
				}
			}
		}
		r.runFor(interval)
	}
}

// remove removes a machine, which never returns.
func (r *replacements) remove(id model.ReplicaID) {
	r.removed++
	r.ids = slices.DeleteFunc(r.ids, func(o model.ReplicaID) bool { return o == id })
	delete(r.replicas, id)
}

// settled fails unless a command is committed and there are three voters, all of which run.
func (r *replacements) settled() {
	r.t.Helper()
	before := len(r.committed)
	assert.Assert(r.t, r.propose(), "no leader after %d replacements: %s", r.removed, r.describe())
	r.runFor(time.Second)
	assert.Assert(r.t, len(r.committed) > before, "nothing is committed after %d replacements: %s", r.removed, r.describe())
	leader, ok := r.leader()
	assert.Assert(r.t, ok)
	members := r.replicas[leader].state.Members()
	assert.Equal(r.t, members.Voters(), 3)
	for _, m := range members {
		assert.Assert(r.t, !m.Voter || r.replicas[m.ID] != nil, "voter %s was removed: %s", m.ID, r.describe())
	}
}

// Guards against lost learners that keep new machines out, until one voter after another is lost
// and no configuration can be read any more.
func TestLearnersThatLeftKeepNobodyOut(t *testing.T) {
	r := newReplacements(t, 1)
	var fourth model.ReplicaID
	for range 9 { // one more than the limit of learners
		next := r.addMachine()
		r.pass(2500 * time.Millisecond)
		if fourth != "" {
			r.remove(fourth)
		}
		r.pass(2500 * time.Millisecond)
		fourth = next
	}
	for range 2 {
		r.remove(r.ids[0])
		r.pass(2 * time.Second)
		r.addMachine()
		r.pass(12 * time.Second)
		r.settled()
	}
}

// Guards against machines that cannot be replaced any more after many replacements: voters and
// learners, with or without a successor that comes first, and successors that are lost as well.
func TestManyReplacementsInARow(t *testing.T) {
	for seed := range uint64(4) {
		r := newReplacements(t, seed)
		for range r.rng.IntN(3) {
			r.addMachine()
		}
		r.pass(10 * time.Second)
		for range *replacementsPerSeed {
			old := r.ids[r.rng.IntN(len(r.ids))]
			switch r.rng.IntN(3) {
			case 0: // the successor comes first
				r.addMachine()
				r.pass(5 * time.Second)
				r.remove(old)
			case 1:
				r.remove(old)
				r.pass(2 * time.Second)
				r.addMachine()
			case 2: // the first successor is lost, too, once it may be a member
				r.remove(old)
				lost := r.addMachine()
				r.pass(time.Duration(r.rng.IntN(4)) * 500 * time.Millisecond)
				r.remove(lost)
				r.addMachine()
			}
			r.pass(12 * time.Second)
			r.settled()
		}
		leader, _ := r.leader()
		assert.Assert(t, len(r.replicas[leader].state.Members()) <= 3+maxLearners)
	}
}

// Guards against a learner that is removed although it answers, or that stays a member although it
// is lost and nobody needs its place.
func TestLearnerThatLeftIsRemovedInTime(t *testing.T) {
	r := newReplacements(t, 1)
	stays, leaves := r.addMachine(), r.addMachine()
	r.pass(5 * time.Second)
	members := func() Membership {
		leader, ok := r.leader()
		assert.Assert(t, ok)
		return r.replicas[leader].state.Members()
	}
	assert.Equal(t, len(members()), 5)
	r.remove(leaves)
	r.pass(30 * time.Second)
	assert.Equal(t, len(members()), 5)
	r.pass(40 * time.Second)
	assert.Equal(t, len(members()), 4)
	_, ok := members().Get(stays)
	assert.Assert(t, ok)
	r.pass(5 * time.Minute)
	assert.Equal(t, len(members()), 4)
}

// Guards against a leader that is replaced late, because the next leader counts the silence of
// its predecessor only from its own election.
func TestSilenceOfAPredecessorIncludesTheElection(t *testing.T) {
	r := newReplacements(t, 1)
	r.pass(time.Second)
	old, ok := r.leader()
	assert.Assert(t, ok)
	r.remove(old)
	removedAt := r.now
	next := r.addMachine()
	r.pass(2 * time.Second)
	leader, ok := r.leader()
	assert.Assert(t, ok)
	m := machine{State: r.replicas[leader].state, now: r.now}
	assert.Assert(t, m.silence(old) >= r.now.Sub(removedAt), "%v", m.silence(old))
	r.pass(catchUp - 2*time.Second)
	assert.Assert(t, r.replicas[leader].state.Members().Voter(next), "%s", r.describe())
}
