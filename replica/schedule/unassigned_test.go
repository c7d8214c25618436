package schedule

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

const accountKey = "key of a"

// addAccount publishes a catalog with the account "a", whose cap holds one run of 1000
// thousandths of a processor but not two.
func (h *harness) addAccount() {
	c := *h.replica.View().State.Catalog
	c.Version++
	c.RequireKeys = true
	c.Accounts = []model.ClientAccount{{Name: "a", Weight: 1, Cap: model.Resources{MilliCPU: 1500}}}
	c.Keys = []model.AccountKey{{Digest: model.DigestKey(accountKey), Account: "a"}}
	h.propose(model.PublishCatalog{Catalog: c})
}

// submitAs submits a workload of the account "a".
func (h *harness) submitAs(path string, steps ...model.Step) model.WorkloadID {
	key := model.DigestKey(accountKey)
	h.propose(model.SubmitWorkload{Host: "h", Path: path, Key: &key, Workload: model.Workload{Payload: "text", Steps: steps}})
	return model.WorkloadID(path[1:])
}

func (h *harness) cancelAs(path string) {
	key := model.DigestKey(accountKey)
	h.propose(model.CancelWorkload{Host: "h", Path: path, Key: &key})
}

func (h *harness) started(id model.WorkloadID) bool {
	w, ok := h.replica.View().State.Workloads.Get(id)
	return !ok || w.Started()
}

const (
	firstPath  = "/00000000000000a1"
	secondPath = "/00000000000000a2"
)

// Guards against an account above its cap: its cancelled run is still being stopped on a
// worker, which counts until the worker does not list it any more, also when the worker is
// draining and gets no new runs.
func TestStoppingRunsCountForTheCap(t *testing.T) {
	runHarness(t, func(h *harness) {
		time.Sleep(lease + time.Second) // the leases of earlier leaders have ended
		h.addAccount()
		h.submitAs(firstPath, oneTask)
		start := h.mustReport("w", 1, nil).Start
		assert.Equal(t, len(start), 1)
		h.mustReport("w", 1, running(start...))
		h.cancelAs(firstPath)
		second := h.submitAs(secondPath, oneTask)
		stopping := func(r *Report) {
			running(start...)(r)
			r.Draining = true
		}
		for range 10 {
			time.Sleep(planInterval)
			h.mustReport("w", 1, stopping)
			h.mustReport("other", 1, nil)
			assert.Assert(t, !h.started(second), "the account is above its cap")
		}
		h.mustReport("w", 1, ended(model.RunInterrupted, start[0]))
		time.Sleep(planInterval)
		h.mustReport("other", 1, nil)
		assert.Assert(t, h.started(second))
	})
}

// Guards against an account above its cap after an election: the worker with its cancelled
// run has not reported to the new leader and may run it until its lease ends, or lists it
// although the new leader does not know its size.
func TestRunsFromBeforeAnElectionCountForTheCap(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.addAccount()
		h.submitAs(firstPath, oneTask)
		start := h.mustReport("w", 1, nil).Start
		h.mustReport("w", 1, running(start...))
		h.cancelAs(firstPath)
		second := h.submitAs(secondPath, oneTask)
		h.replica.Lead(2)
		elected := time.Now()
		for time.Since(elected) <= lease {
			h.mustReport("other", 1, nil)
			assert.Assert(t, !h.started(second), "the worker of the cancelled run has a lease")
			time.Sleep(planInterval)
		}
		for range 5 {
			h.mustReport("w", 1, running(start...))
			time.Sleep(planInterval)
			h.mustReport("other", 1, nil)
			assert.Assert(t, !h.started(second), "the worker lists the cancelled run")
		}
		h.mustReport("w", 1, nil)
		time.Sleep(lease + time.Second)
		h.mustReport("other", 1, nil)
		assert.Assert(t, h.started(second))
	})
}

// Guards against a cap that holds work back without a trace, or with a log line for each
// cycle. It follows the walk "One account's work waits while others run" of
// docs/OPERATIONS.md.
func TestCapThatHoldsWorkBackIsShown(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.addAccount()
		h.submitAs(firstPath, oneTask)
		h.submitAs(secondPath, oneTask)
		start := h.mustReport("w", 1, nil).Start
		for range 20 {
			time.Sleep(idleInterval)
			h.mustReport("w", 1, running(start...))
		}
		assert.Equal(t, h.logs.FilterMessage("cap holds work back").Len(), 1)
		held := func() float64 {
			return testutil.ToFloat64(h.machine.settings.Metrics.accounts.held.WithLabelValues("a"))
		}
		assert.Equal(t, held(), 1.0)
		h.mustReport("w", 1, ended(model.RunDone, start[0]))
		time.Sleep(pruneInterval)
		h.mustReport("w", 1, nil)
		assert.Equal(t, held(), 0.0)
	})
}
