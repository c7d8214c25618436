package schedule

import (
	"time"

	"lacewingturn.example/core/model"
)

// unassignedNeeds returns, for each account, the sum of the needs of the runs that the state
// does not list as active and that may still be running: those that workers have listed or
// were told to start, and, until the leases of earlier leaders have
// expired, those that were active when their workloads ended.
// It returns nil if there are no accounts.
func (m *Machine) unassignedNeeds(now time.Time, s model.State) map[model.AccountName]model.Resources {
	if s.Catalog == nil || len(s.Catalog.Accounts) == 0 {
		return nil
	}
	u := unassignedRuns{state: s, needs: map[model.AccountName]model.Resources{}, ended: map[model.WorkloadID]bool{}}
	if now.Before(leaseEnd(m.leaderSince, m.lease())) {
		u.addEndedSince(m.endedSince)
	}
	for id, w := range m.workers {
		if m.aliveUntil(id).After(now) {
			u.addWorker(now, w, m.lease())
		}
	}
	return u.needs
}

// unassignedRuns adds up the needs of runs that the state does not list as active.
type unassignedRuns struct {
	state model.State
	needs map[model.AccountName]model.Resources
	// ended holds the workloads that have ended and count with all runs that they had.
	ended map[model.WorkloadID]bool
}

func (u *unassignedRuns) add(account model.AccountName, need model.Resources) {
	if account != "" {
		u.needs[account] = u.needs[account].Add(need)
	}
}

// addEndedSince adds all runs that workloads had when they ended at the given time or later.
// Their workers, which a new leader does not know yet, may go on with them until their
// leases end.
func (u *unassignedRuns) addEndedSince(since model.Timestamp) {
	for id, f := range u.state.Finished.All() {
		if f.EndedAt >= since {
			u.addEnded(id, f)
		}
	}
}

// addEnded adds all runs that the workload had when it ended, once.
func (u *unassignedRuns) addEnded(id model.WorkloadID, f model.FinishedWorkload) {
	if f.Held != nil && !u.ended[id] {
		u.ended[id] = true
		u.add(f.Account, *f.Held)
	}
}

// addWorker adds the runs that are not assigned to the worker, and that it has listed, was
// told to start or may have although another sender's report does not list them.
func (u *unassignedRuns) addWorker(now time.Time, w *worker, lease time.Duration) {
	w.updateFree(u.state)
	for _, run := range w.freeCache.unassigned {
		u.addRun(w, run)
	}
	for run := range w.progress {
		if !w.lists(run) && !w.freeCache.runs.Has(run) && !w.ordered[run] && w.mayRun(now, run, lease) {
			u.addRun(w, run)
		}
	}
}

// addRun adds one run. If this leader has not seen its size, because an earlier one started
// it, the size comes from the state.
func (u *unassignedRuns) addRun(w *worker, run model.RunRef) {
	if u.ended[run.Task.Workload] {
		return
	}
	size, known := w.sizes[run]
	if !known {
		if f, ended := u.state.Finished.Get(run.Task.Workload); ended {
			u.addEnded(run.Task.Workload, f)
			return
		}
		size = sizeOf(u.state, run.Task)
	}
	u.add(size.account, size.need)
}
