package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/telemetry"
)

// lines returns the fields of the log lines with the event about a workload.
func (h *harness) lines(id model.WorkloadID, e event.Event) []map[string]any {
	var out []map[string]any
	for _, entry := range h.logs.FilterMessage(e.Name).All() {
		if fields := entry.ContextMap(); fields[telemetry.SamplingKey] == string(id) {
			out = append(out, fields)
		}
	}
	return out
}

// Guards against a failed workload whose log does not say which task failed, how
// often, and on which workers.
func TestFailedWorkloadCanBeExplained(t *testing.T) {
	runHarness(t, func(h *harness) {
		id := h.submit(1, oneTask)
		for _, worker := range []string{"a", "b", "c"} {
			start := h.mustReport(worker, 1, nil)
			h.mustReport(worker, 1, ended(model.RunFailed, start.Start[0]))
		}
		last := h.lines(id, event.WorkloadEnded)
		assert.Equal(t, len(last), 1)
		assert.Equal(t, last[0]["phase"], "failed")
		assert.Equal(t, last[0]["reason"], "task 0 of step 0 in round 0 has failed 3 times")
		var workers []any
		for _, line := range h.lines(id, event.RunEnded) {
			assert.Equal(t, line["outcome"], "failed")
			assert.Equal(t, line["cause"], causeReported)
			workers = append(workers, line["worker"])
		}
		assert.DeepEqual(t, workers, []any{"a@1", "b@1", "c@1"})
	})
}

// Guards against a workload that missed its target completion time whose log does not
// say that a worker was lost, why, and when its task was started again.
func TestLateWorkloadCanBeExplained(t *testing.T) {
	runHarness(t, func(h *harness) {
		id := h.submit(1, oneTask)
		h.mustReport("a", 1, nil)
		time.Sleep(lease + time.Second)
		again := h.mustReport("b", 1, nil)
		h.mustReport("b", 1, ended(model.RunDone, again.Start[0]))
		last := h.lines(id, event.WorkloadEnded)
		assert.Equal(t, last[0]["phase"], "completed")
		assert.Assert(t, last[0]["late"].(time.Duration) > 0)
		cause := h.lines(id, event.RunEnded)
		assert.Equal(t, len(cause), 1)
		assert.Equal(t, cause[0]["cause"], causeLeaseExpired)
		assert.Equal(t, cause[0]["worker"], "a@1")
		starts := h.lines(id, event.RunsStarted)
		assert.Equal(t, len(starts), 2)
		assert.Assert(t, starts[1]["since_accepted"].(time.Duration) > lease)
	})
}
