package query

import "lacewingturn.example/core/model"

// Demand is what the workloads of a pool ask for at a time.
type Demand struct {
	// Need is what running tasks and those whose turn has come take together.
	Need model.Resources
	// Spread is the number of workers that the lasting steps need to keep their
	// tasks apart.
	Spread int
}

// Demands returns the demand of each pool.
func Demands(s model.State, now model.Timestamp) map[model.PoolName]Demand {
	out := map[model.PoolName]Demand{}
	for _, w := range s.Workloads.All() {
		q, ok := s.Catalog.Queue(w.Queue)
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
					d.add(w.Steps[j], state)
				}
			}
		}
		out[q.Pool] = d
	}
	return out
}

func (d *Demand) add(step model.Step, state model.StepState) {
	n := int64(len(state.Tasks) - state.Done)
	one := step.Reserved()
	d.Need.MilliCPU += n * one.MilliCPU
	d.Need.MemoryMB += n * one.MemoryMB
	d.Need.Accelerators += n * one.Accelerators
	if step.Lasting && step.MaxPerWorker > 0 {
		d.Spread = max(d.Spread, (step.Count+step.MaxPerWorker-1)/step.MaxPerWorker)
	}
}
