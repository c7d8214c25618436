package place

import "lacewingturn.example/core/model"

// placeGang starts all tasks of a gang together, or none of them; none if a task is
// done or has an active run. All runs get the same number. A gang that should run in
// one rack waits for a rack with enough free capacity while the expected wait costs less than it saves.
func (p *planner) placeGang(c *candidate, round, step int) {
	state := c.workload.Rounds.Step(round, step)
	if state.Done > 0 || state.Tasks.Active() > 0 {
		return
	}
	number := 0
	for _, t := range state.Tasks.Begun() {
		number = max(number, t.LastRun)
	}
	spec := c.workload.Steps[step]
	if !p.pools[c.pool].mayFit(spec.Reserved()) || !c.account.MayStart(spec.Need, spec.Count) {
		return
	}
	ref := model.TaskRef{Workload: c.workload.ID, Round: round, Step: step}
	if spec.SameRack {
		for _, rack := range p.racks(c.pool) {
			if p.startGang(&rack.pool, c, ref, number+1) {
				return
			}
		}
		if p.gangWaitPays(c, spec, ref) {
			return
		}
	}
	p.startGang(p.pools[c.pool], c, ref, number+1)
}

// startGang starts the tasks of a gang on workers of the group. If not all of them fit,
// it starts none and returns false.
func (p *planner) startGang(group *pool, c *candidate, ref model.TaskRef, number int) bool {
	spec := c.workload.Steps[ref.Step]
	if group.roomFor(spec.Reserved(), spec.Count) < spec.Count {
		return false
	}
	var chosen []*Worker
	for k := range spec.Count {
		member := ref
		member.Index = k
		w := p.chooseAmong(group, c, spec, member, nil)
		if w == nil {
			p.undo(chosen, c, spec, ref)
			group.updateLargestFree() // it may have been lowered for the members that fitted
			return false
		}
		p.start(w, c, spec, member, number)
		chosen = append(chosen, w)
	}
	for _, w := range chosen {
		p.forecastStart(w, spec, ref)
	}
	return true
}

// undo takes back the latest starts of tasks of the step, which are on the given workers.
func (p *planner) undo(on []*Worker, c *candidate, spec model.Step, ref model.TaskRef) {
	for _, w := range on {
		c.account.Undo(spec.Need)
		w.Free = w.Free.Add(spec.Reserved())
		w.Runs--
		w.FillerMilliCPU += spec.Need.MilliCPU
		if countsRuns(spec) {
			p.runCounts[w.ID][ref.StepRef()]--
		}
	}
	p.starts = p.starts[:len(p.starts)-len(on)]
}
