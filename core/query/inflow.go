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
		for i := range w.Rounds {
			if w.Due(i) > now.Add(t.Lead) {
				break
			}
			f.addRound(w, i, now, t)
		}
		out[q.Pool] = f
	}
	return out
}

func (f *Inflow) addRound(w model.Workload, round int, now model.Timestamp, t InflowWindows) {
	var waiting, total Work
	for j, state := range w.Rounds[round].Steps {
		step := &w.Steps[j]
		if step.Lasting {
			continue
		}
		one, seconds := step.Reserved(), (step.Estimate + t.PerRun).Seconds()
		total.Seconds = total.Seconds.Add(one.Scale(seconds * float64(len(state.Tasks))))
		waiting.Seconds = waiting.Seconds.Add(one.Scale(seconds * float64(withoutRun(state))))
		total.Rounds = 1
	}
	f.Waiting.add(waiting)
	switch age := now.Sub(w.Due(round)); {
	case age < 0:
	case age < t.Window:
		f.Recent.add(total)
	case age < 2*t.Window:
		f.Earlier.add(total)
	}
}

func (w *Work) add(o Work) {
	w.Seconds = w.Seconds.Add(o.Seconds)
	w.Rounds += o.Rounds
}

// withoutRun returns the number of tasks that are not done and have no active run.
func withoutRun(s model.StepState) int {
	n := 0
	for i := range s.Tasks {
		if !s.Tasks[i].Done && len(s.Tasks[i].Active) == 0 {
			n++
		}
	}
	return n
}
