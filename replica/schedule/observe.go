package schedule

import (
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

// The methods in this file are for other machines of the same loop and are
// called from its goroutine only.

// silence is how long a worker may be unheard before it counts as away.
const reportTimeout = 1500 * time.Millisecond

// Observe lists the instances whose workers this leader has heard of.
func (m *Machine) Observe(now time.Time) []model.ObservedInstance {
	out := make([]model.ObservedInstance, 0, len(m.byInstance))
	for id, w := range m.byInstance {
		out = append(out, m.observed(now, id, w))
	}
	return out
}

func (m *Machine) observed(now time.Time, id model.InstanceID, w *worker) model.ObservedInstance {
	o := model.ObservedInstance{
		ID: id, Worker: w.Worker, Pool: w.Pool, HeardAgo: now.Sub(w.reportedAt), Capacity: w.Capacity, Leaving: w.Draining, Settled: true,
		Away: m.hasEnded(w.Worker) || now.Sub(w.reportedAt) > reportTimeout,
	}
	state := m.replica.View().State
	a, _ := state.Assignments.Get(w.Worker)
	for _, run := range a.Runs {
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
		o.Settled = o.Settled && slices.Contains(a.Runs, r.Run)
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

// atWork is the progress in percent of a lasting task that serves.
const servingPercent = 100

// Present reports whether a lasting task is at work on a worker that was heard of lately.
func (m *Machine) Present(now time.Time, ref model.TaskRef) bool {
	workload, ok := m.replica.View().State.Workloads.Get(ref.Workload)
	if !ok {
		return false
	}
	task, _ := workload.Task(ref)
	for _, run := range task.Active {
		w := m.workers[run.Worker]
		name := model.RunRef{Task: ref, Number: run.Number}
		if w == nil || m.stopping[name] || now.Sub(w.reportedAt) > reportTimeout {
			continue
		}
		if slices.ContainsFunc(w.Running, func(r Running) bool { return r.Run == name && r.Percent >= servingPercent }) {
			return true
		}
	}
	return false
}

// SetCordons replaces the instances whose workers get no new runs.
func (m *Machine) SetCordons(cordons map[model.InstanceID]bool) { m.cordons = cordons }

// SetRetiring replaces the instances whose workers get work last.
func (m *Machine) SetRetiring(retiring map[model.InstanceID]model.Timestamp) {
	for id, w := range m.byInstance {
		_, w.retiring = retiring[id]
	}
}

// StopRun tells the worker to stop a run at its next report.
func (m *Machine) StopRun(run model.RunRef) { m.stopping[run] = true }

// WorkerEnded notes that everything on an incarnation has ended.
func (m *Machine) WorkerEnded(now time.Time, id model.WorkerID) {
	if m.workers[id] != nil {
		m.markEnded(id, now)
	}
}

// gone reports whether the incarnation has ended.
func (m *Machine) hasEnded(id model.WorkerID) bool {
	_, ok := m.endedAt[id]
	return ok
}

// forgetStops drops the stops of runs that have ended.
func (m *Machine) pruneStops(s model.State) {
	for run := range m.stopping {
		workload, ok := s.Workloads.Get(run.Task.Workload)
		task, _ := workload.Task(run.Task)
		if !ok || !slices.ContainsFunc(task.Active, func(r model.Run) bool { return r.Number == run.Number }) {
			delete(m.stopping, run)
		}
	}
}
