package schedule

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/command/near"
	"lacewingturn.example/core/command/place"
	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/telemetry"
)

const (
	// minProgress is the progress in percent from which the speed of a run is extrapolated.
	minProgress = 10
	// stopTime is how long a run that is being stopped is expected to hold its capacity.
	stopTime = 200 * time.Millisecond
	// awayWeight is the weight of a new sample in the average of awayTime.
	awayWeight = 0.3
)

// plan returns the runs to start, and keeps what was decided about waits.
func (m *Machine) plan(now time.Time, s model.State) []model.RunStart {
	options := m.placeOptions(now, s)
	result := place.Decide(s, m.offers(now, s), options)
	m.near = result.Near
	m.publishWaits()
	m.settings.Metrics.nearWaits.Add(float64(len(result.Begun)))
	for _, step := range result.Ended {
		m.logWaitEnded(options.Now, step, result.Near.Waits[step])
	}
	return result.Starts
}

// publishWaits makes the current waits available to Waits.
func (m *Machine) publishWaits() {
	out := map[model.WorkloadID][]model.StepWait{}
	for step, w := range m.near.Waits {
		if w.Tasks > 0 {
			out[step.Workload] = append(out[step.Workload], model.StepWait{
				Round: step.Round, Step: step.Step, Rack: w.Rack.Name, Tasks: w.Tasks, Expected: w.Expected, Until: w.Until,
			})
		}
	}
	m.waits.Store(&out)
}

// Waits returns the steps that wait for workers near their data, as the last planning pass
// of this leader decided; none if this replica does not lead. The result must not be
// modified. Waits may be called on any goroutine.
func (m *Machine) Waits() map[model.WorkloadID][]model.StepWait {
	if waits := m.waits.Load(); waits != nil {
		return *waits
	}
	return nil
}

// logWaitEnded records the end of the wait of a step.
func (m *Machine) logWaitEnded(now model.Timestamp, step model.StepRef, w near.Wait) {
	waited := now.Sub(w.Since)
	saved := time.Duration(w.Near) * w.Extra
	m.settings.Metrics.nearWaited.Observe(waited.Seconds())
	m.settings.Metrics.nearSaved.Add(saved.Seconds())
	m.settings.Metrics.nearTasks.WithLabelValues("near").Add(float64(w.Near))
	m.settings.Metrics.nearTasks.WithLabelValues("far").Add(float64(w.Far))
	event.NearWaitEnded.Log(m.settings.Logger, zap.String(telemetry.SamplingKey, string(step.Workload)), zap.Int("round", step.Round), zap.Int("step", step.Step),
		zap.String("rack", w.Rack.Name), zap.Duration("waited", waited), zap.Duration("bound", w.Until.Sub(w.Since)),
		zap.Int("near", w.Near), zap.Int("far", w.Far), zap.Duration("saved", saved))
}

// expected returns the run time that the progress of a run suggests, from its first report
// on; false if it has advanced too little.
func (p progress) expected() (time.Duration, bool) {
	done := p.percent - p.listedPercent
	if p.listedAt.IsZero() || done < minProgress {
		return 0, false
	}
	return p.advancedAt.Sub(p.listedAt) * 100 / time.Duration(done), true
}

// timeLeft returns how much longer a run is expected to take, as its progress suggests;
// false if that is not known.
func (m *Machine) timeLeft(now time.Time, run model.RunRef, id model.WorkerID) (time.Duration, bool) {
	if m.stopping[run] {
		return stopTime, true
	}
	w := m.workers[id]
	if w == nil {
		return 0, false
	}
	p := w.progress[run]
	total, ok := p.expected()
	if !ok {
		return 0, false
	}
	if left := total*time.Duration(100-p.percent)/100 - now.Sub(p.advancedAt); left > 0 {
		return left, true
	}
	return near.TimeLeft(total, max(total, now.Sub(p.listedAt))), true
}

// runTime returns the expected run time of a task near its data: the mean of what the
// progress of the active runs of its step suggests, or the estimate if there is none.
func (m *Machine) runTime(now time.Time, s model.State, t model.TaskRef, estimate time.Duration) time.Duration {
	workload, ok := s.Workloads.Get(t.Workload)
	if !ok || !workload.Has(t) {
		return estimate
	}
	spec := workload.Steps[t.Step]
	var sum time.Duration
	runs := 0
	for k, task := range workload.Rounds.Step(t.Round, t.Step).Tasks.Begun() {
		for _, active := range task.Active {
			w := m.workers[active.Worker]
			if w == nil || now.Before(w.suspectUntil) {
				continue
			}
			ref := t
			ref.Index = k
			total, ok := w.progress[model.RunRef{Task: ref, Number: active.Number}].expected()
			if !ok {
				continue
			}
			if spec.NearRack != "" && w.Domain.Rack != spec.NearRack {
				total = time.Duration(float64(total) / max(1, m.settings.RemoteDataFactor))
			}
			sum += total
			runs++
		}
	}
	if runs == 0 {
		return estimate
	}
	return sum / time.Duration(runs)
}

// observeReturn measures how long an instance was away whose new incarnation reports for
// the first time.
func (m *Machine) observeReturn(now time.Time, id model.InstanceID) {
	before := m.byInstance[id]
	if before == nil || !m.hasEnded(before.Worker) {
		return
	}
	away := now.Sub(before.reportedAt)
	if m.awayTime == 0 {
		m.awayTime = away
	}
	m.awayTime += time.Duration(awayWeight * float64(away-m.awayTime))
}

// arrivals lists the workers that left and are expected back, because instances of late
// returned after awayTime. One that stays away for twice as long is no longer expected.
func (m *Machine) arrivals(now time.Time) []place.Arrival {
	if m.awayTime == 0 {
		return nil
	}
	var out []place.Arrival
	for id, w := range m.byInstance {
		away := now.Sub(w.reportedAt)
		if !m.hasEnded(w.Worker) || m.cordons[id] || away > 2*m.awayTime {
			continue
		}
		out = append(out, place.Arrival{Pool: w.Pool, Rack: w.Domain.Rack, Labels: w.Labels, In: max(0, m.awayTime-away), Capacity: w.Capacity})
	}
	slices.SortFunc(out, func(a, b place.Arrival) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.In, b.In))
	})
	return out
}
