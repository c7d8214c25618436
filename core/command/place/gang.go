package place

import (
	"slices"

	"lacewingturn.example/core/model"
)

// placeGang starts all tasks of a gang together, or none of them; none if a task is
// done or has an active run. All runs get the same number. A gang that should run in
// one rack waits for a rack with enough free capacity while its deadline allows it.
func (p *planner) placeGang(c candidate, round, step int) {
	tasks := c.workload.Rounds[round].Steps[step].Tasks
	number := 0
	for _, t := range tasks {
		if t.Done || len(t.Active) > 0 {
			return
		}
		number = max(number, t.LastRun)
	}
	spec := c.workload.Steps[step]
	ref := model.TaskRef{Workload: c.workload.ID, Round: round, Step: step}
	if spec.SameRack {
		for _, rack := range p.racks(c.pool) {
			if p.startGang(c, ref, number+1, rack) {
				return
			}
		}
		if p.canWait(c, round, spec) {
			return
		}
	}
	p.startGang(c, ref, number+1, "")
}

// racks returns the distinct racks of the pool's workers, in the order of the
// workers.
func (p *planner) racks(pool model.PoolName) []string {
	var out []string
	for _, w := range p.workers {
		if w.Pool == pool && !slices.Contains(out, w.Rack) {
			out = append(out, w.Rack)
		}
	}
	return out
}

// startGang starts the tasks of a gang on workers of one rack, or of any rack if
// rack is empty. If not all of them fit, it starts none and returns false.
func (p *planner) startGang(c candidate, ref model.TaskRef, number int, rack string) bool {
	spec := c.workload.Steps[ref.Step]
	trial := planner{state: p.state, options: p.options, runCounts: map[model.WorkerID]map[stepRef]int{}}
	for _, w := range p.workers {
		if rack == "" || w.Rack == rack {
			trial.workers = append(trial.workers, w)
		}
	}
	for id, counts := range p.runCounts {
		trial.runCounts[id] = map[stepRef]int{}
		for k, n := range counts {
			trial.runCounts[id][k] = n
		}
	}
	for k := range spec.Count {
		member := ref
		member.Index = k
		w := trial.chooseWorker(c, spec, member)
		if w == nil {
			return false
		}
		trial.start(w, spec, member, number)
	}
	for _, w := range trial.workers {
		i := slices.IndexFunc(p.workers, func(o Worker) bool { return o.ID == w.ID })
		p.workers[i].Free, p.workers[i].FillerMilliCPU = w.Free, w.FillerMilliCPU
	}
	p.runCounts = trial.runCounts
	p.starts = append(p.starts, trial.starts...)
	return true
}
