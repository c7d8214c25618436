package replay

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command/dispatch"
	"lacewingturn.example/core/model"
)

// Guards against FIFO, round-robin and capped policies that differ from the published
// ones. The figures are those of "The same capacity can produce different waits (SaaS
// noisy neighbor)".
func TestReferencePoliciesGivePublishedFigures(t *testing.T) {
	for _, c := range []struct {
		bulkRun   int
		policy    dispatch.Policy
		p95, max  float64
		bulkMS    float64
		utilValue string
	}{
		{100, dispatch.FIFO, 4900, 5000, 5000, "99.17"},
		{100, dispatch.RoundRobin, 200, 200, 6000, "99.17"},
		{100, dispatch.Capped, 200, 200, 20800, "28.61"},
		{500, dispatch.FIFO, 24900, 25000, 25000, "99.81"},
		{500, dispatch.RoundRobin, 500, 500, 26000, "99.81"},
		{500, dispatch.Capped, 200, 300, 100200, "25.90"},
	} {
		r, err := Run(referenceWorkload(c.bulkRun).trace(), Options{Policy: c.policy})
		assert.NilError(t, err)
		name := string(c.policy)
		assert.Equal(t, r.Cohorts["quiet"].Wait.P95, c.p95, name)
		assert.Equal(t, r.Cohorts["quiet"].Wait.Max, c.max, name)
		assert.Equal(t, r.Cohorts["bulk"].FinishedMS, c.bulkMS, name)
		assert.Equal(t, percent(r.Utilization), c.utilValue, name)
		assert.Equal(t, r.Completed, 476, name)
	}
}

// Guards against a default policy that misses the goals of the design: a p95 wait of
// quiet callers of at most 200 ms, with bulk work finished within 28.0 s (runs of
// 500 ms) and 6.5 s (runs of 100 ms).
func TestDefaultPolicyOnReferenceWorkloads(t *testing.T) {
	for _, c := range []struct {
		bulkRun int
		bulkMS  float64
	}{{500, 28000}, {100, 6500}} {
		r, err := Run(referenceWorkload(c.bulkRun).trace(), Options{Policy: dispatch.Default})
		assert.NilError(t, err)
		t.Logf("bulk run %d ms: %+v", c.bulkRun, r)
		assert.Assert(t, r.Cohorts["quiet"].Wait.P95 <= 200, "%v", r.Cohorts["quiet"].Wait)
		assert.Assert(t, r.Cohorts["bulk"].FinishedMS <= c.bulkMS, "%v", r.Cohorts["bulk"])
	}
}

// Guards against weights that have no effect. A higher weight of buffer cost must
// reduce the idle reserve and lengthen the waits of short work.
func TestWeightsTradeWaitForBufferCost(t *testing.T) {
	trace := referenceWorkload(500).trace()
	var last Report
	for i, w := range []model.Weights{
		{ShortWait: 0.6, BufferCost: 0.1, RollOut: 0.2, Moves: 0.1},
		{ShortWait: 0.2, BufferCost: 0.4, RollOut: 0.2, Moves: 0.2},
		{ShortWait: 0.1, BufferCost: 0.5, RollOut: 0.2, Moves: 0.2},
	} {
		r, err := Run(trace, Options{Policy: dispatch.Default, Weights: w})
		assert.NilError(t, err)
		t.Logf("%+v: quiet %+v, bulk finished %.0f ms, reserve idle %.0f slot-ms", w, r.Cohorts["quiet"].Wait, r.Cohorts["bulk"].FinishedMS, r.ReserveIdleSlotMS)
		if i > 0 {
			assert.Assert(t, r.ReserveIdleSlotMS < last.ReserveIdleSlotMS)
			assert.Assert(t, r.Cohorts["quiet"].Wait.P95 > last.Cohorts["quiet"].Wait.P95)
		}
		last = r
	}
}
