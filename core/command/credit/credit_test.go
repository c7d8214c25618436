package credit

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewingturn.example/core/model"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The fixed seed makes a failure reproducible.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	// A scenario takes 0.4 s under the race detector; 100 checks, the default of rapid, would
	// take most of a minute.
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20")
	}
	os.Exit(m.Run())
}

// injectFault injects one fault, or adds a target, which the protocol must tolerate.
func injectFault(s *simulation, kind, n int) {
	id := model.EntryID(fmt.Sprintf("e%d", n))
	e := s.entries[id]
	switch kind {
	case 0: // crash: its requests keep running at the targets
		delete(s.entries, id)
	case 1, 2: // start, possibly before the previous incarnation is removed
		s.start(id)
	case 3, 4: // a partition begins or ends
		if e != nil {
			e.partitioned = !e.partitioned
		}
	case 5:
		s.addTarget(TargetIncarnation{model.TargetID(fmt.Sprintf("t%d", n)), 1})
	}
}

func scenario(s *simulation, faults []int) error {
	for _, f := range faults {
		if err := s.run(time.Duration(100+f%1900) * time.Millisecond); err != nil {
			return err
		}
		injectFault(s, f%6, f%7)
	}
	return nil
}

// heal ends all faults and checks that every slot can be used again.
func heal(s *simulation) error {
	s.faults, s.maxDemand = false, 0
	for _, e := range s.entries {
		e.partitioned = false
	}
	if len(s.entries) == 0 {
		s.start("e0")
	}
	if err := s.run(12 * time.Second); err != nil {
		return err
	}
	for _, target := range s.targets {
		target.peak = 0
	}
	s.maxDemand = 40
	if err := s.run(4 * time.Second); err != nil {
		return err
	}
	for key, target := range s.targets {
		if target.peak < target.slots {
			return fmt.Errorf("target %v: only %d of %d slots became usable again", key, target.peak, target.slots)
		}
	}
	return nil
}

// Guards against more requests on a target than it has slots, and against slots that stay lost,
// when instances crash, are partitioned, join and leave while messages are lost and delayed.
// Invariants 5 and 6 depend on the first property.
func TestSlotsAreNeverExceededAndComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Int64().Draw(t, "seed")
		s := newSimulation(seed, rapid.IntRange(1, 6).Draw(t, "entries"), rapid.IntRange(1, 3).Draw(t, "targets"))
		if err := scenario(s, rapid.SliceOfN(rapid.IntRange(0, 1<<20), 1, 12).Draw(t, "faults")); err != nil {
			t.Fatal(err)
		}
		if err := heal(s); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a property test that cannot fail: with any one rule of the owner broken, the same
// scenarios must exceed the slots of a target. Each key says how the rule is broken.
func TestCheckFindsBrokenRules(t *testing.T) {
	rules := map[string]func(*Owner){
		"no wait for credits of the previous owner": func(o *Owner) {
			for _, t := range o.targets {
				t.waitUntil = time.Time{}
				t.pending, t.unknownSince = map[Member]bool{}, time.Time{}
			}
		},
		"abandoned and expired slots are free at once": func(o *Owner) {
			for _, t := range o.targets {
				for _, h := range t.holders {
					if o.lease.After(h.until) {
						h.bound = 0
					}
				}
			}
		},
		"slots of removed holders are free at once": func(o *Owner) {
			for _, t := range o.targets {
				for m, h := range t.holders {
					if !h.removedAt.IsZero() {
						delete(t.holders, m)
					}
				}
			}
		},
	}
	for name, rule := range rules {
		found := int64(-1)
		for seed := int64(0); seed < 60 && found < 0; seed++ {
			s := newSimulation(seed, 4, 2)
			s.breakRule = rule
			var faults []int
			for range 10 {
				faults = append(faults, s.rnd.Intn(1<<20))
			}
			if scenario(s, faults) != nil {
				found = seed
			}
		}
		assert.Assert(t, found >= 0, "broken rule %q: none of 60 scenarios exceeded the slots of a target", name)
		t.Logf("broken rule %q: slots of a target exceeded with seed %d", name, found)
	}
}
