package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

var start = time.Unix(0, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func arrive(d Dispatcher, now time.Time, id ItemID, caller model.CallerID) {
	d.Arrive(now, Item{ID: id, Caller: caller})
}

func ids(d Decision) []ItemID {
	out := []ItemID{}
	for _, item := range d.Start {
		out = append(out, item.ID)
	}
	return out
}

// Guards against a rotation that restarts at the first caller after each call
// and so serves low IDs more often.
func TestRoundRobinContinuesAfterLastCaller(t *testing.T) {
	d, err := New(RoundRobin, Options{})
	assert.NilError(t, err)
	for i, c := range []model.CallerID{"a", "a", "b", "b", "c"} {
		arrive(d, at(0), ItemID(i), c)
	}
	assert.DeepEqual(t, ids(d.Next(at(0), 2)), []ItemID{0, 2})
	assert.DeepEqual(t, ids(d.Next(at(0), 2)), []ItemID{4, 1})
	assert.DeepEqual(t, ids(d.Next(at(0), 2)), []ItemID{3})
}

// Guards against a capped caller that stays blocked after a completion.
func TestCappedCallerContinuesAfterCompletion(t *testing.T) {
	d, err := New(Capped, Options{})
	assert.NilError(t, err)
	for i := range 4 {
		arrive(d, at(0), ItemID(i), "a")
	}
	assert.DeepEqual(t, ids(d.Next(at(0), 8)), []ItemID{0, 1})
	d.Complete(at(5), 0, 5*time.Millisecond)
	assert.DeepEqual(t, ids(d.Next(at(5), 7)), []ItemID{2})
}

// Guards against starting work that was cancelled or whose deadline passed,
// under every policy.
func TestCancelledAndExpiredItemsAreNotStarted(t *testing.T) {
	for _, p := range Policies() {
		d, err := New(p, Options{})
		assert.NilError(t, err)
		arrive(d, at(0), 1, "a")
		d.Arrive(at(0), Item{ID: 2, Caller: "a", Deadline: at(10)})
		arrive(d, at(0), 3, "a")
		assert.Assert(t, d.Cancel(at(1), 1))
		assert.Assert(t, !d.Cancel(at(1), 1), "second cancel")
		next := d.Next(at(10), 8)
		assert.DeepEqual(t, ids(next), []ItemID{3})
		assert.Equal(t, len(next.Expired), 1)
		assert.Equal(t, d.Stats(at(10)), Stats{Running: 1})
		assert.Assert(t, !d.Cancel(at(11), 3), "cancel of a running item")
	}
}
