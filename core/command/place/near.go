package place

import (
	"slices"
	"time"

	"lacewingturn.example/core/command/near"
	"lacewingturn.example/core/model"
)

// Result is a plan with the waits for near places that belong to it.
type Result struct {
	Starts []model.RunStart
	// Near replaces Options.Near for the next plan.
	Near near.History
	// Begun and Ended list the steps whose wait has begun or ended in this plan.
	Begun, Ended []model.StepRef
}

// rack is the part of a pool in one rack.
type rack struct {
	pool
	name string
	// forecast is nil until a decision needs it; hosts holds its workers, in its order.
	forecast *near.Forecast
	hosts    []*Worker
	// short is set if a task of the size need found no capacity in this plan.
	short bool
	need  model.Resources
	// ahead lists steps that want the rack, have an earlier turn and found no capacity.
	ahead []aheadStep
}

func (r *rack) key() near.Rack { return near.Rack{Pool: r.workers[0].Pool, Name: r.name} }

// aheadStep is a step with waiting tasks from the given index on.
type aheadStep struct {
	candidate *candidate
	first     model.TaskRef
}

// gangShape is what the time until a gang fits in one rack depends on.
type gangShape struct {
	pool  model.PoolName
	need  model.Resources
	count int
	label string
}

// locality is what a plan knows about near places. The racks of a pool are grouped when
// they are first needed.
type locality struct {
	racks   map[near.Rack]*rack
	inOrder map[model.PoolName][]*rack
	// last is the latest answer of rackOf, because many steps wish for the same rack.
	last *rack
	// contended is set for pools with more waiting work than free capacity.
	contended map[model.PoolName]bool
	runTimes  map[model.StepRef]time.Duration
	// gangAtLeast is a lower bound of the time until a gang fits in one rack.
	gangAtLeast map[gangShape]time.Duration
	// freeMilliCPU is the free processor time of each pool before the plan.
	freeMilliCPU map[model.PoolName]int64
	// waits holds the waits of the steps that wait in this plan.
	waits near.Waits
	// alone is the answer of othersRunFar for each step.
	othersFar map[model.StepRef]bool
}

func newLocality(workers []Worker) locality {
	free := map[model.PoolName]int64{}
	for i := range workers {
		free[workers[i].Pool] += workers[i].Free.MilliCPU
	}
	return locality{
		freeMilliCPU: free,
		racks:        map[near.Rack]*rack{}, inOrder: map[model.PoolName][]*rack{}, contended: map[model.PoolName]bool{},
		runTimes: map[model.StepRef]time.Duration{}, gangAtLeast: map[gangShape]time.Duration{}, waits: near.Waits{},
		othersFar: map[model.StepRef]bool{},
	}
}

// racks groups the workers of the pool by rack, in the order of the workers.
func (p *planner) racks(name model.PoolName) []*rack {
	if out, ok := p.locality.inOrder[name]; ok {
		return out
	}
	var out []*rack
	seen := map[string]bool{}
	for _, w := range p.pools[name].workers {
		if !seen[w.Rack] {
			seen[w.Rack] = true
			out = append(out, p.rack(near.Rack{Pool: name, Name: w.Rack}))
		}
	}
	p.locality.inOrder[name] = out
	return out
}

// rack returns the workers of the pool in one rack; nil if there are none.
func (p *planner) rack(key near.Rack) *rack {
	if r, ok := p.locality.racks[key]; ok {
		return r
	}
	var r *rack
	if group := p.pools[key.Pool]; group != nil {
		for _, w := range group.workers {
			if w.Rack != key.Name {
				continue
			}
			if r == nil {
				r = &rack{name: key.Name}
			}
			r.workers = append(r.workers, w)
		}
	}
	if r != nil {
		r.updateLargestFree()
	}
	p.locality.racks[key] = r
	return r
}

// markAwaited marks the workers that steps waited for in the last plan.
func (p *planner) markAwaited() {
	awaited := map[near.Rack]bool{}
	for _, wait := range p.options.Near.Waits {
		if wait.Tasks > 0 {
			awaited[wait.Rack] = true
		}
	}
	if len(awaited) == 0 {
		return
	}
	for _, group := range p.pools {
		for _, w := range group.workers {
			w.awaited = awaited[near.Rack{Pool: w.Pool, Name: w.Rack}]
		}
	}
}

// rackOf returns the rack that the step should run in; nil if it may run anywhere or no
// worker of the pool is there. Lasting tasks never wait for a rack, because neither their
// own end nor that of others like them is known.
func (p *planner) rackOf(c *candidate, spec *model.Step) *rack {
	if spec.NearRack == "" || spec.Lasting {
		return nil
	}
	if last := p.locality.last; last != nil && last.name == spec.NearRack && last.workers[0].Pool == c.pool {
		return last
	}
	p.locality.last = p.rack(near.Rack{Pool: c.pool, Name: spec.NearRack})
	return p.locality.last
}

