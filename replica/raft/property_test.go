package raft

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewingturn.example/core/model"
)

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// maxPackets bounds the network; older packets are lost.
const maxPackets = 120

// act takes one random action.
func (w *world) act() {
	n := w.choose(100)
	if w.stormy && n >= 90 {
		n = 84 + n%4 // crashes and cuts only, to change leaders often
	}
	switch {
	case n < 45:
		if len(w.packets) > 0 {
			w.deliver(w.choose(len(w.packets)), false)
		}
	case n < 62:
		w.sync(w.pick())
	case n < 74:
		w.advance(time.Duration(10+w.choose(200)) * time.Millisecond)
	case n < 84:
		w.propose()
	case n < 86:
		w.crash(w.pick())
	case n < 88:
		w.cuts[[2]model.ReplicaID{w.pick(), w.pick()}] = true
	case n < 90:
		clear(w.cuts)
	case n < 92:
		if len(w.packets) > 0 {
			w.deliver(w.choose(len(w.packets)), true)
		}
	case n < 94:
		w.compact(w.pick())
	case n < 96:
		w.change()
	case n < 97:
		w.step(w.pick(), StorageFailed{})
	case n < 98:
		w.wipe()
	case n < 99:
		w.step(w.pick(), Resign{})
	default:
		w.rejoin()
	}
	if len(w.packets) > maxPackets {
		lost := w.packets[0]
		w.packets = w.packets[1:]
		w.transferred(lost)
	}
}

// settle heals all faults and runs until the replicas agree. It reports false
// if a new command is not committed within a minute.
func (w *world) settle() bool {
	clear(w.cuts)
	for _, id := range w.ids {
		if st := w.actors[id].state; st.failed {
			w.crash(id)
		}
	}
	goal := ""
	for range 1200 {
		w.advance(50 * time.Millisecond)
		for range 20 {
			for _, id := range w.ids {
				w.sync(id)
			}
			for n := len(w.packets); n > 0; n-- {
				w.deliver(0, false)
			}
		}
		w.rejoin()
		if goal == "" && w.now.Unix()%5 == 0 && w.propose() {
			goal = "proposed"
		}
		if goal != "" && w.agreed() {
			return true
		}
		if w.now.Unix()%5 == 4 {
			goal = ""
		}
	}
	return false
}

// agreed reports whether the last proposed command is committed on a quorum.
func (w *world) agreed() bool {
	last, ok := w.history[model.Index(len(w.history))]
	if !ok || last.Kind != KindCommand {
		return false
	}
	leader, ok := w.leader()
	if !ok {
		return false
	}
	members, holders := w.actors[leader].state.Members(), 0
	for _, id := range w.ids {
		if members.Voter(id) && len(w.actors[id].applied) == len(w.history) {
			holders++
		}
	}
	return holders >= members.Quorum()
}

// check returns what is wrong with the committed log as a whole.
func (w *world) check() error {
	seen := map[string]model.Index{}
	for i := model.Index(1); i <= model.Index(len(w.history)); i++ {
		e, ok := w.history[i]
		if !ok {
			w.fail("committed entry %d is missing", i)
		}
		if first, twice := seen[string(e.Data)]; twice && e.Kind == KindCommand {
			w.fail("%q is committed at %d and %d", e.Data, first, i)
		}
		seen[string(e.Data)] = i
	}
	return w.err
}

// Guards against two leaders in one term, committed entries that are lost or
// changed, commands applied twice or out of order, and a site that stays
// without progress after all faults have ended.
func TestSafetyUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }, 3+2*rapid.IntRange(0, 1).Draw(t, "size"), brokenRules{})
		for range 600 {
			w.act()
			if w.err != nil {
				t.Fatal(w.err)
			}
		}
		settled := w.settle()
		if err := w.check(); err != nil {
			t.Fatal(err)
		}
		if !settled {
			t.Fatalf("no progress after all faults have ended: %s", w.describe())
		}
	})
}

// run drives a world by a seed and returns the first broken rule.
func run(seed uint64, rules brokenRules, steps int) error {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(rng.IntN, 3+2*int(seed%2), rules)
	w.stormy = seed%4 < 2
	for range steps {
		if w.act(); w.err != nil {
			return w.err
		}
	}
	w.settle()
	return w.check()
}

// Guards against checks that would not notice a broken rule: with each rule
// broken on purpose, a violation must be found within a fixed set of seeds.
func TestChecksFindBrokenRules(t *testing.T) {
	for name, rules := range map[string]brokenRules{
		"answers before the sync":              {answerUnsynced: true},
		"votes for a log that is behind":       {voteForAny: true},
		"changes the membership without limit": {changeAtOnce: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3000) {
				if err := run(seed, rules, 600); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no seed shows the broken rule")
		})
	}
	for seed := range uint64(100) {
		assert.NilError(t, run(seed, brokenRules{}, 600), "seed %d", seed)
	}
}

// elect lets a replica win an election with the vote of another, while the
// third hears nothing. The first attempt may only teach it the current term.
func (w *world) elect(t *testing.T, id, voter model.ReplicaID) {
	for attempt := 0; attempt < 2 && w.actors[id].state.role != Leader; attempt++ {
		w.packets = nil
		w.now = w.now.Add(time.Second)
		w.actors[id].state.electionAt = w.now
		w.step(id, Tick{})
		w.between(id, voter, func() bool { return w.actors[id].state.role == Leader })
	}
	assert.Equal(t, w.actors[id].state.role, Leader, w.describe())
}

// between delivers messages of two replicas only, until done.
func (w *world) between(a, b model.ReplicaID, done func() bool) {
	for range 50 {
		w.sync(a)
		w.sync(b)
		if done() || len(w.packets) == 0 {
			return
		}
		to := w.packets[0].msg.To
		if to != a && to != b {
			w.packets = w.packets[1:]
			continue
		}
		w.deliver(0, false)
	}
}

// Guards against an entry of an earlier term that counts as committed because
// a quorum holds it: a leader of a term in between may still replace it. Random
// runs find this once in 10,000 runs of 1500 steps, so the case is spelled out.
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	replaced := func(rules brokenRules) error {
		w := newWorld(func(int) int { return 0 }, 3, rules)
		r1, r2, r3 := w.ids[0], w.ids[1], w.ids[2]
		w.elect(t, r1, r2)
		for _, other := range []model.ReplicaID{r2, r3} {
			w.advance(150 * time.Millisecond)
			w.between(r1, other, func() bool { return len(w.actors[other].applied) == 2 })
		}
		w.step(r1, Propose{Commands: []Command{{Data: make([]byte, 200)}}}) // on r1 only
		w.sync(r1)
		x := w.actors[r1].state.log.Last()
		w.crash(r1)
		w.elect(t, r3, r2)
		w.sync(r3) // its first entry is on r3 only
		w.crash(r3)
		w.elect(t, r1, r2)
		w.between(r1, r2, func() bool { return w.actors[r2].state.log.Last() >= x && w.actors[r2].state.writes.durable >= x })
		w.between(r1, r2, func() bool { return w.actors[r1].state.peer(r2).match >= x })
		w.crash(r1)
		w.elect(t, r3, r2)
		w.between(r3, r2, func() bool { return len(w.actors[r2].applied) > int(x) })
		return w.check()
	}
	assert.NilError(t, replaced(brokenRules{}))
	assert.ErrorContains(t, replaced(brokenRules{commitAnyTerm: true}), "changed")
}
