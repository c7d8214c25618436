package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
)

const (
	replayTick   = 50 * time.Millisecond
	replayFactor = 3 // far run time as a multiple of the near one
	// replayTarget is the target completion time beyond twice the run time.
	replayTarget = 3 * time.Second
	replayLength = 20 * time.Second
	// replayDrain is the time after the last arrival within which all work must end.
	replayDrain = 60 * time.Second
)

// load is work for a fleet of racks with some workers of four processors each.
type load struct {
	name           string
	racks, workers int
	// arrive returns the steps that are submitted at the time, each as a workload.
	arrive func(at time.Duration) []model.Step
	// wrong is the true run time as a multiple of the estimate; 0 counts as 1.
	wrong float64
	// lost reports whether the workers of the rack are gone at the time.
	lost func(rack int, at time.Duration) bool
}

// policy is a way to decide about waits. Those that the planner does not have itself are
// played with tickets, which keep a task off the workers far from its data.
type policy struct {
	name   string
	factor float64
	mayFar func(r *replay, w model.Workload, step model.Step) bool // nil always allows it
}

var (
	noWait     = policy{"no wait", 1, nil}
	fixedDelay = policy{"fixed delay", 1, func(r *replay, w model.Workload, _ model.Step) bool {
		return r.x.s.Clock.Sub(w.AcceptedAt) >= 500*time.Millisecond
	}}
	// slackWait waits while the workload can still meet its target after a far run.
	slackWait = policy{"slack", 1, func(r *replay, w model.Workload, step model.Step) bool {
		slack := w.AcceptedAt.Add(2*step.Estimate + replayTarget).Sub(r.x.s.Clock)
		return slack <= replayFactor*step.Estimate+600*time.Millisecond
	}}
	expectedGain = policy{"expected gain", replayFactor, nil}
)

// replay plays a load against the planner.
type replay struct {
	x       *site
	load    load
	policy  policy
	memory  memory
	begin   model.Timestamp
	running map[model.RunRef]activeRun
	// total is the sum over workloads of the time from submission to completion, late the
	// number that missed their target.
	total time.Duration
	count int
	late  int
}

type activeRun struct {
	worker model.WorkerID
	end    model.Timestamp
	need   model.Resources
}

func (l load) play(t *testing.T, p policy) *replay {
	r := l.begin(t, p)
	for at := time.Duration(0); at < replayLength+replayDrain; at += replayTick {
		r.step(at)
	}
	return r
}

func (l load) begin(t *testing.T, p policy) *replay {
	r := &replay{x: newSite(t), load: l, policy: p, running: map[model.RunRef]activeRun{}}
	r.x.s.Catalog.Queues[0].Advised = p.mayFar != nil
	r.x.s.Catalog.Queues[0].Target = replayTarget
	r.begin = r.x.s.Clock
	return r
}

// step plays the load at one moment.
func (r *replay) step(at time.Duration) {
	r.x.s.Clock = r.begin.Add(at)
	r.endRuns()
	if at < replayLength {
		for _, s := range r.load.arrive(at) {
			r.count++
			r.x.submit(0, r.count, s)
		}
	}
	r.start(r.plan(at))
}

// endRuns ends the runs that have run for their true time.
func (r *replay) endRuns() {
	var p model.RecordProgress
	for run, a := range r.running {
		if a.end <= r.x.s.Clock {
			p.Ends = append(p.Ends, model.RunEnd{Run: run, Worker: a.worker, Outcome: model.RunDone})
			delete(r.running, run)
		}
	}
	before := r.x.s
	r.x.s, _ = command.Apply(r.x.s, r.x.s.Index+1, 1, model.Envelope{Time: r.x.s.Clock, Command: p})
	for _, w := range before.Workloads.All() {
		if !r.x.s.Workloads.Has(w.ID) {
			took := r.x.s.Clock.Sub(w.AcceptedAt)
			r.total += took
			if took > 2*w.Steps[0].Estimate+replayTarget {
				r.late++
			}
		}
	}
}

func (r *replay) plan(at time.Duration) []model.RunStart {
	options := Options{Now: r.x.s.Clock, RemoteDataFactor: r.policy.factor}
	if r.policy.mayFar != nil {
		options.TicketGranted = func(ref model.TaskRef, id model.WorkerID) bool {
			w, _ := r.x.s.Workloads.Get(ref.Workload)
			step := w.Steps[ref.Step]
			return step.NearRack == "" || r.rackOf(id) == step.NearRack || r.policy.mayFar(r, w, step)
		}
	}
	return r.memory.plan(r.x.s, r.offers(at), options)
}

func (r *replay) offers(at time.Duration) []Worker {
	used := map[model.WorkerID]model.Resources{}
	for _, a := range r.running {
		used[a.worker] = used[a.worker].Add(a.need)
	}
	var out []Worker
	for k := range r.load.racks * r.load.workers {
		rack := k / r.load.workers
		if r.load.lost != nil && r.load.lost(rack, at) {
			continue
		}
		w := worker(fmt.Sprintf("%d.%02d", rack, k), 4000)
		w.Rack = fmt.Sprint("r", rack)
		w.Free = w.Free.Sub(used[w.ID])
		out = append(out, w)
	}
	return out
}

