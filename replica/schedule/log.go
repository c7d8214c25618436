package schedule

import (
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/telemetry"
)

// Causes of the end of a run, as given in the log and in the metrics.
const (
	causeReported     = "reported by the worker"
	causeLeaseExpired = "lease over"
	causeReplaced     = "worker replaced or left"
	causeUnstarted    = "stopped before it began"
	causeNoReport     = "worker not heard of since the election"
)

// endCause returns why a run counts as ended although its worker did not report it.
func (m *Machine) endCause(id model.WorkerID) string {
	switch {
	case m.hasEnded(id):
		return causeReplaced
	case m.workers[id] == nil:
		return causeNoReport
	}
	return causeLeaseExpired
}

// logProgress writes the log lines and the metrics of a committed cycle.
func (m *Machine) logProgress(now time.Time, c cycle) {
	m.settings.Metrics.observeCycle(now.Sub(c.startedAt), c.progress)
	for _, end := range c.progress.Ends {
		cause := c.causes[end.Run]
		m.settings.Metrics.ended.WithLabelValues(end.Outcome.String(), cause).Inc()
		if end.Outcome != model.RunDone {
			event.RunEnded.Log(m.settings.Logger, append(runFields(end.Run), zap.String("worker", string(end.Worker)), zap.Stringer("outcome", end.Outcome),
				zap.String("cause", cause), zap.String("checkpoint", end.Checkpoint), zap.Uint64("state", uint64(c.before.Index)))...)
		}
		m.logFinished(now, c.before, end.Run.Task.Workload)
	}
	m.logStarts(now, c)
}

func runFields(run model.RunRef) []zap.Field {
	return []zap.Field{
		zap.String(telemetry.SamplingKey, string(run.Task.Workload)), zap.Int("round", run.Task.Round), zap.Int("step", run.Task.Step),
		zap.Int("task", run.Task.Index), zap.Int("run", run.Number),
	}
}

// logStarts writes one log line for the starts of each step.
func (m *Machine) logStarts(now time.Time, c cycle) {
	for first := 0; first < len(c.progress.Starts); {
		key := c.progress.Starts[first].Run.Task.StepRef()
		var tasks []int
		var workers []string
		var age time.Duration
		last := first
		for ; last < len(c.progress.Starts) && c.progress.Starts[last].Run.Task.StepRef() == key; last++ {
			start := c.progress.Starts[last]
			tasks = append(tasks, start.Run.Task.Index)
			workers = append(workers, string(start.Worker))
			if w := m.workers[start.Worker]; w != nil {
				age = max(age, c.startedAt.Sub(w.reportedAt))
			}
		}
		first = last
		w, _ := c.before.Workloads.Get(key.Workload)
		waited := max(model.TimestampOf(now), c.before.Clock).Sub(w.AcceptedAt)
		if !w.Started() {
			m.settings.Metrics.workloadWait.Observe(waited.Seconds())
		}
		event.RunsStarted.Log(m.settings.Logger, zap.String(telemetry.SamplingKey, string(key.Workload)), zap.Int("round", key.Round), zap.Int("step", key.Step),
			zap.Ints("tasks", tasks), zap.Strings("workers", workers), zap.Duration("since_accepted", waited), zap.Duration("report_age", age),
			zap.Uint64("state", uint64(c.before.Index)))
	}
}

// logFinished writes a log line if the workload reached a final phase in this cycle.
func (m *Machine) logFinished(now time.Time, before model.State, id model.WorkloadID) {
	w, active := before.Workloads.Get(id)
	f, ended := m.replica.View().State.Finished.Get(id)
	if !active || !ended || m.logged[id] {
		return
	}
	m.logged[id] = true
	q, _ := before.Catalog.QueueOf(w)
	took, late := f.EndedAt.Sub(w.AcceptedAt), max(0, f.EndedAt.Sub(query.TargetCompletion(w, q)))
	m.settings.Metrics.finished.WithLabelValues(f.Phase.String()).Inc()
	if f.Phase == model.WorkloadCompleted {
		m.settings.Metrics.duration.WithLabelValues(string(w.Queue)).Observe(took.Seconds())
		m.settings.Metrics.lateness.Observe(late.Seconds())
	}
	event.WorkloadEnded.Log(m.settings.Logger, zap.String(telemetry.SamplingKey, string(id)), zap.String("queue", string(w.Queue)), zap.Stringer("phase", f.Phase),
		zap.String("reason", f.Reason), zap.Duration("took", took), zap.Duration("late", late), zap.Int64("catalog", int64(before.Catalog.Version)))
}

// logWorker writes a log line about a change in the leader's view of a worker.
func (m *Machine) logWorker(e event.Event, r Report) {
	e.Log(m.settings.Logger, zap.String("worker", string(r.Worker)), zap.String("id", string(r.Instance)), zap.String("pool", string(r.Pool)),
		zap.String("address", r.Address), zap.Int64("sequence", r.Sequence), zap.Int("running", len(r.Running)))
}
