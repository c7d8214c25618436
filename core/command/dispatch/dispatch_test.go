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

// Guards against a rotation that restarts at the first caller in each call of Next, so that
// callers with low IDs are served more often.
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

// Guards against a capped caller that stays blocked although one of its items has completed.
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

// Guards against starting items that were cancelled or whose deadline passed while they were
// queued, under every policy.
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

// Guards against starvation: a long item that never starts while short items keep all slots
// busy.
func TestLongWorkStartsUnderSteadyShortWork(t *testing.T) {
	d, err := New(Default, Options{})
	assert.NilError(t, err)
	type run struct {
		id  ItemID
		end int
	}
	var running []run
	next := ItemID(1)
	runTime := func(id ItemID) int {
		if id == 0 {
			return 800
		}
		return 40
	}
	started := -1
	for ms := 0; ms < 10_000; ms += 10 {
		kept := running[:0]
		for _, r := range running {
			if r.end > ms {
				kept = append(kept, r)
				continue
			}
			d.Complete(at(ms), r.id, time.Duration(runTime(r.id))*time.Millisecond)
		}
		running = kept
		for range 3 { // more than the 8 slots serve, 2 in 10 ms
			arrive(d, at(ms), next, model.CallerID(rune('a'+next%10)))
			next++
		}
		if ms == 1000 {
			arrive(d, at(ms), 0, "long")
		}
		for _, item := range d.Next(at(ms), 8-len(running)).Start {
			running = append(running, run{item.ID, ms + runTime(item.ID)})
			if item.ID == 0 {
				started = ms
			}
		}
	}
	assert.Assert(t, started >= 0 && started <= 5000, "long item started at %d ms (-1: never), want at most 5000 ms", started)
}

// Guards against an idle dispatcher that asks for calls at short intervals (busy polling), and
// against a held-back item without a time for the next call.
func TestHeldBackItemsSetTimeOfNextCall(t *testing.T) {
	d, err := New(Default, Options{})
	assert.NilError(t, err)
	for i := range 100 {
		arrive(d, at(0), ItemID(i), "bulk")
	}
	now, calls := at(0), 0
	for {
		next := d.Next(now, 8-d.Stats(now).Running)
		if d.Stats(now).Running == 8 {
			break
		}
		assert.Assert(t, next.NextCall.After(now), "items are held back, but Decision.NextCall is not set")
		now = next.NextCall
		calls++
	}
	assert.Assert(t, calls <= 5, "%d calls of Next until all slots were in use, want at most 5", calls)
}

// Guards against slot time that counts as left idle after all queued items have been cancelled.
func TestCancellationEndsIdleTime(t *testing.T) {
	d, err := New(Default, Options{})
	assert.NilError(t, err)
	for i := range 10 {
		arrive(d, at(0), ItemID(i), "bulk")
	}
	assert.Equal(t, len(d.Next(at(0), 8).Start), 1, "slow start")
	for i := 1; i < 10; i++ {
		assert.Assert(t, d.Cancel(at(100), ItemID(i)))
	}
	assert.Equal(t, d.Stats(at(100)).IdleWhileQueued, 700*time.Millisecond)
	assert.Equal(t, d.Stats(at(5000)).IdleWhileQueued, 700*time.Millisecond)
}

// Guards against a slow start that never grows: the first item of a caller does not end, such
// as on a silent target, and its other items wait although slots are free.
func TestStuckFirstItemDoesNotHoldBackItsCaller(t *testing.T) {
	d, err := New(Default, Options{})
	assert.NilError(t, err)
	start := time.Unix(1000, 0)
	for id := range ItemID(4) {
		d.Arrive(start, Item{ID: id, Caller: "c", Service: "s"})
	}
	running := len(d.Next(start, 16).Start)
	for at := start; at.Before(start.Add(500 * time.Millisecond)); at = at.Add(50 * time.Millisecond) {
		running += len(d.Next(at, 16-running).Start)
	}
	assert.Assert(t, running >= 2, "%d of 4 items run after 500 ms on 16 slots, want at least 2", running)
}

// Guards against a slow start that never grows because the item that fills its limit had started
// before it: an item runs without end, further items of its caller arrive, and they wait although
// slots are free.
func TestSlowStartGrowsBesideItemThatStartedBefore(t *testing.T) {
	d, err := New(Default, Options{})
	assert.NilError(t, err)
	arrive(d, at(0), 0, "c")
	assert.Equal(t, len(d.Next(at(0), 1).Start), 1)
	for id := ItemID(1); id < 4; id++ {
		arrive(d, at(2), id, "c")
	}
	running := 1
	for now := at(2); running < 4; {
		next := d.Next(now, 4-running)
		running += len(next.Start)
		if running == 4 {
			break
		}
		assert.Assert(t, !next.NextCall.IsZero(), "%d of 4 items run, and Decision.NextCall is not set", running)
		now = next.NextCall
		assert.Assert(t, now.Before(at(1000)), "%d of 4 items run after 1 s on 4 slots", running)
	}
}
