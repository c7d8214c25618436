package place

import (
	"slices"
	"time"

	"lacewingturn.example/core/command/near"
	"lacewingturn.example/core/model"
)

// Arrival is a worker that is expected to take work again soon, for example after the
// upkeep of its instance.
type Arrival struct {
	Pool     model.PoolName
	Rack     string
	Labels   []string
	In       time.Duration
	Capacity model.Resources
}

// runTime returns the expected run time of a task near its data; 0 if it is unknown.
func (p *planner) runTime(ref model.TaskRef) time.Duration {
	key := ref.StepRef()
	if run, ok := p.locality.runTimes[key]; ok {
		return run
	}
	run := time.Duration(0)
	if w, ok := p.state.Workloads.Get(ref.Workload); ok && w.Has(ref) && !w.Steps[ref.Step].Lasting {
		run = w.Steps[ref.Step].Estimate
		if p.options.RunTime != nil {
			run = p.options.RunTime(ref, run)
		}
	}
	p.locality.runTimes[key] = run
	return run
}

// runTimeOn returns the expected run time of a task on a worker of the rack.
func (p *planner) runTimeOn(ref model.TaskRef, spec model.Step, rack string) time.Duration {
	run := p.runTime(ref)
	if spec.NearRack != "" && spec.NearRack != rack {
		return time.Duration(max(1, p.options.RemoteDataFactor) * float64(run))
	}
	return run
}

// timeLeft returns how much longer an active run on a worker of the rack is expected to
// take; near.Never if that is unknown.
func (p *planner) timeLeft(w model.Workload, run model.RunRef, on model.WorkerID, rack string) time.Duration {
	if w.Steps[run.Task.Step].Lasting {
		return near.Never
	}
	if p.options.TimeLeft != nil {
		if left, ok := p.options.TimeLeft(run, on); ok {
			return left
		}
	}
	task, _ := w.Task(run.Task)
	for _, active := range task.Active {
		if active.Number == run.Number {
			return near.TimeLeft(p.runTimeOn(run.Task, w.Steps[run.Task.Step], rack), p.options.Now.Sub(active.StartedAt))
		}
	}
	return near.Never
}

// buildForecast predicts the capacity of the rack's workers. It leaves out those that get
// work only if no other worker can take it, and those that are emptied for upkeep: nothing
// waits for them.
func (p *planner) buildForecast(r *rack) {
	if r.forecast != nil {
		return
	}
	r.forecast = near.NewForecast()
	for _, w := range r.workers {
		if w.Suspect || w.Retiring || w.UpkeepDue {
			continue
		}
		r.forecast.AddHost(0, w.Free, p.releases(w))
		r.hosts = append(r.hosts, w)
	}
	pool := r.workers[0].Pool
	for _, a := range p.options.Arrivals {
		if a.Pool == pool && a.Rack == r.name {
			r.forecast.AddHost(a.In, a.Capacity, nil)
			r.hosts = append(r.hosts, &Worker{Pool: a.Pool, Rack: a.Rack, Labels: a.Labels, Free: a.Capacity, FillerMilliCPU: a.Capacity.MilliCPU})
		}
	}
}

// releases returns the expected ends of the runs on the worker, those that this plan starts
// included. A run without a known end never releases its capacity.
func (p *planner) releases(w *Worker) []near.Release {
	var out []near.Release
	add := func(run model.RunRef, left func(model.Workload) time.Duration) {
		workload, ok := p.state.Workloads.Get(run.Task.Workload)
		if !ok || !workload.Has(run.Task) {
			return
		}
		if in := left(workload); in != near.Never && in > 0 {
			out = append(out, near.Release{In: in, Size: workload.Steps[run.Task.Step].Reserved()})
		}
	}
	a, _ := p.state.Assignments.Get(w.ID)
	for run := range a.Runs.All() {
		add(run, func(workload model.Workload) time.Duration { return p.timeLeft(workload, run, w.ID, w.Rack) })
	}
	for _, start := range p.starts {
		if start.Worker == w.ID {
			add(start.Run, func(workload model.Workload) time.Duration {
				return p.runTimeOn(start.Run.Task, workload.Steps[start.Run.Task.Step], w.Rack)
			})
		}
	}
	return out
}

// forecastStart adds a run that this plan starts to the forecast of its rack, if there is
// one yet.
func (p *planner) forecastStart(w *Worker, spec model.Step, ref model.TaskRef) {
	r := p.locality.racks[near.Rack{Pool: w.Pool, Name: w.Rack}]
	if r == nil || r.forecast == nil {
		return
	}
	if i := slices.Index(r.hosts, w); i >= 0 {
		r.forecast.Book(i, 0, spec.Reserved(), p.runTimeOn(ref, spec, w.Rack))
	}
}

// maxAhead is the largest number of steps for which a rack books places ahead of others. The
// first of them leave no place that becomes free within near.MaxWait.
const maxAhead = 100

