package schedule

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
)

const (
	// stallTimeout is how long a run may make no progress before it is stopped and
	// its task is started elsewhere. In a large fleet it is longer, as the time between
	// two reports is.
	stallTimeout = 2 * time.Second
	// startupTimeout is how long a long-running task may take until it serves.
	startupTimeout = 4 * time.Second
	// speedWeight is the weight of a new sample in the moving average of a worker's speed.
	speedWeight = 0.2
	// minSamples is the number of samples that a worker needs for its speed to be
	// compared with that of others.
	minSamples = 4
	// minPeers is the number of measured workers that a pool needs for a median.
	minPeers = 3
	// slowRatio is the ratio of a worker's speed to the median speed of its pool below
	// which the worker is slow.
	slowRatio = 0.4
	// copyMargin is how much longer than a new run the rest of a run on a suspect
	// worker must take before a speculative copy is started.
	copyMargin = time.Second
)

// progress is the progress of a run in percent and when it last advanced.
type progress struct {
	percent    int
	advancedAt time.Time
	listedAt   time.Time // when the run was first reported
	// listedPercent is the progress at that time; a run may resume from a checkpoint.
	listedPercent int
	// lastListedAt is when the run was last reported.
	lastListedAt time.Time
}

// track applies the reported progress of a run. It also returns the speed of the
// run since its last advance, relative to its estimate (1 is as estimated); false
// if there is no measurement.
func (p progress) track(now time.Time, percent int, estimate time.Duration) (progress, float64, bool) {
	if p.listedAt.IsZero() {
		return progress{percent: percent, advancedAt: now, listedAt: now, listedPercent: percent}, 0, false
	}
	delta := percent - p.percent
	if delta == 0 {
		return p, 0, false
	}
	elapsed := now.Sub(p.advancedAt)
	next := progress{percent: percent, advancedAt: now, listedAt: p.listedAt, listedPercent: p.listedPercent}
	if delta < 0 || elapsed <= 0 || estimate <= 0 {
		return next, 0, false
	}
	return next, float64(delta) / 100 * float64(estimate) / float64(elapsed), true
}

// stalled reports whether a run of the step makes no progress. A long-running task that
// serves never stalls; before it serves it does not stall within startupTimeout.
func (p progress) stalled(now time.Time, step model.Step, timeout time.Duration) bool {
	if !step.Lasting {
		return now.Sub(p.advancedAt) > timeout
	}
	return p.percent < servingPercent && now.Sub(p.advancedAt) > timeout && now.Sub(p.listedAt) > startupTimeout
}

// checkHealth stops stalled runs and marks slow workers as suspect.
func (m *Machine) checkHealth(now time.Time, s model.State) {
	timeout := stallTimeout + m.reportInterval(busyInterval) - busyInterval
	for _, p := range m.pending {
		for _, r := range p.report.Running {
			workload, ok := s.Workloads.Get(r.Run.Task.Workload)
			if !ok || m.stopping[r.Run] || !workload.Has(r.Run.Task) {
				continue
			}
			if p.worker.progress[r.Run].stalled(now, workload.Steps[r.Run.Task.Step], timeout) {
				m.stopStalled(now, p.worker, r.Run)
			}
		}
		if m.slow(now, p.worker) {
			p.worker.suspectUntil = now.Add(suspectPeriod)
		}
	}
}

// stopStalled stops a stalled run, so that its task is started again on another worker,
// and marks the worker as suspect.
func (m *Machine) stopStalled(now time.Time, w *worker, run model.RunRef) {
	m.stopping[run] = true
	m.avoided.add(now, run.Task, w.Worker)
	w.suspectUntil = now.Add(suspectPeriod)
	event.RunStalled.Log(m.settings.Logger, append(runFields(run), zap.String("worker", string(w.Worker)),
		zap.Int("percent", w.progress[run].percent), zap.Duration("still", now.Sub(w.progress[run].advancedAt)))...)
}

// slow reports whether the worker is much slower than the median of its pool.
func (m *Machine) slow(now time.Time, w *worker) bool {
	if w.samples < minSamples {
		return false
	}
	if now.Sub(m.mediansAt) >= medianInterval {
		m.medianSpeeds, m.mediansAt = m.computeMedianSpeeds(), now
	}
	return w.speed < slowRatio*m.medianSpeeds[w.Pool]
}

// medianInterval is the time between two computations of the median speeds.
const medianInterval = 500 * time.Millisecond

// computeMedianSpeeds returns the median speed of each pool with at least minPeers
// measured workers.
func (m *Machine) computeMedianSpeeds() map[model.PoolName]float64 {
	speeds := map[model.PoolName][]float64{}
	for _, w := range m.byName {
		if w.samples >= minSamples && !m.hasEnded(w.Worker) {
			speeds[w.Pool] = append(speeds[w.Pool], w.speed)
		}
	}
	out := map[model.PoolName]float64{}
	for pool, list := range speeds {
		if slices.Sort(list); len(list) >= minPeers {
			out[pool] = list[len(list)/2]
		}
	}
	return out
}

// needsCopy reports whether a speculative copy of the run should be started: its
// worker is suspect, and the rest of the run would take much longer than a new run.
func (m *Machine) needsCopy(now time.Time, s model.State, run model.RunRef) bool {
	workload, _ := s.Workloads.Get(run.Task.Workload)
	task, _ := workload.Task(run.Task)
	for _, active := range task.Active {
		w := m.workers[active.Worker]
		if active.Number != run.Number || w == nil || !now.Before(w.suspectUntil) {
			continue
		}
		p := w.progress[run]
		if p.listedAt.IsZero() {
			return false
		}
		elapsed := now.Sub(p.listedAt)
		left := elapsed * time.Duration(100-p.percent) / time.Duration(max(p.percent, 1))
		return left > workload.Steps[run.Task.Step].Estimate+copyMargin
	}
	return false
}
