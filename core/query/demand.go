package query

import (
	"time"

	"lacewingturn.example/core/model"
)

// Demand is what the workloads of a pool ask for at a time.
type Demand struct {
	// Running is what the running tasks take together.
	Running model.Resources
	// Waiting is what the tasks take whose turn has come, each weighted by the
	// part of the clearing time that it is expected to run.
	Waiting model.Resources
	// Spread is the number of workers that the lasting steps need to keep their
	// tasks apart.
	Spread int
}

// Demands returns the demand of each pool. Waiting tasks should have run within
// the clearing time; with 0 each of them counts whole.
func Demands(s model.State, now model.Timestamp, clearing time.Duration) map[model.PoolName]Demand {
	out := map[model.PoolName]Demand{}
	queues := s.Catalog.QueuesByName()
	for _, w := range s.Workloads.All() {
		q, ok := queues[w.Queue]
		if !ok {
			continue
		}
		d := out[q.Pool]
		for i, round := range w.Rounds {
			if w.Due(i) > now {
				break
			}
			for j, state := range round.Steps {
				if !state.Complete() && w.Open(i, j) {
					d.add(w.Steps[j], state, clearing)
				}
			}
		}
		out[q.Pool] = d
	}
	return out
}

func (d *Demand) add(step model.Step, state model.StepState, clearing time.Duration) {
	active := int64(0)
	for _, t := range state.Tasks {
		if len(t.Active) > 0 {
			active++
		}
	}
	one := step.Reserved()
	plus(&d.Running, one, float64(active))
	part := 1.0
	if clearing > 0 && !step.Lasting && !step.Gang {
		part = min(1, float64(step.Estimate)/float64(clearing))
	}
	plus(&d.Waiting, one, part*float64(int64(len(state.Tasks)-state.Done)-active))
	if step.Lasting && step.MaxPerWorker > 0 {
		d.Spread = max(d.Spread, (step.Count+step.MaxPerWorker-1)/step.MaxPerWorker)
	}
}

func plus(sum *model.Resources, one model.Resources, n float64) {
	sum.MilliCPU += int64(n * float64(one.MilliCPU))
	sum.MemoryMB += int64(n * float64(one.MemoryMB))
	sum.Accelerators += int64(n * float64(one.Accelerators))
}
