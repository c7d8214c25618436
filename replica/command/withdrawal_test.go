package command

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
)

// plantedFault is an error that the test of withdrawals must find.
type plantedFault int

const (
	noFault plantedFault = iota
	// checkedAtEntryOnly judges a key by the state of the replica that takes the call, and
	// not where the command is applied.
	checkedAtEntryOnly
	// oldKeysInSnapshot restores a snapshot with the keys of the first catalog.
	oldKeysInSnapshot
)

// withdrawalSite simulates replicas with one log, whose consistency is tested in package
// raft, callers whose calls are held up, and an operator who publishes sets of keys. It
// applies, stores and reads with the code of the product.
type withdrawalSite struct {
	*rand.Rand
	fault    plantedFault
	log      []model.Envelope // committed up to the index committed
	taken    []bool           // the entry passed the check of checkedAtEntryOnly
	replicas []*simulatedReplica
	leader   int
	commit   int
	clock    model.Timestamp
	held     []model.SubmitWorkload // calls on their way
	calls    int
	version  model.CatalogVersion
	// withdrawn holds the keys that the last acknowledged catalog lacks, unless a catalog
	// with the key was sent since.
	withdrawn map[model.KeyDigest]bool
	accepted  int
	broken    string
}

type simulatedReplica struct {
	state    model.State
	snapshot []byte
}

func keyDigests() []model.KeyDigest {
	return []model.KeyDigest{{1}, {2}, {3}, {4}}
}

func newWithdrawalSite(seed uint64, fault plantedFault) *withdrawalSite {
	s := &withdrawalSite{Rand: rand.New(rand.NewPCG(seed, 1)), fault: fault, clock: 1000, withdrawn: map[model.KeyDigest]bool{}}
	for range 3 {
		s.replicas = append(s.replicas, &simulatedReplica{})
	}
	s.publish(keyDigests())
	s.commitAll()
	for _, r := range s.replicas {
		s.apply(r)
		s.save(r)
	}
	return s
}

// publish sends a catalog with the keys to the leader.
func (s *withdrawalSite) publish(keys []model.KeyDigest) {
	s.version++
	c := model.Catalog{
		Version: s.version, Pools: []model.WorkerPool{{Name: "p"}}, Queues: []model.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p"}},
		RequireKeys: true, Accounts: []model.ClientAccount{{Name: "a", Weight: 1}},
	}
	for _, key := range keys {
		c.Keys = append(c.Keys, model.AccountKey{Digest: key, Account: "a"})
		delete(s.withdrawn, key)
	}
	s.propose(model.PublishCatalog{Catalog: c}, true)
}

func (s *withdrawalSite) propose(c model.Command, taken bool) {
	s.log, s.taken = append(s.log, model.Envelope{Command: c, Time: s.clock}), append(s.taken, taken)
}

// deliver passes one of the calls that are on their way to the leader, by way of a replica
// whose state may be old. The call may arrive again later.
func (s *withdrawalSite) deliver() {
	if len(s.held) == 0 {
		return
	}
	i := s.IntN(len(s.held))
	call := s.held[i]
	if s.IntN(4) > 0 {
		s.held = slices.Delete(s.held, i, i+1)
	}
	_, known := s.replicas[s.IntN(len(s.replicas))].state.Catalog.AccountOf(call.Key)
	if s.fault == checkedAtEntryOnly && !known {
		return
	}
	s.propose(call, known)
}

// commitAll commits the log at the leader and checks the effect of each entry.
func (s *withdrawalSite) commitAll() {
	s.commit = len(s.log)
	s.apply(s.replicas[s.leader])
}

// apply applies the committed entries that a replica lacks.
func (s *withdrawalSite) apply(r *simulatedReplica) {
	for int(r.state.Index) < s.commit {
		s.applyNext(r, r == s.replicas[s.leader])
	}
}

func (s *withdrawalSite) applyNext(r *simulatedReplica, leads bool) {
	i := int(r.state.Index)
	env := s.log[i]
	before := r.state
	if _, call := env.Command.(model.SubmitWorkload); call && s.fault == checkedAtEntryOnly && s.taken[i] {
		open := *before.Catalog
		open.RequireKeys, before.Catalog = false, &open
	}
	next, res := command.Apply(before, model.Index(i+1), 1, env)
	if _, call := env.Command.(model.SubmitWorkload); call {
		next.Catalog = r.state.Catalog
	}
	r.state = next
	if leads {
		s.check(env.Command, res)
	}
}

