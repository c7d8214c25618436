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
	callers        = 4
	callPause      = 250 * time.Millisecond // between two jobs of a caller
	configPause    = 700 * time.Millisecond // between two versions of the configuration
	retryPause     = 150 * time.Millisecond // before a request is sent again
	callerTimeout  = 10 * time.Second       // how long a caller resends a job or a cancellation
	applyBound     = 2 * time.Second        // how long after its acknowledgement a version may not be shown yet
	publishTimeout = 30 * time.Second       // how long the operator resends a version
)

// traffic sends the requests of the callers and of the operator while faults are
// injected.
type traffic struct {
	*system
	operator *standin.Operator
	caller   *standin.Caller
	all      sync.WaitGroup
	newest   atomic.Int64 // version of the configuration that was acknowledged last
}

func newTraffic(s *system) *traffic {
	return &traffic{system: s, operator: standin.NewOperator(queues, accountsOf), caller: standin.NewCaller()}
}

// run starts the callers and the operator, which work until ctx ends.
func (t *traffic) run(ctx context.Context, seed uint64) {
	for i := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		t.all.Go(func() { t.call(ctx, rng) })
	}
	t.all.Go(func() { t.configure(ctx, rand.New(rand.NewPCG(seed, callers))) })
}

func (t *traffic) call(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		w := t.checker.recordWorkload(standin.Workload{
			ID: fmt.Sprintf("%016x", rng.Uint64()), Key: steadyKey, Queue: queues[rng.IntN(len(queues))], Steps: 1 + rng.IntN(2), Tasks: 1 + rng.IntN(6),
			MilliCPU: 500 + 100*rng.Int64N(15), Time: time.Duration(200+rng.IntN(1200)) * time.Millisecond, Failures: rng.IntN(6) / 4,
		})
		t.submit(w, rng)
		if rng.IntN(6) == 0 {
			t.cancelWorkload(w, rng)
		}
		if wait.Sleep(ctx, callPause) != nil {
			return
		}
	}
}

func (t *traffic) entryAddress(rng *rand.Rand) string {
	return t.nodes[rng.IntN(nodeCount)].Callers()
}

// submit resends the workload until the answer is conclusive. After an attempt without a
// clear answer a refusal is not conclusive, because that attempt may have been accepted.
func (t *traffic) submit(w *workload, rng *rand.Rand) {
	unclear := false
	for end := time.Now().Add(callerTimeout); time.Now().Before(end); {
		status, _ := t.caller.Submit(t.t.Context(), t.entryAddress(rng), w.Workload) // an error leaves status 0
		switch status {
		case http.StatusOK:
			t.checker.recordSubmission(w, true, false)
			return
		case http.StatusUnauthorized, http.StatusForbidden:
			t.t.Errorf("CONFIG: job %s got %d although its key holds", w.ID, status)
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
			if !unclear {
				t.checker.recordSubmission(w, false, true)
				return
			}
		default:
			unclear = true
		}
		if wait.Sleep(t.t.Context(), retryPause) != nil {
			return
		}
	}
}

func (t *traffic) cancelWorkload(w *workload, rng *rand.Rand) {
	t.checker.recordCancelSent(w)
	for end := time.Now().Add(callerTimeout); time.Now().Before(end); {
		status, _ := t.caller.Cancel(t.t.Context(), t.entryAddress(rng), w.Workload) // an error leaves status 0
		if status == http.StatusOK || status == http.StatusGone {
			t.checker.recordCancelled(w)
			return
		}
		if wait.Sleep(t.t.Context(), retryPause) != nil {
			return
		}
	}
}

// configure publishes versions of the configuration with ascending numbers. applyBound
// after an acknowledgement it checks that a random control process shows no older version.
func (t *traffic) configure(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		withdrawn := t.newest.Load()
		t.publish(withdrawn + 1 + rng.Int64N(5))
		t.tryWithdrawnKey(withdrawn, rng)
		if wait.Sleep(ctx, configPause) != nil {
			return
		}
		before := t.newest.Load()
		if wait.Sleep(ctx, applyBound) != nil {
			return
		}
		t.read(before, rng)
	}
}

// publish sends a version to the control processes in turn until one acknowledges
// it.
func (t *traffic) publish(version int64) {
	for i, end := 0, time.Now().Add(publishTimeout); time.Now().Before(end); i++ {
		acked, err := t.operator.Publish(t.t.Context(), t.controls()[i%nodeCount], version)
		assert.Check(t.t, err)
		if acked {
			t.newest.Store(version)
			return
		}
		if wait.Sleep(t.t.Context(), retryPause) != nil {
			return
		}
	}
	t.t.Errorf("version %d was not acknowledged within %s", version, publishTimeout)
}

// read checks that a control process shows no version older than minimum.
func (t *traffic) read(minimum int64, rng *rand.Rand) {
	address := t.controls()[rng.IntN(nodeCount)]
	if got := t.operator.Version(t.t.Context(), address); got != 0 && got < minimum {
		t.t.Errorf("CONFIG: %s shows version %d after %d was acknowledged", address, got, minimum)
	}
}

// newProbe returns a small workload that shows whether the site accepts workloads.
func newProbe(rng *rand.Rand) standin.Workload {
	return standin.Workload{ID: fmt.Sprintf("%016x", rng.Uint64()), Key: steadyKey, Queue: queues[0], Steps: 1, Tasks: 1, MilliCPU: 500, Time: 200 * time.Millisecond}
}
