package query

import (
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

// TargetCompletion returns the target completion time of the workload: its first due time
// plus Stretch times the critical path of its steps plus the Target of the queue.
func TargetCompletion(w model.Workload, q model.Queue) model.Timestamp {
	path := criticalPath(w, func(int) bool { return true })
	return w.Due(0).Add(time.Duration(float64(path)*q.Stretch) + q.Target)
}

// RemainingCriticalPath returns the estimated run time of the critical path of the
// incomplete steps in the first unfinished round; 0 if all rounds are complete.
func RemainingCriticalPath(w model.Workload) time.Duration {
	if !slices.ContainsFunc(w.Steps, func(s model.Step) bool { return s.Estimate > 0 }) {
		return 0
	}
	for _, r := range w.Rounds.Unfinished() {
		if left := criticalPath(w, func(step int) bool { return !r.Step(step).Complete() }); left > 0 {
			return left
		}
	}
	return 0
}

// criticalPath returns the longest sum of estimated run times along the step
// dependencies. Only the steps for which include is true contribute.
func criticalPath(w model.Workload, include func(step int) bool) time.Duration {
	ends := make([]time.Duration, len(w.Steps))
	var longest time.Duration
	for i, s := range w.Steps {
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		if include(i) {
			ends[i] += s.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}
