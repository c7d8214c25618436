package place

import (
	"slices"

	"lacewingturn.example/core/command/near"
	"lacewingturn.example/core/model"
)

// begunWait returns the wait that the step has begun; nil if there is none. Without a record
// of waits the step counts as waiting since it was due.
func (p *planner) begunWait(c *candidate, ref model.TaskRef) *near.Wait {
	key := ref.StepRef()
	if w, ok := p.locality.waits[key]; ok {
		return &w
	}
	if w, ok := p.options.Near.Waits[key]; ok {
		return &w
	}
	if p.options.Near.Waits != nil {
		return nil
	}
	due := c.workload.Due(ref.Round)
	run := p.runTime(ref)
	bound := near.Choice{Run: run, Factor: p.options.RemoteDataFactor}.Limit()
	return &near.Wait{Since: due, Until: due.Add(bound)}
}

// recordWait records that more tasks of the step wait.
func (p *planner) recordWait(ref model.TaskRef, r *rack, wait near.Wait, tasks int) {
	key := ref.StepRef()
	waiting := 0
	if earlier, ok := p.locality.waits[key]; ok {
		waiting = earlier.Tasks
	}
	wait.Rack, wait.Tasks = r.key(), waiting+tasks
	p.locality.waits[key] = wait
}

// waitsAfter returns the waits for the next plan, and the steps whose wait has begun or
// ended.
func (p *planner) waitsAfter() (out near.Waits, begun, ended []model.StepRef) {
	out = p.locality.waits
	for step := range out {
		if p.options.Near.Waits[step].Tasks == 0 {
			begun = append(begun, step)
		}
	}
	for step, before := range p.options.Near.Waits {
		if _, waits := out[step]; waits || !p.isOpen(step) {
			continue
		}
		if before.Tasks > 0 {
			ended = append(ended, step)
		}
		before.Tasks = 0
		out[step] = before
	}
	p.countStarts(out)
	slices.SortFunc(begun, model.StepRef.Compare)
	slices.SortFunc(ended, model.StepRef.Compare)
	return out, begun, ended
}

// isOpen reports whether the step exists and is not complete.
func (p *planner) isOpen(step model.StepRef) bool {
	w, ok := p.state.Workloads.Get(step.Workload)
	if !ok {
		return false
	}
	state := w.Rounds.Step(step.Round, step.Step)
	return !state.Complete()
}

// countStarts counts the starts of this plan in the waits of their steps that had begun
// before it.
func (p *planner) countStarts(waits near.Waits) {
	if len(p.options.Near.Waits) == 0 {
		return
	}
	racks := map[model.WorkerID]string{}
	for _, group := range p.pools {
		for _, w := range group.workers {
			racks[w.ID] = w.Rack
		}
	}
	for _, start := range p.starts {
		step := start.Run.Task.StepRef()
		wait, ok := waits[step]
		if _, earlier := p.options.Near.Waits[step]; !ok || !earlier {
			continue
		}
		if racks[start.Worker] == wait.Rack.Name {
			wait.Near++
		} else {
			wait.Far++
		}
		waits[step] = wait
	}
}
