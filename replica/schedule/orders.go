package schedule

import (
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

const (
	// lease is how long runs go on without an answer of the leader. It outlives
	// the election of another leader. No release may shorten it without waiting
	// for the leases of the release before.
	lease = 3500 * time.Millisecond
	// idleInterval and busyInterval are the times between two reports of a worker
	// with and without room for work. The end of a run is reported at once.
	idleInterval = 200 * time.Millisecond
	busyInterval = 500 * time.Millisecond
)

// lease returns the time that every leader grants.
func (m *Machine) lease() time.Duration { return min(lease, m.settings.LeaseMax) }

// answerAll answers reports from the committed state.
func (m *Machine) answerAll(now time.Time, list []waiter) {
	for _, w := range list {
		w.reply <- answer{orders: m.orders(now, w)}
	}
}

// orders compares the runs that a worker has with those that it should have.
func (m *Machine) orders(now time.Time, w waiter) Orders {
	o := Orders{Lease: m.lease(), FencingToken: m.term, Next: busyInterval}
	for _, end := range w.report.Ended {
		o.EndsTo = max(o.EndsTo, end.Position)
	}
	if m.gone(w.report.Worker) || m.workers[w.report.Worker] != w.worker {
		return Orders{FencingToken: m.term, EndsTo: o.EndsTo, Next: busyInterval} // replaced by a later incarnation
	}
	state := m.seen.State
	a, _ := state.Assignments.Get(w.report.Worker)
	for _, run := range w.report.Running {
		if !slices.Contains(a.Runs, run.Run) {
			o.Stop = append(o.Stop, run.Run)
		}
	}
	for _, run := range a.Runs {
		switch {
		case m.stopping[run]:
			o.Stop = append(o.Stop, run)
		case !lists(w.report, run):
			o.Start = append(o.Start, startOrder(state, run))
		}
	}
	if free := w.worker.free(state); free.MilliCPU >= w.worker.Capacity.MilliCPU/8 {
		o.Next = idleInterval
	}
	w.worker.leaseUntil = maxTime(w.worker.leaseUntil, leaseEnd(now, o.Lease))
	return o
}

func lists(r Report, run model.RunRef) bool {
	return slices.ContainsFunc(r.Running, func(o Running) bool { return o.Run == run }) ||
		slices.ContainsFunc(r.Ended, func(o Ended) bool { return o.Run == run })
}

func startOrder(s model.State, run model.RunRef) StartOrder {
	w, _ := s.Workloads.Get(run.Task.Workload)
	task, _ := w.Task(run.Task)
	return StartOrder{Run: run, Payload: w.Payload, Checkpoint: task.Checkpoint}
}
