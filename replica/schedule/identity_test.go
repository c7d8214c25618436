package schedule

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// Guards against a live worker whose runs are started a second time, because another writer
// sent a heartbeat that names the worker's instance and a service of no configuration.
func TestHeartbeatOfUnknownPoolReplacesNobody(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		start := h.mustReport("a", 1, nil).Start
		h.mustReport("a", 1, running(start...))
		foreign := func(r *Report) { r.Pool, r.Instance = "elsewhere", "m-a" }
		o := h.mustReport("agent", 9, foreign)
		assert.Equal(t, o.Lease, time.Duration(0))
		time.Sleep(planInterval)
		assert.Equal(t, len(h.mustReport("b", 1, nil).Start), 0)
		o = h.mustReport("a", 1, running(start...))
		assert.Equal(t, o.Lease, lease)
		assert.Equal(t, len(o.Stop), 0)
	})
}

// Guards against the same by a heartbeat of a known service; and against a real new life on
// an instance that is not taken once the old one has fallen silent.
func TestReportingWorkerIsNotReplacedByAnotherName(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		start := h.mustReport("a", 1, nil).Start
		next := func(r *Report) { r.Instance = "m-a" }
		for range 5 {
			h.mustReport("a", 1, running(start...))
			assert.Equal(t, h.mustReport("z", 9, next).Lease, time.Duration(0))
			time.Sleep(busyInterval)
		}
		time.Sleep(maxReportAge)
		began := time.Now()
		o := h.mustReport("z", 9, next)
		assert.Equal(t, o.Lease, lease)
		assert.Equal(t, len(o.Start), 1)
		assert.Equal(t, o.Start[0].Run.Number, 2)
		assert.Assert(t, time.Since(began) < lease, "the lease of the old life was waited for")
	})
}

// Guards against a new life on an idle instance that has to wait for the old one.
func TestIdleWorkerIsReplacedAtOnce(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.mustReport("a", 1, nil)
		assert.Equal(t, h.mustReport("z", 9, func(r *Report) { r.Instance = "m-a" }).Lease, lease)
	})
}

// Guards against a worker whose runs lapse, because operators removed its service while it
// was at work.
func TestWorkerOfRemovedPoolKeepsItsRuns(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		start := h.mustReport("a", 1, nil).Start
		h.propose(model.PublishCatalog{Catalog: model.Catalog{Version: 2, Pools: []model.WorkerPool{{Name: "r"}}}})
		assert.Equal(t, h.mustReport("a", 1, running(start...)).Lease, lease)
		h.replica.lead(2)
		assert.Equal(t, h.mustReport("a", 1, running(start...)).Lease, lease)
		assert.Equal(t, h.mustReport("b", 1, nil).Lease, time.Duration(0))
	})
}

// Guards against a live worker whose runs are started a second time, because the departure
// of its earlier life arrives after it has started again under its name; and against the
// runs of a worker that has left which are started elsewhere only after its lease.
func TestLateDepartureEndsNoNewLife(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.mustReport("a", 1, func(r *Report) { r.Draining = true })
		h.submit(1, oneTask)
		start := h.mustReport("a", 5, nil).Start
		assert.Equal(t, len(start), 1)
		assert.NilError(t, h.machine.Depart(context.Background(), "a"))
		assert.NilError(t, h.machine.Depart(context.Background(), "a")) // sent again
		h.mustReport("a", 5, running(start...))
		time.Sleep(departGrace + maxReportAge)
		h.mustReport("a", 5, running(start...))
		assert.Equal(t, len(h.mustReport("b", 1, nil).Start), 0)

		h.mustReport("a", 5, func(r *Report) { running(start...)(r); r.Draining = true })
		assert.NilError(t, h.machine.Depart(context.Background(), "a"))
		time.Sleep(departGrace + planInterval)
		assert.Equal(t, len(h.mustReport("b", 1, nil).Start), 1)
	})
}
