package schedule

import (
	"cmp"
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

// The exported methods in this file are for other machines on the same loop; they
// must be called on its goroutine only.

// reportTimeout is how long after its last report a worker counts as unavailable: one
// report of a worker may get no answer within its timeout of a second.
func (m *Machine) reportTimeout() time.Duration { return m.reportInterval(busyInterval) + time.Second }

// Observe lists the instances whose workers have reported to this leader, with the
// runs on them. Starts that are being committed are included, so that an instance
// does not look idle meanwhile.
func (m *Machine) Observe(now time.Time) []model.WorkerObservation {
	out := make([]model.WorkerObservation, 0, len(m.byInstance))
	for id, w := range m.byInstance {
		out = append(out, m.observed(now, id, w))
	}
	return out
}

func (m *Machine) observed(now time.Time, id model.InstanceID, w *worker) model.WorkerObservation {
	o := model.WorkerObservation{
		ID: id, Worker: w.Worker, Pool: w.Pool, SinceLastReport: now.Sub(w.reportedAt), Capacity: w.Capacity, Leaving: w.Draining, NoUnassignedRuns: true,
		Unavailable: m.hasEnded(w.Worker) || now.Sub(w.reportedAt) > m.reportTimeout(),
	}
	state := m.replica.View().State
	a, _ := state.Assignments.Get(w.Worker)
	for run := range a.Runs.All() {
		o.Runs = append(o.Runs, m.observedRun(state, run))
	}
	if m.committing != nil {
		for _, start := range m.committing.progress.Starts {
			if start.Worker == w.Worker {
				o.Runs = append(o.Runs, m.observedRun(state, start.Run))
			}
		}
	}
	for _, r := range w.Running {
		o.NoUnassignedRuns = o.NoUnassignedRuns && a.Runs.Has(r.Run)
	}
	return o
}

func (m *Machine) observedRun(s model.State, run model.RunRef) model.ObservedRun {
	workload, ok := s.Workloads.Get(run.Task.Workload)
	if !ok {
		return model.ObservedRun{Run: run} // cancelled while its start is committed
	}
	step := workload.Steps[run.Task.Step]
	return model.ObservedRun{Run: run, Size: step.Reserved(), Lasting: step.Lasting, Checkpointing: step.Checkpointing, Stopping: m.stopping[run]}
}

// servingPercent is the progress that a long-running task reports once it serves.
const servingPercent = 100

// Serving reports whether a run of a long-running task serves on a worker that reported
// within reportTimeout. Runs that are being stopped do not count, nor do those that an earlier
// leader may have told their workers to stop.
func (m *Machine) Serving(now time.Time, ref model.TaskRef) bool {
	workload, ok := m.replica.View().State.Workloads.Get(ref.Workload)
	if !ok {
		return false
	}
	task, _ := workload.Task(ref)
	for _, run := range task.Active {
		w := m.workers[run.Worker]
		name := model.RunRef{Task: ref, Number: run.Number}
		if w == nil || m.stopping[name] || m.mayBeStopping(w, name) || now.Sub(w.reportedAt) > m.reportTimeout() {
			continue
		}
		if r, ok := w.runningRun(name); ok && r.Percent >= servingPercent {
			return true
		}
	}
	return false
}

// mayBeStopping reports whether an earlier leader may have told the worker to stop a run that it
// lists: a run that is being stopped goes on listing its progress.
func (m *Machine) mayBeStopping(w *worker, run model.RunRef) bool {
	a, _ := m.inherited.Get(w.Worker)
	return a.Runs.Has(run) && !w.stopsOver
}

// stopTime returns how long a stop takes at most by the clock of a worker, counted from a report
// that may have been late by reportSlack.
func (m *Machine) stopTime() time.Duration {
	timeout := cmp.Or(m.settings.StopTimeout, m.lease())
	return timeout + time.Duration(float64(timeout)*maxClockDrift) + reportSlack
}

// SetCordons replaces the set of instances whose workers get no new runs.
func (m *Machine) SetCordons(cordons map[model.InstanceID]bool) { m.cordons = cordons }

// SetRetiring replaces the set of instances that are surplus to the demand of their
// pool. Their workers get work only if no other worker can take it.
func (m *Machine) SetRetiring(retiring map[model.InstanceID]model.Timestamp) {
	for id, w := range m.byInstance {
		_, w.retiring = retiring[id]
	}
}

// StopRun marks a run to be stopped. Its worker gets the order in the answer to its
// next report.
func (m *Machine) StopRun(run model.RunRef) { m.stopping[run] = true }

// MarkWorkerEnded marks all runs on an incarnation as ended, for example once the
// platform has confirmed an order that ends them. An unknown incarnation is ignored.
func (m *Machine) MarkWorkerEnded(now time.Time, id model.WorkerID) {
	w := m.workers[id]
	if w == nil {
		return
	}
	if !m.hasEnded(id) {
		w.endedByOrder = true
		delete(m.refusals, id)
	}
	m.markEnded(id, now)
}

// hasEnded reports whether the incarnation has announced its shutdown, was replaced or
// was ended by an order to the platform. Its runs may go on until endedAt.
func (m *Machine) hasEnded(id model.WorkerID) bool {
	_, ok := m.endedAt[id]
	return ok
}

// pruneStops removes ended runs from the runs to be stopped.
func (m *Machine) pruneStops(s model.State) {
	for run := range m.stopping {
		workload, ok := s.Workloads.Get(run.Task.Workload)
		task, _ := workload.Task(run.Task)
		if !ok || !slices.ContainsFunc(task.Active, func(r model.Run) bool { return r.Number == run.Number }) {
			delete(m.stopping, run)
		}
	}
}
