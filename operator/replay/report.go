package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"lacewingturn.example/core/command/dispatch"
)

// Report is the outcome of a replay. Times are in milliseconds.
type Report struct {
	Policy    dispatch.Policy `json:"policy"`
	Completed int             `json:"completed"`
	Rejected  int             `json:"rejected"`  // deadline passed in the queue; not started
	Cancelled int             `json:"cancelled"` // removed from the queue; not started
	// Utilization is the used share of the slot time, 0 to 1: the run time of completed
	// work divided by the product of the slots and the time from the start of the trace
	// to the last completion.
	Utilization float64 `json:"utilization"`
	// ReserveIdleSlotMS is the slot time in ms that the policy left idle on purpose
	// while requests were queued.
	ReserveIdleSlotMS float64           `json:"reserve_idle_slot_ms"`
	Cohorts           map[string]Cohort `json:"cohorts"`
}

// Cohort summarizes the completed requests of one cohort.
type Cohort struct {
	Count      int     `json:"count"`
	Wait       Wait    `json:"wait_ms"`
	FinishedMS float64 `json:"finished_ms"` // last completion since the start of the trace
}

// Wait holds nearest-rank percentiles of the time in the queue, in milliseconds.
type Wait struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func (s *simulation) report(policy dispatch.Policy) Report {
	r := Report{Policy: policy, Cohorts: map[string]Cohort{}}
	waits := map[string][]time.Duration{}
	var last, run time.Duration
	for i, o := range s.outcomes {
		rec := s.trace.Records[i]
		if _, ok := waits[rec.Cohort]; !ok {
			waits[rec.Cohort] = nil
		}
		switch o.state {
		case rejected:
			r.Rejected++
		case cancelled:
			r.Cancelled++
		case completed:
			r.Completed++
			run += rec.Run
			last = max(last, o.finished)
			waits[rec.Cohort] = append(waits[rec.Cohort], o.wait)
			c := r.Cohorts[rec.Cohort]
			c.FinishedMS = max(c.FinishedMS, inMS(o.finished))
			r.Cohorts[rec.Cohort] = c
		}
	}
	for name, w := range waits {
		slices.Sort(w)
		c := r.Cohorts[name]
		c.Count = len(w)
		c.Wait = Wait{P50: percentile(w, 50), P95: percentile(w, 95), P99: percentile(w, 99), Max: percentile(w, 100)}
		r.Cohorts[name] = c
	}
	if last > 0 {
		r.Utilization = float64(run) / (float64(s.trace.Slots()) * float64(last))
	}
	r.ReserveIdleSlotMS = inMS(s.dispatch.Stats(dispatcherTime(last)).IdleWhileQueued)
	return r
}

// percentile returns the nearest-rank percentile of sorted waits in milliseconds, 0
// if there are none.
func percentile(sorted []time.Duration, percent int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return inMS(sorted[(len(sorted)*percent+99)/100-1])
}

func inMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// WriteJSON writes the report as one indented JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteTable writes the report as a text table with one row for each cohort.
func (r Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "policy %s: %d completed, %d rejected, %d cancelled, utilization %.2f %%, reserve idle %.0f slot-ms\n",
		r.Policy, r.Completed, r.Rejected, r.Cancelled, 100*r.Utilization, r.ReserveIdleSlotMS)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "cohort\tcount\twait p50 ms\tp95 ms\tp99 ms\tmax ms\tfinished ms\t")
	for _, name := range slices.Sorted(maps.Keys(r.Cohorts)) {
		c := r.Cohorts[name]
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n",
			name, c.Count, c.Wait.P50, c.Wait.P95, c.Wait.P99, c.Wait.Max, c.FinishedMS)
	}
	return t.Flush()
}
