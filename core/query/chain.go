package query

import (
	"time"

	"lacewingturn.example/core/model"
)

// Deadline returns when the workload should be complete: its first due time,
// the stretched chain of its steps and the queue's target.
func Deadline(w model.Workload, q model.Queue) model.Timestamp {
	chain := chainOf(w, func(int) bool { return true })
	return w.Due(0).Add(time.Duration(float64(chain)*q.Stretch) + q.Target)
}

// Remaining estimates the longest chain of steps that are not complete in the
// first unfinished round.
func Remaining(w model.Workload) time.Duration {
	for _, r := range w.Rounds {
		if left := chainOf(w, func(step int) bool { return !r.Steps[step].Complete() }); left > 0 {
			return left
		}
	}
	return 0
}

// chainOf returns the longest sum of estimates along the dependencies of steps
// that count.
func chainOf(w model.Workload, counts func(step int) bool) time.Duration {
	ends := make([]time.Duration, len(w.Steps))
	var longest time.Duration
	for i, s := range w.Steps {
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		if counts(i) {
			ends[i] += s.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}
