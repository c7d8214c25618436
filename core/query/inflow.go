package query

import (
	"time"

	"lacewingturn.example/core/model"
)

// Inflow is the work that a pool has to do and the rate at which more has arrived.
// Lasting tasks are not part of it.
type Inflow struct {
	// Waiting is the work of the tasks without an active run, those included that wait
	// for other steps and those that become due within the lead time.
	Waiting Work
	// Recent is the work that became due within the last window, Earlier that of the
	// window before. Workloads that have ended meanwhile are missing.
	Recent, Earlier Work
}

// Work is capacity multiplied by the time for which it is needed.
type Work struct {
	// Seconds is the capacity multiplied by the time in seconds.
	Seconds model.Resources
	// Rounds is the number of rounds of workloads that the work belongs to.
	Rounds int
}

// InflowWindows are the times that Inflows works with.
type InflowWindows struct {
	// Window is the length of the windows in which arrivals are counted.
	Window time.Duration
	// Lead is how far ahead scheduled rounds are known to be needed.
	Lead time.Duration
	// PerRun is added to the estimate of each run: the time from its planning until it
	// starts, and from its end until its capacity is free again.
	PerRun time.Duration
}

// Inflows returns the inflow of each pool.
func Inflows(s model.State, now model.Timestamp, t InflowWindows) map[model.PoolName]Inflow {
	out := map[model.PoolName]Inflow{}
	queues := s.Catalog.QueuesByName()
	for _, w := range s.Workloads.All() {
		q, ok := queues.Of(&w)
		if !ok {
			continue
		}
		f := out[q.Pool]
		f.addWaiting(w, now.Add(t.Lead), t)
		f.addArrivals(w, now, t)
		out[q.Pool] = f
	}
	return out
}

// addWaiting adds the work of the rounds that are due by the given time and not complete.
func (f *Inflow) addWaiting(w model.Workload, until model.Timestamp, t InflowWindows) {
	for round, times := range w.OpenStates(until) {
		for j, state := range round.Steps() {
			f.Waiting.add(workOf(w.Steps[j], state.Waiting(), t).times(times))
		}
	}
}

// addArrivals adds the work of the rounds that became due in one of the windows.
func (f *Inflow) addArrivals(w model.Workload, now model.Timestamp, t InflowWindows) {
	due, before, earlier := w.DueBy(now), w.DueBy(now.Add(-t.Window)), w.DueBy(now.Add(-2*t.Window))
	if due == earlier {
		return
	}
	var round Work
	for _, step := range w.Steps {
		round.add(workOf(step, step.Count, t))
		if !step.Lasting {
			round.Rounds = 1
		}
	}
	f.Recent.add(round.times(due - before))
	f.Earlier.add(round.times(before - earlier))
}

// workOf returns the work of so many tasks of a step.
func workOf(step model.Step, tasks int, t InflowWindows) Work {
	if step.Lasting {
		return Work{}
	}
	return Work{Seconds: step.Reserved().Scale((step.Estimate + t.PerRun).Seconds() * float64(tasks))}
}

func (w Work) times(n int) Work { return Work{w.Seconds.Times(n), w.Rounds * n} }

func (w *Work) add(o Work) {
	w.Seconds = w.Seconds.Add(o.Seconds)
	w.Rounds += o.Rounds
}
