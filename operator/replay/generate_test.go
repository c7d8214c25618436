package replay

import (
	"fmt"
	"time"

	"lacewingturn.example/core/model"
)

// workload is a trace of bulk callers and bursts of quiet callers, as in the
// article "The same capacity can produce different waits (SaaS noisy neighbor)".
type workload struct {
	slots    int
	bulkJobs int   // of each bulk caller, at time 0
	bulkRuns []int // run time in ms of each bulk caller
	quiet    int   // quiet callers, one job in each burst
	quietRun int   // ms
	bursts   []int // ms
}

// reference returns a reference workload of the article.
func reference(bulkRun int) workload {
	return workload{slots: 8, bulkJobs: 400, bulkRuns: []int{bulkRun}, quiet: 19, quietRun: 100, bursts: []int{200, 600, 1000, 1400}}
}

func (w workload) trace() Trace {
	t := Trace{Targets: []Target{{ID: "t1", Slots: w.slots}}}
	add := func(caller int, cohort string, at, run int) {
		t.Records = append(t.Records, Record{
			ID: fmt.Sprint(len(t.Records)), Caller: model.CallerID(fmt.Sprint(caller)), Cohort: cohort, Service: "tickets",
			At: time.Duration(at) * time.Millisecond, Run: time.Duration(run) * time.Millisecond,
		})
	}
	for b, run := range w.bulkRuns {
		for range w.bulkJobs {
			add(b, "bulk", 0, run)
		}
	}
	for _, at := range w.bursts {
		for q := range w.quiet {
			add(len(w.bulkRuns)+q, "quiet", at, w.quietRun)
		}
	}
	return t
}
