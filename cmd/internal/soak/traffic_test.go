package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/node/wait"
	"lacewingturn.example/platform/standin"
)

const (
	callers      = 4
	callPause    = 250 * time.Millisecond
	configPause  = 700 * time.Millisecond
	retryPause   = 150 * time.Millisecond
	submitFor    = 10 * time.Second // how long a caller sends a job again
	applyBound   = 2 * time.Second
	orderTimeout = 30 * time.Second
)

// traffic is what callers and the operator do while faults are injected.
type traffic struct {
	*system
	operator *standin.Operator
	caller   *standin.Caller
	all      sync.WaitGroup
	newest   atomic.Int64 // version that was acknowledged last
}

func newTraffic(s *system) *traffic {
	return &traffic{system: s, operator: standin.NewOperator(queues), caller: standin.NewCaller()}
}

// run works until ctx ends.
func (t *traffic) run(ctx context.Context, seed uint64) {
	for i := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		t.all.Go(func() { t.call(ctx, rng) })
	}
	t.all.Go(func() { t.configure(ctx, rand.New(rand.NewPCG(seed, callers))) })
}

func (t *traffic) call(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		j := t.ledger.submit(standin.Job{
			ID: fmt.Sprintf("%016x", rng.Uint64()), Queue: queues[rng.IntN(len(queues))], Steps: 1 + rng.IntN(2), Tasks: 1 + rng.IntN(6),
			MilliCPU: 500 + 100*rng.Int64N(15), Time: time.Duration(200+rng.IntN(1200)) * time.Millisecond, Failures: rng.IntN(6) / 4,
		})
		t.submit(j, rng)
		if rng.IntN(6) == 0 {
			t.cancelJob(j, rng)
		}
		if wait.For(ctx, callPause) != nil {
			return
		}
	}
}

func (t *traffic) anyEntry(rng *rand.Rand) string { return t.nodes[rng.IntN(nodeCount)].Callers() }

// submit sends the job until there is a clear answer. After a lost answer a
// refusal says nothing about the earlier attempt.
func (t *traffic) submit(j *job, rng *rand.Rand) {
	unclear := false
	for end := time.Now().Add(submitFor); time.Now().Before(end); {
		status, _ := t.caller.Submit(t.t.Context(), t.anyEntry(rng), j.Job) // status 0 stands for the error
		switch status {
		case http.StatusOK:
			t.ledger.settle(j, true, false)
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
			if !unclear {
				t.ledger.settle(j, false, true)
				return
			}
		default:
			unclear = true
		}
		if wait.For(t.t.Context(), retryPause) != nil {
			return
		}
	}
}

func (t *traffic) cancelJob(j *job, rng *rand.Rand) {
	t.ledger.cancelSent(j)
	for end := time.Now().Add(submitFor); time.Now().Before(end); {
		status, _ := t.caller.Cancel(t.t.Context(), t.anyEntry(rng), j.Job) // status 0 stands for the error
		if status == http.StatusOK || status == http.StatusGone {
			t.ledger.cancelled(j)
			return
		}
		if wait.For(t.t.Context(), retryPause) != nil {
			return
		}
	}
}

// configure publishes rising versions and reads them back.
func (t *traffic) configure(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		t.publish(t.newest.Load() + 1 + rng.Int64N(5))
		if wait.For(ctx, configPause) != nil {
			return
		}
		before := t.newest.Load()
		if wait.For(ctx, applyBound) != nil {
			return
		}
		t.read(before, rng)
	}
}

// publish sends a version to one control process after the other until it is acknowledged.
func (t *traffic) publish(version int64) {
	for i, end := 0, time.Now().Add(orderTimeout); time.Now().Before(end); i++ {
		acked, err := t.operator.Publish(t.t.Context(), t.controls()[i%nodeCount], version)
		assert.Check(t.t, err)
		if acked {
			t.newest.Store(version)
			return
		}
		if wait.For(t.t.Context(), retryPause) != nil {
			return
		}
	}
	t.t.Errorf("version %d was not acknowledged within %s", version, orderTimeout)
}

// read checks that a control process shows no version that is older.
func (t *traffic) read(least int64, rng *rand.Rand) {
	address := t.controls()[rng.IntN(nodeCount)]
	if got := t.operator.Read(t.t.Context(), address); got != 0 && got < least {
		t.t.Errorf("CONFIG: %s shows version %d after %d was acknowledged", address, got, least)
	}
}

// newProbe returns a small job.
func newProbe(rng *rand.Rand) standin.Job {
	return standin.Job{ID: fmt.Sprintf("%016x", rng.Uint64()), Queue: queues[0], Steps: 1, Tasks: 1, MilliCPU: 500, Time: 200 * time.Millisecond}
}
