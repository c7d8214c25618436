package query

import (
	"time"

	"lacewingturn.example/core/model"
)

// Demand is the capacity that the workloads of a pool need at a given time.
type Demand struct {
	// Running is the total capacity of the running tasks.
	Running model.Resources
	// Waiting is the total capacity of the tasks that are ready to run, each
	// weighted by its expected run time as a fraction of the clearing time.
	Waiting model.Resources
	// Lasting is the part of Running and Waiting that belongs to lasting tasks.
	Lasting model.Resources
	// MinWorkers is the number of workers that lasting steps need to comply with
	// MaxPerWorker.
	MinWorkers int
}

// Demands returns the demand of each pool. The clearing time is the time within
// which the waiting tasks should have run; if it is 0, each of them counts in full.
func Demands(s model.State, now model.Timestamp, clearing time.Duration) map[model.PoolName]Demand {
	out := map[model.PoolName]Demand{}
	queues := s.Catalog.QueuesByName()
	for _, w := range s.Workloads.All() {
		q, ok := queues.Of(&w)
		if !ok {
			continue
		}
		d := out[q.Pool]
		for round, times := range w.OpenStates(now) {
			for j, state := range round.Steps() {
				if !state.Complete() && w.Steps[j].ReadyIn(round) {
					d.add(w.Steps[j], state, times, clearing)
				}
			}
		}
		out[q.Pool] = d
	}
	return out
}

// add adds a step in so many rounds in the same state.
func (d *Demand) add(step model.Step, state *model.StepState, times int, clearing time.Duration) {
	one := step.Reserved()
	d.Running = d.Running.Add(one.Times(state.Tasks.Active() * times))
	weight := 1.0
	if clearing > 0 && !step.Lasting && !step.Gang {
		weight = min(1, float64(step.Estimate)/float64(clearing))
	}
	d.Waiting = d.Waiting.Add(one.Scale(weight * float64(state.Waiting())).Times(times))
	if step.Lasting {
		d.Lasting = d.Lasting.Add(one.Times((state.Tasks.Len() - state.Done) * times))
	}
	if step.Lasting && step.MaxPerWorker > 0 {
		d.MinWorkers = max(d.MinWorkers, (step.Count+step.MaxPerWorker-1)/step.MaxPerWorker)
	}
}
