package replay

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command/dispatch"
)

// variants returns workloads that vary the reference workloads.
func variants() map[string]workload {
	slow, equal := referenceWorkload(500), referenceWorkload(100)
	out := map[string]workload{}
	add := func(name string, base workload, change func(*workload)) {
		change(&base)
		out[name] = base
	}
	add("other bursts", slow, func(w *workload) { w.bursts = []int{300, 700, 1300, 2500} })
	add("late first burst", slow, func(w *workload) { w.bursts = []int{650, 1450, 2250, 3050} })
	add("many bursts", slow, func(w *workload) {
		w.bursts = []int{200, 600, 1000, 1400, 1800, 2200, 2600, 3000, 3400, 3800, 4200, 4600}
	})
	add("rare bursts", slow, func(w *workload) { w.bursts = []int{200, 3200, 6200, 9200, 12200} })
	add("more quiet callers", slow, func(w *workload) { w.quiet = 39 })
	add("few quiet callers", slow, func(w *workload) { w.quiet = 5 })
	add("second bulk caller", slow, func(w *workload) { w.bulkRuns = []int{500, 500}; w.bulkJobs = 200 })
	add("second bulk caller of other length", slow, func(w *workload) { w.bulkRuns = []int{500, 1500} })
	add("short quiet, very long bulk", slow, func(w *workload) { w.quietRun = 20; w.bulkRuns = []int{2000} })
	add("16 slots", slow, func(w *workload) { w.slots = 16 })
	add("equal jobs between completions", equal, func(w *workload) { w.bursts = []int{250, 650, 1050, 1450} })
	add("equal jobs, more quiet callers", equal, func(w *workload) { w.quiet = 39 })
	add("equal jobs, second bulk caller", equal, func(w *workload) { w.bulkRuns = []int{100, 100} })
	add("bulk shorter than quiet", equal, func(w *workload) { w.bulkRuns = []int{50} })
	return out
}

func mustRun(t *testing.T, trace Trace, p dispatch.Policy) Report {
	t.Helper()
	r, err := Run(trace, Options{Policy: p})
	assert.NilError(t, err)
	return r
}

// filterCohort returns the trace with the records of one cohort only.
func filterCohort(t Trace, cohort string) Trace {
	out := Trace{Targets: t.Targets}
	for _, r := range t.Records {
		if r.Cohort == cohort {
			out.Records = append(out.Records, r)
		}
	}
	return out
}

// Guards against constants of the default policy that suit only the reference
// workloads: bursts, numbers of callers, run times and slots differ here. The bounds
// are: the p95 wait of quiet work exceeds its p95 without bulk work on the same slots
// by at most one quiet run, and bulk work finishes within 28/26 of its time under
// round-robin, which is the ratio of the goal for slow bulk work.
func TestDefaultPolicyOnVariants(t *testing.T) {
	for name, w := range variants() {
		t.Run(name, func(t *testing.T) {
			trace := w.trace()
			alone := mustRun(t, filterCohort(trace, "quiet"), dispatch.FIFO).Cohorts["quiet"].Wait.P95
			roundRobin := mustRun(t, trace, dispatch.RoundRobin).Cohorts["bulk"].FinishedMS
			fifo := mustRun(t, trace, dispatch.FIFO).Cohorts["quiet"].Wait.P95
			got := mustRun(t, trace, dispatch.Default)
			quiet, bulk := got.Cohorts["quiet"].Wait, got.Cohorts["bulk"]
			t.Logf("quiet p95 %.0f ms (alone %.0f, fifo %.0f), max %.0f; bulk finished %.0f ms (round-robin %.0f); reserve idle %.0f slot-ms",
				quiet.P95, alone, fifo, quiet.Max, bulk.FinishedMS, roundRobin, got.ReserveIdleSlotMS)
			assert.Check(t, quiet.P95 <= alone+float64(w.quietRun), "quiet p95 %.0f ms", quiet.P95)
			assert.Check(t, bulk.FinishedMS <= roundRobin*28/26, "bulk finished %.0f ms", bulk.FinishedMS)
		})
	}
}
