package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// filledDispatcher returns a dispatcher with n queued items of 200 callers and 400 slots in use,
// and the IDs of the running items. Every second caller sends items that run a hundred times
// longer than those of the others.
func filledDispatcher(b *testing.B, p Policy, n int) (Dispatcher, []ItemID) {
	d, err := New(p, Options{})
	assert.NilError(b, err)
	for i := range n + 400 {
		d.Arrive(at(0), benchItem(ItemID(i)))
	}
	var running []ItemID
	for len(running) < 400 {
		for _, item := range d.Next(at(0), 400-len(running)).Start {
			running = append(running, item.ID)
		}
		if len(running) < 400 {
			d.Complete(at(0), running[0], benchRunTime(running[0]))
			running = running[1:]
		}
	}
	return d, running
}

func benchItem(id ItemID) Item {
	return Item{ID: id, Caller: model.CallerID(fmt.Sprintf("caller-%d", id%200)), Service: "tickets"}
}

func benchRunTime(id ItemID) time.Duration {
	if id%2 == 0 {
		return 3 * time.Second
	}
	return 30 * time.Millisecond
}

// BenchmarkDecision measures one arrival, one completion and the following call of Next at a
// constant queue length.
func BenchmarkDecision(b *testing.B) {
	for _, p := range Policies() {
		for _, n := range []int{1_000, 100_000} {
			b.Run(fmt.Sprintf("%s/queued=%d", p, n), func(b *testing.B) {
				d, running := filledDispatcher(b, p, n)
				items := make([]Item, 4096)
				for i := range items {
					items[i] = benchItem(ItemID(i))
				}
				next, now := ItemID(1<<32), at(0)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now = now.Add(50 * time.Microsecond)
					item := items[i%len(items)]
					item.ID = next + item.ID%2 // keeps the parity, which decides the run time
					next += 2
					d.Arrive(now, item)
					slot := i % len(running)
					d.Complete(now, running[slot], benchRunTime(running[slot]))
					running[slot] = running[len(running)-1]
					running = running[:len(running)-1]
					for _, started := range d.Next(now, 400-len(running)).Start {
						running = append(running, started.ID)
					}
				}
			})
		}
	}
}