// chooseOrWait returns the worker for a task, or nil if it fits nowhere or waits for a
// worker near its data.
func (p *planner) chooseOrWait(c *candidate, spec model.Step, ref model.TaskRef, active []model.Run) (w *Worker, waits bool) {
	r := p.rackOf(c, &spec)
	if r == nil {
		return p.chooseWorker(c, spec, ref, active), false
	}
	if r.mayFit(spec.Reserved()) {
		if w := p.chooseAmong(&r.pool, c, spec, ref, active); w != nil && !w.Suspect && !w.Retiring {
			return w, false
		}
	}
	if p.waitPays(c, r, spec, ref) {
		return nil, true
	}
	return p.chooseWorker(c, spec, ref, active), false
}

// waitPays decides whether a task waits for a worker of the rack, and books a place there
// if it does.
func (p *planner) waitPays(c *candidate, r *rack, spec model.Step, ref model.TaskRef) bool {
	choice := p.choice(c, spec, ref)
	choice.Short = p.useOf(r).Short
	r.short, r.need = true, spec.Reserved()
	if choice.Limit() <= 0 || choice.Begun != nil && choice.Now >= choice.Begun.Until {
		return false
	}
	p.buildForecast(r)
	p.bookAhead(r)
	choice.OthersFar = p.othersRunFar(c, r, spec, ref, choice)
	host, at := p.earliest(c, r, spec, ref, choice.Limit())
	choice.Wait = at
	wait, ok := near.Decide(choice)
	if ok {
		r.forecast.Book(host, at, spec.Reserved(), choice.Run)
		p.recordWait(ref, r, wait, 1)
	}
	return ok
}

// othersRunFar reports whether other tasks of the step run far anyway: one that will still run
// when a new run near the data could have ended, or those that cannot all wait.
func (p *planner) othersRunFar(c *candidate, r *rack, spec model.Step, ref model.TaskRef, choice near.Choice) bool {
	key := ref.StepRef()
	if known, ok := p.locality.othersFar[key]; ok {
		return known
	}
	waiting, runsFar := 0, false
	tasks := c.workload.Rounds.Step(ref.Round, ref.Step).Tasks
	for k, task := range tasks.NotDone(0) {
		if len(task.Active) == 0 && k >= ref.Index {
			waiting++
		}
		for _, run := range task.Active {
			sibling := model.RunRef{Task: model.TaskRef{Workload: ref.Workload, Round: ref.Round, Step: ref.Step, Index: k}, Number: run.Number}
			isNear := slices.ContainsFunc(r.workers, func(w *Worker) bool { return w.ID == run.Worker })
			runsFar = runsFar || !isNear && p.timeLeft(c.workload, sibling, run.Worker, "") > choice.Run
		}
	}
	othersFar := runsFar || !r.forecast.FitsAll(spec.Reserved(), waiting, choice.Run, choice.Limit(), p.room(c, r, spec, ref))
	p.locality.othersFar[key] = othersFar
	return othersFar
}

// gangWaitPays decides whether a gang waits for a rack with room for all of its members,
// and books the room if it does.
func (p *planner) gangWaitPays(c *candidate, spec model.Step, ref model.TaskRef) bool {
	choice := p.choice(c, spec, ref)
	shape := gangShape{c.pool, spec.Reserved(), spec.Count, spec.Label}
	if limit := choice.Limit(); limit <= 0 || p.locality.gangAtLeast[shape] > limit {
		return false
	}
	best, members, at := p.earliestRack(c, spec, ref, choice.Limit())
	if at == near.Never && !p.restricted(c, spec, ref) {
		p.locality.gangAtLeast[shape] = choice.Limit() + 1
	}
	choice.Wait = at
	wait, ok := near.Decide(choice)
	if !ok {
		return false
	}
	for _, host := range members {
		best.forecast.Book(host, at, spec.Reserved(), choice.Run)
	}
	for _, w := range best.workers {
		w.awaited = true
	}
	p.recordWait(ref, best, wait, spec.Count)
	return true
}

// earliestRack returns the rack in which the gang first fits, with the hosts of its members
// and the time.
func (p *planner) earliestRack(c *candidate, spec model.Step, ref model.TaskRef, limit time.Duration) (best *rack, members []int, at time.Duration) {
	at = near.Never
	for _, r := range p.racks(c.pool) {
		p.buildForecast(r)
		p.bookAhead(r)
		hosts, t := r.forecast.EarliestGang(spec.Reserved(), spec.Count, min(limit, at-1), p.room(c, r, spec, ref))
		if t != near.Never {
			best, members, at = r, hosts, t
		}
	}
	return best, members, at
}

// choice returns the choice of the step, without the time until a near place is free.
func (p *planner) choice(c *candidate, spec model.Step, ref model.TaskRef) near.Choice {
	run := p.runTime(ref)
	deadline := c.deadline.Add(c.workload.Due(ref.Round).Sub(c.workload.Due(0)))
	return near.Choice{
		Now: p.options.Now, Wait: near.Never, Run: run, Factor: p.options.RemoteDataFactor,
		Slack: deadline.Sub(p.options.Now) - c.left - (run - spec.Estimate), Contended: p.isContended(c.pool), Begun: p.begunWait(c, ref),
		Continues: p.locality.waits[ref.StepRef()].Tasks < p.options.Near.Waits[ref.StepRef()].Tasks,
	}
}
