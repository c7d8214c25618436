package table

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

type number int

func (n number) Compare(o number) int { return cmp.Compare(n, o) }

// Guards against a set that loses or repeats an element where its form changes, and against a
// version that changes with a later one.
func TestSetHoldsWhatWasAdded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var s Set[number]
	want := map[number]bool{}
	for i := range 4000 {
		k := number(rng.IntN(100))
		before, elements := s, slices.Collect(s.All())
		if rng.IntN(2) == 0 == (i/500%2 == 0 || rng.IntN(3) == 0) {
			s, want[k] = s.Add(k), true
		} else {
			s = s.Remove(k)
			delete(want, k)
		}
		assert.DeepEqual(t, slices.Collect(before.All()), elements)
		assert.Equal(t, s.Len(), len(want))
		assert.Equal(t, s.Has(k), want[k])
		assert.DeepEqual(t, slices.Collect(s.All()), slices.Sorted(maps.Keys(want)))
		assert.Assert(t, s.Same(s))
		assert.Assert(t, !s.Same(before) || s.Len() == before.Len())
	}
}
