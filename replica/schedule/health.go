package schedule

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
)

const (
	// stallTime is how long a run may make no progress before it is stopped and
	// started elsewhere.
	stallTimeout = 2 * time.Second
	// startupTime is how long a lasting task may take until it is at work.
	startupTimeout = 4 * time.Second
	// speedWeight is the weight of a new sample in a worker's speed.
	speedWeight = 0.2
	// minSamples is the number of samples before a worker's speed is judged.
	minSamples = 4
	// minPeers is the number of measured workers of a pool that are compared.
	minPeers = 3
	// slowPart is the part of the median speed of its pool below which a worker is slow.
	slowRatio = 0.4
	// copyAfter is how much longer than a fresh run the rest of a run on a slow
	// worker must take before a copy is started.
	copyMargin = time.Second
)

// progress is how far a run has come, and when it last moved on.
type progress struct {
	percent    int
	advancedAt time.Time
	listedAt   time.Time // when it was first listed
}

// track takes the progress of a reported run and returns what a fresh run would
// need of the time that has passed, as a part; false if nothing can be told.
func (p progress) track(now time.Time, percent int, estimate time.Duration) (progress, float64, bool) {
	if p.listedAt.IsZero() {
		return progress{percent, now, now}, 0, false
	}
	delta := percent - p.percent
	if delta == 0 {
		return p, 0, false
	}
	elapsed := now.Sub(p.advancedAt)
	next := progress{percent, now, p.listedAt}
	if delta < 0 || elapsed <= 0 || estimate <= 0 {
		return next, 0, false
	}
	return next, float64(delta) / 100 * float64(estimate) / float64(elapsed), true
}

// stalled reports whether a run of the step stands still.
func (p progress) stalled(now time.Time, step model.Step) bool {
	if !step.Lasting {
		return now.Sub(p.advancedAt) > stallTimeout
	}
	return p.percent < servingPercent && now.Sub(p.advancedAt) > stallTimeout && now.Sub(p.listedAt) > startupTimeout
}

// checkHealth finds runs that stand still and workers that are slow.
func (m *Machine) checkHealth(now time.Time, s model.State) {
	for _, w := range m.pending {
		for _, r := range w.report.Running {
			workload, ok := s.Workloads.Get(r.Run.Task.Workload)
			if !ok || m.stopping[r.Run] || !workload.Has(r.Run.Task) {
				continue
			}
			if w.worker.progress[r.Run].stalled(now, workload.Steps[r.Run.Task.Step]) {
				m.restart(now, w.worker, r.Run)
			}
		}
		if m.slow(now, w.worker) {
			w.worker.suspectUntil = now.Add(suspectPeriod)
		}
	}
}

// restart stops a run that stands still and keeps its task from the worker.
func (m *Machine) restart(now time.Time, w *worker, run model.RunRef) {
	m.stopping[run] = true
	m.avoided.add(now, run.Task, w.Worker)
	w.suspectUntil = now.Add(suspectPeriod)
	event.RunStalled.Log(m.settings.Logger, append(runFields(run), zap.String("worker", string(w.Worker)),
		zap.Int("percent", w.progress[run].percent), zap.Duration("still", now.Sub(w.progress[run].advancedAt)))...)
}

// slow reports whether the worker is much slower than most of its pool.
func (m *Machine) slow(now time.Time, w *worker) bool {
	if w.samples < minSamples {
		return false
	}
	if now.Sub(m.mediansAt) >= medianInterval {
		m.medianSpeeds, m.mediansAt = m.computeMedianSpeeds(), now
	}
	return w.speed < slowRatio*m.medianSpeeds[w.Pool]
}

// typicalInterval is the time between two comparisons of all workers.
const medianInterval = 500 * time.Millisecond

// typicalSpeeds returns the median speed of each pool with several measured workers.
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

// doubtful reports whether a copy of the run should be started: its worker is in
// doubt, and what is left would take much longer than a fresh run.
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