func (r *replay) rackOf(id model.WorkerID) string { return "r" + string(id[0]) }

// start commits the starts. A gang on several racks runs as long as a task far from its data.
func (r *replay) start(starts []model.RunStart) {
	racks := map[model.WorkloadID]map[string]bool{}
	for _, s := range starts {
		id := s.Run.Task.Workload
		if racks[id] == nil {
			racks[id] = map[string]bool{}
		}
		racks[id][r.rackOf(s.Worker)] = true
	}
	for _, s := range starts {
		w, _ := r.x.s.Workloads.Get(s.Run.Task.Workload)
		step := w.Steps[s.Run.Task.Step]
		took := float64(step.Estimate)
		if r.load.wrong > 0 {
			took *= r.load.wrong
		}
		if step.NearRack != "" && r.rackOf(s.Worker) != step.NearRack || step.SameRack && len(racks[w.ID]) > 1 {
			took *= replayFactor
		}
		r.running[s.Run] = activeRun{s.Worker, r.x.s.Clock.Add(time.Duration(took)), step.Reserved()}
	}
	r.x.commit(starts)
}

func (r *replay) mean() time.Duration {
	return (r.total / time.Duration(max(1, r.done()))).Round(time.Millisecond)
}

// done is the number of completed workloads.
func (r *replay) done() int { return r.count - r.x.s.Workloads.Len() }

func wish(n int, run time.Duration, rack string) model.Step {
	s := step(n, 1000)
	s.Estimate, s.NearRack = run, rack
	return s
}

// every reports whether something that is due at each multiple of the period is due at the
// time.
func every(period, at time.Duration) bool { return at%period == 0 }

func replayLoads() []load {
	hotEvery := func(period time.Duration) func(time.Duration) []model.Step {
		return func(at time.Duration) []model.Step {
			if every(period, at) {
				return []model.Step{wish(5, 800*time.Millisecond, "r0"), step(1, 1000)}
			}
			return nil
		}
	}
	hot := hotEvery(250 * time.Millisecond)
	return []load{
		{name: "one hot rack", racks: 4, workers: 3, arrive: hot},
		{name: "short bursts on one rack", racks: 4, workers: 3, arrive: func(at time.Duration) []model.Step {
			if every(4*time.Second, at) {
				return []model.Step{wish(10, time.Second, "r0"), wish(8, time.Second, "r0")}
			}
			return nil
		}},
		{name: "racks full by turns", racks: 4, workers: 3, arrive: func(at time.Duration) []model.Step {
			rack := fmt.Sprint("r", int(at/(4*time.Second))%4)
			if every(500*time.Millisecond, at) {
				return []model.Step{wish(8, time.Second, rack), wish(2, 400*time.Millisecond, rack)}
			}
			return nil
		}},
		{name: "rack lost while tasks wait", racks: 4, workers: 3, arrive: func(at time.Duration) []model.Step {
			if at < 5*time.Second {
				return hot(at)
			}
			return hotEvery(500 * time.Millisecond)(at)
		}, lost: func(rack int, at time.Duration) bool {
			return rack == 0 && at >= 5*time.Second
		}},
		{name: "gangs beside small work", racks: 4, workers: 3, arrive: func(at time.Duration) (out []model.Step) {
			if every(time.Second, at) {
				gang := step(10, 1000)
				gang.Gang, gang.SameRack = true, true
				out = append(out, gang, gang)
			}
			if every(100*time.Millisecond, at) {
				out = append(out, wish(4, 500*time.Millisecond, ""))
			}
			return out
		}},
		{name: "estimates a quarter", racks: 4, workers: 3, arrive: hotEvery(time.Second), wrong: 4},
		{name: "estimates fourfold", racks: 4, workers: 3, arrive: hotEvery(replayTick), wrong: 0.25},
		{name: "near places reserved by lasting tasks", racks: 4, workers: 3, arrive: func(at time.Duration) []model.Step {
			if at == 0 {
				lasting := wish(12, 500*time.Millisecond, "r0")
				lasting.Lasting = true
				return []model.Step{lasting}
			}
			if every(time.Second, at) {
				return []model.Step{wish(3, 800*time.Millisecond, "r0")}
			}
			return nil
		}},
	}
}

// Guards against waits for near places that cost more than they save: on each load the mean
// time to completion is at most a tenth above that of the best of the simpler policies.
func TestWaitsPayOnEachLoad(t *testing.T) {
	for _, l := range replayLoads() {
		t.Run(l.name, func(t *testing.T) {
			best := time.Duration(0)
			for _, p := range []policy{noWait, fixedDelay, slackWait} {
				r := l.play(t, p)
				t.Logf("%-14s mean %5d ms, late %3d of %d", p.name, r.mean().Milliseconds(), r.late, r.done())
				if best == 0 || r.mean() < best {
					best = r.mean()
				}
			}
			r := l.play(t, expectedGain)
			t.Logf("%-14s mean %5d ms, late %3d of %d", expectedGain.name, r.mean().Milliseconds(), r.late, r.done())
			assert.Assert(t, r.mean() <= best+best/10, "mean %v, best of the others %v", r.mean(), best)
		})
	}
}
