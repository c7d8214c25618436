package schedule

import (
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
)

const (
	// maxStartOrders is how often a worker is told to start a run before the run is
	// started elsewhere.
	maxStartOrders = 5
	// startTimeout is the shortest time for which the start order is repeated. Some
	// answers may be lost.
	startTimeout = 2 * time.Second
	// ignoredBackoff is how long a worker gets no work after it ignored a start order.
	ignoredBackoff = 5 * time.Second
)

// startAttempts counts the start orders for a run that the worker has not listed.
type startAttempts struct {
	first time.Time
	count int
}

// recordOrdered counts the start orders of an answer.
func (w *worker) recordOrdered(now time.Time, starts []StartOrder) {
	if len(starts) == 0 {
		w.ordered, w.unstarted = nil, nil
		return
	}
	ordered, unstarted := make(map[model.RunRef]bool, len(starts)), make(map[model.RunRef]startAttempts, len(starts))
	for _, start := range starts {
		ordered[start.Run] = true
		attempts, ok := w.unstarted[start.Run]
		if !ok {
			attempts.first = now
		}
		attempts.count++
		unstarted[start.Run] = attempts
	}
	w.ordered, w.unstarted = ordered, unstarted
}

// ignores reports whether the worker goes on reporting without starting the run.
func (w *worker) ignores(now time.Time, run model.RunRef) bool {
	attempts := w.unstarted[run]
	return attempts.count >= maxStartOrders && now.Sub(attempts.first) >= startTimeout
}

// mayBeInherited reports whether the worker may have the run since before this replica became
// leader, although no report to this replica has listed it. Another sender may have sent the
// reports that do not list it, so that the run counts as started until a lease of an earlier
// leader has certainly expired.
func (m *Machine) mayBeInherited(now time.Time, id model.WorkerID, run model.RunRef) bool {
	a, _ := m.inherited.Get(id)
	return a.Runs.Has(run) && now.Before(leaseEnd(m.leaderSince, m.lease()))
}

// abandonStart stops a run that the worker was told to start and does not list. The stop
// makes the worker reject a late start; the run counts as ended with the next report that
// does not list it. The worker gets no work for ignoredBackoff, and after that only work
// that no other worker can take.
func (m *Machine) abandonStart(now time.Time, w *worker, run model.RunRef) {
	m.stopping[run] = true
	m.avoided.add(now, run.Task, w.Worker)
	w.backoffUntil = now.Add(ignoredBackoff)
	w.suspectUntil = now.Add(ignoredBackoff + suspectPeriod)
	event.StartIgnored.Log(m.settings.Logger, append(runFields(run), zap.String("worker", string(w.Worker)), zap.Int("orders", w.unstarted[run].count))...)
}
