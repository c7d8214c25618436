package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/node/wait"
	"lacewingturn.example/platform/standin"
)

const (
	// costlyPause is the time between two costly workloads.
	costlyPause = time.Second
	// maxWidth is the largest number of tasks of a wide workload.
	maxWidth = 1500
	// payloadBytes is the length of a payload that the platform allows.
	payloadBytes = 4000
	// scheduledRounds is a round each hour for two years.
	scheduledRounds = 17_280
)

// callCostly submits workloads that cost the system much for what they are: many small tasks that
// end soon, long payloads, and rounds that are not due for long. The latter are cancelled again.
func (t *traffic) callCostly(ctx context.Context, rng *rand.Rand) {
	for wait.Sleep(ctx, costlyPause) == nil {
		w := standin.Workload{
			ID: fmt.Sprintf("%016x", rng.Uint64()), Key: steadyKey, Queue: queues[rng.IntN(len(queues))], Steps: 1,
			Tasks: 1 + rng.IntN(maxWidth), MilliCPU: 1 + rng.Int64N(4), Time: time.Duration(30+rng.IntN(200)) * time.Millisecond,
		}
		switch rng.IntN(3) {
		case 0:
			w.Tasks, w.PayloadBytes = 1+rng.IntN(maxWidth/3), payloadBytes
		case 1:
			w.Tasks, w.Rounds, w.FirstDue = 1, scheduledRounds, time.Now().Add(time.Hour)
		}
		record := t.checker.recordWorkload(w)
		t.submit(record, rng)
		for end := time.Now().Add(settleTimeout); w.Rounds > 0 && record.cancelledAt.IsZero() && time.Now().Before(end); {
			t.cancelWorkload(record, rng)
		}
	}
}

// checkMemory checks that no process has taken more than its machine has.
func (s *system) checkMemory() {
	for _, p := range s.processes() {
		peak, err := p.PeakMemoryMB()
		assert.Check(s.t, err)
		assert.Check(s.t, peak < standin.DefaultMemoryMB, "FAULT: %s has taken %d MB of %d", p.Name, peak, standin.DefaultMemoryMB)
	}
}
