package replay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"lacewingturn.example/core/model"
)

// workload describes a trace of bulk callers and bursts of quiet callers, as in the
// article "The same capacity can produce different waits (SaaS noisy neighbor)".
type workload struct {
	slots    int
	bulkJobs int   // jobs of each bulk caller, all arriving at time 0
	bulkRuns []int // run time in ms of each bulk caller
	quiet    int   // number of quiet callers, each with one job in each burst
	quietRun int   // run time in ms of a job of a quiet caller
	bursts   []int // times in ms since the start of the trace
}

// referenceWorkload returns the workload of the article whose bulk jobs run for bulkRun
// milliseconds.
func referenceWorkload(bulkRun int) workload {
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

// encode returns the trace in its file format.
func encode(t *testing.T, tr Trace) []byte {
	t.Helper()
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	targets := []map[string]any{}
	for _, target := range tr.Targets {
		targets = append(targets, map[string]any{"id": target.ID, "slots": target.Slots})
	}
	assert.NilError(t, e.Encode(map[string]any{"trace": Version, "targets": targets}))
	for _, r := range tr.Records {
		assert.NilError(t, e.Encode(map[string]any{
			"at_ms": r.At.Milliseconds(), "id": r.ID, "caller": r.Caller, "cohort": r.Cohort,
			"service": r.Service, "run_ms": r.Run.Milliseconds(),
		}))
	}
	return out.Bytes()
}

// Guards against trace files in testdata that differ from the workloads of the
// article, and against a reader that drops or changes a field. The flag -update
// writes the files.
func TestReferenceTraceFiles(t *testing.T) {
	for name, run := range map[string]int{"testdata/equal-jobs.jsonl": 100, "testdata/slow-bulk.jsonl": 500} {
		want := referenceWorkload(run).trace()
		if golden.FlagUpdate() {
			assert.NilError(t, os.WriteFile(name, encode(t, want), 0o644))
		}
		f, err := os.Open(name)
		assert.NilError(t, err)
		defer f.Close()
		got, err := Read(f)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
}
