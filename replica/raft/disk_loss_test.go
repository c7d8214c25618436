package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// catchUp is the time after which a machine that is back counts as available again: the next one
// may then lose its disk.
const catchUp = 4 * time.Second

// diskLosses plays a site whose machines lose their disks in turn and come back at their addresses.
type diskLosses struct {
	replacements
	incarnation int
	joins       bool // whether new incarnations ask for admission
}

// lose removes a replica with its disk. Its machine comes back without data after down.
func (d *diskLosses) lose(id model.ReplicaID, down time.Duration) model.ReplicaID {
	d.remove(id)
	d.runFor(down)
	d.incarnation++
	next := model.ReplicaID(fmt.Sprintf("%s/%d", ReplicaName(id), d.incarnation))
	d.add(next)
	return next
}

// catchUp lets the given time go on.
func (d *diskLosses) catchUp(t time.Duration) {
	if !d.joins {
		d.runFor(t)
		return
	}
	const interval = 500 * time.Millisecond
	for ; t >= interval; t -= interval {
		d.rejoin()
		d.runFor(interval)
	}
	d.runFor(t)
}

// victim returns the leader most of the time.
func (d *diskLosses) victim() model.ReplicaID {
	if leader, ok := d.leader(); ok && d.rng.IntN(3) > 0 {
		return leader
	}
	return d.ids[d.rng.IntN(len(d.ids))]
}

func newDiskLosses(t *testing.T, seed uint64) *diskLosses {
	c, _ := newStableCluster(t, 3)
	rng := rand.New(rand.NewPCG(seed, 11))
	c.choose = rng.IntN
	c.diskLost = true
	return &diskLosses{replacements: replacements{cluster: c, t: t, rng: rng}, incarnation: 1, joins: seed%2 == 0}
}

// Guards against a quorum that is lost for good although one disk at a time is lost, each when
// the machine of the one before has been back for the time that it has to catch up.
func TestDisksLostInTurnKeepTheQuorum(t *testing.T) {
	for seed := range uint64(40) {
		d := newDiskLosses(t, seed)
		for range 12 {
			id := d.victim()
			for range 1 + d.rng.IntN(4) { // a machine that is not available yet may lose its disk again
				d.catchUp(time.Duration(d.rng.IntN(1500)) * time.Millisecond)
				id = d.lose(id, time.Duration(50+d.rng.IntN(300))*time.Millisecond)
			}
			d.catchUp(catchUp)
			assert.NilError(t, d.err, "seed %d", seed)
			leader, ok := d.leader()
			assert.Assert(t, ok, "seed %d", seed)
			members := d.replicas[leader].state.Members()
			assert.Assert(t, len(members) == 3 && members.Voters() == 3 && members.Voter(id), "seed %d: %v without %s", seed, members, id)
		}
		d.settled()
	}
}

// Guards against a member that is replaced although it has answered since another incarnation
// was found at its address, or because of a replica that is at another address or has another name.
func TestMemberThatAnswersIsNotSuperseded(t *testing.T) {
	c, leader := newStableCluster(t, 3)
	i := slices.IndexFunc(c.ids, func(id model.ReplicaID) bool { return id != leader })
	victim := c.ids[i]
	asked := c.now
	c.runFor(time.Second)
	for _, by := range []Member{
		{ID: model.ReplicaID(ReplicaName(victim) + "/2"), Address: ReplicaName(victim)}, // asked long ago
		{ID: model.ReplicaID(ReplicaName(victim) + "/2"), Address: "elsewhere"},
		{ID: "other/2", Address: ReplicaName(victim)},
		{ID: victim, Address: ReplicaName(victim)},
	} {
		at := asked
		if by.Address != ReplicaName(victim) || ReplicaName(by.ID) != ReplicaName(victim) {
			at = c.now
		}
		c.step(leader, Superseded{ID: victim, By: by, AskedAt: at})
		assert.Equal(t, len(c.replicas[leader].state.Members()), 3, "%v", by)
	}
	c.step(leader, Superseded{ID: leader, By: Member{ID: model.ReplicaID(ReplicaName(leader) + "/2"), Address: ReplicaName(leader)}, AskedAt: c.now})
	assert.Equal(t, len(c.replicas[leader].state.Members()), 3)
}

// Guards against a live member that is removed because its place was given to an incarnation that
// was found at its address for a moment: once it answers again it stays.
func TestMemberThatIsBackKeepsItsPlace(t *testing.T) {
	c, leader := newStableCluster(t, 3)
	i := slices.IndexFunc(c.ids, func(id model.ReplicaID) bool { return id != leader })
	victim := c.ids[i]
	next := model.ReplicaID(ReplicaName(victim) + "/2")
	c.step(leader, Superseded{ID: victim, By: Member{ID: next, Address: ReplicaName(victim)}, AskedAt: c.now.Add(time.Millisecond)})
	_, admitted := c.replicas[leader].state.Members().Get(next)
	assert.Assert(t, admitted)
	c.runFor(2 * time.Second)
	c.add(next) // it catches up while the victim answers
	c.runFor(5 * time.Second)
	members := c.replicas[leader].state.Members()
	assert.Assert(t, members.Voter(victim) && !members.Voter(next), "%v", members)
}

// Guards against an even number of voters: the place of a lost voter must not be given to its new
// incarnation once another replica has taken it, and the new incarnation must not stay a member
// for good if it is lost as well.
func TestPlaceOfALostVoterIsGivenOnce(t *testing.T) {
	r := newReplacements(t, 1)
	r.diskLost = true
	stranger := r.addMachine()
	r.pass(5 * time.Second)
	leader, _ := r.leader()
	i := slices.IndexFunc(r.ids, func(id model.ReplicaID) bool { return id != leader && id != stranger })
	d := &diskLosses{replacements: *r, incarnation: 1}
	next := d.lose(d.ids[i], 100*time.Millisecond)
	d.blocked[[2]model.ReplicaID{next, leader}] = true // it does not catch up
	d.runFor(6 * time.Second)
	members := func() Membership { return d.replicas[leader].state.Members() }
	assert.Assert(t, members().Voter(stranger) && members().Voters() == 3, "%v", members())
	clear(d.blocked)
	d.runFor(6 * time.Second)
	_, member := members().Get(next)
	assert.Assert(t, member && members().Voters() == 3, "%v", members())
	d.remove(next)
	d.runFor(70 * time.Second)
	assert.Equal(t, len(members()), 3)
}