// leaveAhead records that the tasks of the step from the given one on found no capacity, so
// that what becomes free in their rack goes to them first.
func (p *planner) leaveAhead(c *candidate, spec *model.Step, first model.TaskRef) {
	if p.options.RemoteDataFactor <= 1 {
		return
	}
	if r := p.rackOf(c, spec); r != nil && len(r.ahead) < maxAhead {
		r.ahead = append(r.ahead, aheadStep{c, first})
	}
}

// bookAhead books places for the steps that found no capacity.
func (p *planner) bookAhead(r *rack) {
	for _, step := range r.ahead {
		spec := step.candidate.workload.Steps[step.first.Step]
		tasks := step.candidate.workload.Rounds.Step(step.first.Round, step.first.Step).Tasks
		for k, task := range tasks.NotDone(step.first.Index) {
			ref := step.first
			ref.Index = k
			if len(task.Active) > 0 {
				continue
			}
			host, at := p.earliest(step.candidate, r, spec, ref, near.MaxWait)
			if at == near.Never {
				break
			}
			r.forecast.Book(host, at, spec.Reserved(), p.runTime(ref))
		}
	}
	r.ahead = nil
}

// earliest returns the host of the rack on which a task first fits, and when.
func (p *planner) earliest(c *candidate, r *rack, spec model.Step, ref model.TaskRef, limit time.Duration) (int, time.Duration) {
	if !p.restricted(c, spec, ref) {
		return r.forecast.EarliestAnywhere(spec.Reserved(), limit)
	}
	return r.forecast.Earliest(spec.Reserved(), limit, p.room(c, r, spec, ref))
}

// restricted reports whether some workers may not run the task, whatever their capacity.
func (p *planner) restricted(c *candidate, spec model.Step, ref model.TaskRef) bool {
	return spec.Filler || spec.Label != "" || spec.MaxPerWorker > 0 || c.advised || p.options.avoidsAny(ref)
}

// room returns how many tasks of the step each host of the rack may run.
func (p *planner) room(c *candidate, r *rack, spec model.Step, ref model.TaskRef) near.Room {
	if !p.restricted(c, spec, ref) {
		return near.AnyNumber
	}
	return func(host int) int {
		w := r.hosts[host]
		switch {
		case !p.mayRun(c, w, spec, ref), w.ID != "" && p.options.Avoid != nil && p.options.Avoid(ref, w.ID):
			return 0
		case spec.MaxPerWorker > 0:
			return spec.MaxPerWorker - p.countRuns(w, ref.StepRef())
		}
		return near.AnyNumber(host)
	}
}

// isContended reports whether the waiting tasks of the pool need more processor time than
// was free when the plan began.
func (p *planner) isContended(name model.PoolName) bool {
	if known, ok := p.locality.contended[name]; ok {
		return known
	}
	left := p.locality.freeMilliCPU[name]
	for _, c := range p.waiting {
		if c.pool == name {
			left -= p.waitingMilliCPU(c, left)
		}
		if left < 0 {
			break
		}
	}
	p.locality.contended[name] = left < 0
	return left < 0
}

// waitingMilliCPU returns the processor time that the tasks of the candidate need that could
// start now, as far as the cap of its account allows one. It stops counting above the given
// maximum.
func (p *planner) waitingMilliCPU(c *candidate, enough int64) int64 {
	var sum int64
	w := c.workload
	for round, times := range w.OpenStates(p.options.Now) {
		for j, step := range round.Steps() {
			if step.Waiting() > 0 && w.Steps[j].ReadyIn(round) && c.account.MayStart(w.Steps[j].Need, 1) {
				sum += int64(times) * int64(step.Waiting()) * w.Steps[j].Reserved().MilliCPU
			}
		}
		if sum > enough {
			break
		}
	}
	return sum
}

// useOf returns the use of the rack until now.
func (p *planner) useOf(r *rack) near.Use {
	use, known := p.options.Near.Use[r.key()]
	if !known {
		use.At = p.options.Now
	}
	return use.Until(p.options.Now)
}

// useAfter returns the use of the racks for the next plan.
func (p *planner) useAfter() map[near.Rack]near.Use {
	out := map[near.Rack]near.Use{}
	update := func(r *rack) {
		use := p.useOf(r)
		if r.short {
			use.Need = r.need
		}
		use.IsShort = r.short || use.IsShort && !slices.ContainsFunc(r.workers, func(w *Worker) bool { return w.Free.Fits(use.Need) })
		if !use.Negligible() {
			out[r.key()] = use
		}
	}
	for key := range p.options.Near.Use {
		p.rack(key)
	}
	for key, r := range p.locality.racks {
		if _, known := p.options.Near.Use[key]; r != nil && (known || r.short) {
			update(r)
		}
	}
	return out
}