// check records what the leader acknowledges.
func (s *withdrawalSite) check(c model.Command, res result.Result) {
	switch c := c.(type) {
	case model.PublishCatalog:
		if res.Code == result.OK && c.Catalog.Version == s.version {
			for _, key := range keyDigests() {
				_, held := c.Catalog.AccountOf(&key)
				s.withdrawn[key] = !held
			}
		}
	case model.SubmitWorkload:
		if res.Code == result.Accepted {
			s.accepted++
		}
		if res.Code.OK() && s.withdrawn[*c.Key] {
			s.broken = fmt.Sprintf("a submission with the withdrawn key %x got %s", c.Key[:1], res.Code)
		}
	}
}

// read checks that a withdrawn key reads nothing at the leader.
func (s *withdrawalSite) read() {
	key := keyDigests()[s.IntN(4)]
	_, code := query.PendingAt(s.replicas[s.leader].state, "h", "/", &key)
	if code == result.OK && s.withdrawn[key] {
		s.broken = fmt.Sprintf("a read with the withdrawn key %x got %s", key[:1], code)
	}
}

func (s *withdrawalSite) save(r *simulatedReplica) {
	data, err := codec.EncodeState(r.state)
	if err != nil {
		panic(err)
	}
	r.snapshot = data
}

// restart loads the snapshot of a replica, which may be old.
func (s *withdrawalSite) restart(r *simulatedReplica) {
	state, err := codec.DecodeState(r.snapshot)
	if err != nil {
		panic(err)
	}
	if s.fault == oldKeysInSnapshot {
		old := *state.Catalog
		old.Keys, state.Catalog = s.log[0].Command.(model.PublishCatalog).Catalog.Keys, &old
	}
	r.state = state
}

// step takes one random step. The order of committed entries is that of the log; entries
// that are not committed may be lost with their leader.
func (s *withdrawalSite) step() {
	r := s.replicas[s.IntN(len(s.replicas))]
	switch s.IntN(12) {
	case 0, 1, 2:
		s.calls++
		key := keyDigests()[s.IntN(4)]
		w := model.Workload{Steps: []model.Step{{Count: 1}}}
		s.held = append(s.held, model.SubmitWorkload{Host: "h", Path: fmt.Sprintf("/%016x", s.calls), Key: &key, Workload: w})
	case 3, 4, 5:
		s.deliver()
	case 6:
		keys := slices.DeleteFunc(keyDigests(), func(model.KeyDigest) bool { return s.IntN(2) == 0 })
		s.publish(keys)
	case 7:
		s.commitAll()
	case 8:
		if s.clock += model.Timestamp(s.IntN(10_000)); r != s.replicas[s.leader] {
			s.apply(r)
		}
	case 9:
		s.save(r)
	case 10: // restart, and a new leader, which applies all that is committed
		s.restart(r)
		lost := s.commit + s.IntN(len(s.log)-s.commit+1)
		s.log, s.taken = s.log[:lost], s.taken[:lost]
		s.leader = s.IntN(len(s.replicas))
		for int(s.replicas[s.leader].state.Index) < s.commit {
			s.applyNext(s.replicas[s.leader], false) // acknowledged before
		}
	default:
		s.read()
	}
}

// play returns what a schedule broke, and the number of accepted workloads.
func play(t *testing.T, seed uint64, fault plantedFault) (string, int) {
	s := newWithdrawalSite(seed, fault)
	for range 400 {
		if s.step(); s.broken != "" {
			return s.broken, s.accepted
		}
	}
	s.commitAll()
	var digests []string
	for _, r := range s.replicas {
		s.apply(r)
		digest, err := codec.Digest(r.state)
		assert.NilError(t, err)
		digests = append(digests, digest)
	}
	if fault == noFault {
		assert.Assert(t, digests[0] == digests[1] && digests[1] == digests[2], "seed %d", seed)
	}
	return s.broken, s.accepted
}

const withdrawalSeeds = 100

// Guards against a call that runs, or reads, with a key that was withdrawn before it was
// committed: after a new leader, a restart from an old snapshot, by way of a replica with an
// old state, held up, sent again, and after a step of the clock.
func TestNoCallRunsAfterTheWithdrawalOfItsKey(t *testing.T) {
	accepted := 0
	for seed := range uint64(withdrawalSeeds) {
		broken, n := play(t, seed, noFault)
		assert.Equal(t, broken, "", "seed %d", seed)
		accepted += n
	}
	assert.Assert(t, accepted > withdrawalSeeds, "the schedules accept too few workloads: %d", accepted)
}

// Guards against a test of withdrawals that finds nothing.
func TestFaultsOfWithdrawalsAreFound(t *testing.T) {
	for name, fault := range map[string]plantedFault{"key checked at the entry only": checkedAtEntryOnly, "withdrawn key in a snapshot": oldKeysInSnapshot} {
		found := 0
		for seed := range uint64(withdrawalSeeds) {
			if broken, _ := play(t, seed, fault); broken != "" {
				found++
			}
		}
		t.Logf("%s: found by %d of %d schedules", name, found, withdrawalSeeds)
		assert.Assert(t, found > 0, name)
	}
}
