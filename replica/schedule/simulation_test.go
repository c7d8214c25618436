package schedule

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lacewingturn.example/core/model"
)

// simulationSeeds is the number of schedules that a run of the test plays.
var simulationSeeds = flag.Uint64("simulation.seeds", 20, "number of random schedules")

const (
	simulationTick = 50 * time.Millisecond
	// troubleTime and calmTime are the lengths of the two parts of a simulation. In the
	// second one only one worker goes on to ignore its orders and one writer to send
	// unreadable heartbeats, so that every workload has to end.
	troubleTime = 25 * time.Second
	calmTime    = 40 * time.Second
	gangTimeout = 3 * time.Second
	simAttempts = 3
)

// TestRandomSchedulesKeepTheRules guards against two runs of a task at once, a start beyond
// the room of its worker, beyond the attempts of its task or on the wrong pool, members of a
// gang with different checkpoints, and an accepted workload that never ends. Workers crash,
// start again, fall silent, fail everything, ignore orders or list their ends in parts; answers are lost; other
// writers send heartbeats and departures; workloads are cancelled, queues renamed, and
// leaders replaced.
func TestRandomSchedulesKeepTheRules(t *testing.T) {
	for seed := range *simulationSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runHarness(t, func(h *harness) { newSimulation(h, seed).run() })
		})
	}
}

// simRun is a run on a simulated worker.
type simRun struct {
	ref      model.RunRef
	spec     model.Step
	began    time.Time
	worked   time.Duration
	stopping bool
	// checkpoint is the value that the run was started with, or has written since.
	checkpoint string
}

// simWorker is one life of a worker as the users' protocol describes it.
type simWorker struct {
	name       string
	born       model.Timestamp
	instance   model.InstanceID
	pool       model.PoolName
	sequence   int64
	leaseUntil time.Time
	nextReport time.Time
	silentTill time.Time
	runs       []*simRun
	ended      []Ended
	position   int64
	// lapsed is the position of the last end that was not acknowledged before the lease
	// lapsed. Such an end may be acknowledged later without effect.
	lapsed    int64
	lastEnded map[model.TaskRef]int // highest run that has ended there
	failing   bool
	ignoring  bool
}

// simCapacity is the capacity of each worker, which none of them enforces.
const simCapacity = 4000

type simulation struct {
	h       *harness
	rng     *rand.Rand
	workers []*simWorker
	lives   int
	// failed holds the failed runs of a task, or those of a gang under its first task;
	// noted holds those whose end was acknowledged to the worker.
	failed     map[model.TaskRef]map[int]bool
	noted      map[model.TaskRef]map[int]bool
	done       map[model.TaskRef]bool
	poolOf     map[model.WorkloadID]model.PoolName
	specs      map[model.WorkloadID][]model.Step
	cancelled  map[model.WorkloadID]bool
	checkpoint map[model.RunRef]string // of a gang's run, under its first task
	version    model.CatalogVersion
	term       model.Term
	calm       bool
	// listedEnds is the number of ends that a worker lists in one heartbeat at most.
	listedEnds int
}

func newSimulation(h *harness, seed uint64) *simulation {
	s := &simulation{
		h: h, rng: rand.New(rand.NewPCG(seed, 20261205)), failed: map[model.TaskRef]map[int]bool{}, noted: map[model.TaskRef]map[int]bool{}, done: map[model.TaskRef]bool{},
		poolOf: map[model.WorkloadID]model.PoolName{}, specs: map[model.WorkloadID][]model.Step{}, cancelled: map[model.WorkloadID]bool{},
		checkpoint: map[model.RunRef]string{}, version: 1, term: 1, listedEnds: []int{500, 1, 2, 4}[seed%4],
	}
	s.publish()
	for i := range 8 {
		s.addLife(model.InstanceID(fmt.Sprintf("m-%d", i)), []model.PoolName{"p", "r"}[i%2], "")
	}
	return s
}

// addLife starts a life of a worker, under a new name unless one is given.
func (s *simulation) addLife(instance model.InstanceID, pool model.PoolName, name string) {
	s.lives++
	if name == "" {
		name = fmt.Sprintf("w%d", s.lives)
	}
	s.workers = append(s.workers, &simWorker{name: name, born: model.TimestampOf(time.Now()), instance: instance, pool: pool, lastEnded: map[model.TaskRef]int{}})
}

// publish gives the two queues new names, or exchanges them.
func (s *simulation) publish() {
	s.version++
	names := []model.QueueName{"a", "b", "c", "d"}
	s.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	s.h.propose(model.PublishCatalog{Catalog: model.Catalog{
		Version: s.version, Pools: []model.WorkerPool{{Name: "p"}, {Name: "r"}},
		Queues: []model.Queue{
			{Name: names[0], Host: "h", Prefix: "/p/", Pool: "p", MaxFailures: simAttempts, Stretch: 2, Target: time.Second},
			{Name: names[1], Host: "h", Prefix: "/r/", Pool: "r", MaxFailures: simAttempts, Stretch: 2, Target: time.Second},
		},
	}})
}

func (s *simulation) submit(n int) {
	id := model.WorkloadID(fmt.Sprintf("%016x", n))
	pool := []model.PoolName{"p", "r"}[s.rng.IntN(2)]
	var steps []model.Step
	for i := range 1 + s.rng.IntN(2) {
		step := model.Step{
			Count: 1 + s.rng.IntN(4), Need: model.Resources{MilliCPU: 500 + 500*int64(s.rng.IntN(3)), MemoryMB: 100},
			Estimate: time.Duration(200+s.rng.IntN(1500)) * time.Millisecond, Gang: s.rng.IntN(3) == 0, Checkpointing: s.rng.IntN(2) == 0,
		}
		if s.rng.IntN(4) == 0 {
			step.MaxPerWorker = 2
		}
		if i > 0 {
			step.After = []int{0}
		}
		steps = append(steps, step)
	}
	s.specs[id], s.poolOf[id] = steps, pool
	s.h.propose(model.SubmitWorkload{Host: "h", Path: "/" + string(pool) + "/" + string(id), Workload: model.Workload{Payload: "x", Steps: steps}})
}

func (s *simulation) run() {
	began := time.Now()
	for n := 1; time.Since(began) < troubleTime+calmTime; n++ {
		if time.Since(began) < troubleTime {
			if s.rng.IntN(8) == 0 {
				s.submit(n)
			}
			s.trouble()
		} else if !s.calm {
			s.endTrouble()
		}
		if n%10 == 0 {
			s.foreign(unreadable)
		}
		for _, w := range slices.Clone(s.workers) {
			s.step(w)
		}
		time.Sleep(simulationTick)
	}
	for _, w := range s.h.replica.View().State.Workloads.All() {
		s.h.t.Errorf("workload %s has not ended after %s without trouble: %+v", w.ID, calmTime, w.Rounds)
	}
	for _, f := range s.h.replica.View().State.Finished.All() {
		if f.Phase == model.WorkloadFailed && !s.reallyFailed(f.ID) {
			s.h.t.Errorf("workload %s is failed without %d failed runs of a task: %s", f.ID, simAttempts, f.Reason)
		}
		if f.Phase == model.WorkloadCancelled && !s.cancelled[f.ID] {
			s.h.t.Errorf("workload %s is cancelled, and nobody has cancelled it", f.ID)
		}
	}
}

func (s *simulation) reallyFailed(id model.WorkloadID) bool {
	for ref, runs := range s.failed {
		if ref.Workload == id && len(runs) >= simAttempts {
			return true
		}
	}
	return false
}

// trouble injects at most one fault.
func (s *simulation) trouble() {
	w := s.workers[s.rng.IntN(len(s.workers))]
	switch s.rng.IntN(90) {
	case 0: // the worker crashes, and a new life starts on its machine later or at once
		s.crash(w, "")
	case 1: // the same, under its name
		s.crash(w, w.name)
	case 2:
		w.silentTill = time.Now().Add(time.Duration(s.rng.IntN(5000)) * time.Millisecond)
	case 3:
		w.failing = !w.failing
	case 4:
		w.ignoring = !w.ignoring
	case 5: // an agent on the machine of the worker, with a service of no configuration
		s.foreign(Report{Name: "agent", Instance: w.instance, Pool: "elsewhere", Address: "10.9.9.9:1"})
	case 6:
		s.foreign(unreadable)
	case 7: // a departure that was delayed past a restart
		_ = s.h.machine.Depart(context.Background(), w.name)
	case 8, 9:
		s.cancelOne()
	case 10, 11:
		s.publish()
	case 12:
		s.term++
		s.h.replica.Lead(s.term)
	}
}

// endTrouble makes all workers sound but one, which reports and ignores its orders.
func (s *simulation) endTrouble() {
	s.calm = true
	for i, w := range s.workers {
		w.failing, w.ignoring, w.silentTill = false, i == 0, time.Time{}
	}
}

func (s *simulation) crash(w *simWorker, name string) {
	s.workers = slices.DeleteFunc(s.workers, func(o *simWorker) bool { return o == w })
	time.Sleep(time.Duration(1+s.rng.IntN(1500)) * time.Millisecond)
	s.addLife(w.instance, w.pool, name)
}

// unreadable is the heartbeat of a writer whose ID is no text. Small tasks would be placed
// there first, because it has the least room.
var unreadable = Report{Name: "\xff\xfe", Instance: "m-x", Pool: "p", Address: "10.9.9.9:2", Capacity: model.Resources{MilliCPU: 1500, MemoryMB: 4000}}

// foreign sends one heartbeat of another writer.
func (s *simulation) foreign(r Report) {
	r.StartedAt, r.Sequence = model.TimestampOf(time.Now()), 1
	r.Worker = model.MakeWorkerID(r.Name, r.StartedAt)
	_, _ = s.h.machine.Report(context.Background(), r)
}

func (s *simulation) cancelOne() {
	all := s.h.replica.View().State.Workloads.Values()
	if len(all) == 0 {
		return
	}
	w := all[s.rng.IntN(len(all))]
	s.cancelled[w.ID] = true
	s.h.propose(model.CancelWorkload{Host: "h", Path: "/" + string(s.poolOf[w.ID]) + "/" + string(w.ID)})
}

// step advances a worker by one tick.
func (s *simulation) step(w *simWorker) {
	now := time.Now()
	if now.After(w.leaseUntil) {
		for _, r := range slices.Clone(w.runs) {
			s.end(w, r, model.RunInterrupted, false)
		}
		w.lapsed = w.position
	}
	for _, r := range slices.Clone(w.runs) {
		s.work(w, r, now)
	}
	if now.Before(w.silentTill) || now.Before(w.nextReport) {
		return
	}
	s.report(w, now)
}

// work advances a run by one tick.
func (s *simulation) work(w *simWorker, r *simRun, now time.Time) {
	switch {
	case !slices.Contains(w.runs, r): // ended with its gang
	case r.stopping:
		s.end(w, r, model.RunInterrupted, false)
	case w.failing:
		s.end(w, r, model.RunFailed, false)
	case r.spec.Gang && !s.gangPresent(r):
		if now.Sub(r.began) > gangTimeout {
			s.end(w, r, model.RunInterrupted, false) // alone
		}
	default:
		r.worked += simulationTick
		if r.spec.Checkpointing && s.rng.IntN(5) == 0 {
			r.checkpoint = fmt.Sprintf("%08d", r.worked.Milliseconds())
		}
		if r.worked >= r.spec.Estimate {
			s.end(w, r, model.RunDone, false)
		}
	}
}

// gangPresent reports whether all members of the run are there.
func (s *simulation) gangPresent(r *simRun) bool {
	present := 0
	for _, w := range s.workers {
		for _, other := range w.runs {
			if sameGangMember(other.ref, r.ref) {
				present++
			}
		}
	}
	return present == r.spec.Count
}

func sameGangMember(a, b model.RunRef) bool {
	return a.Number == b.Number && a.Task.StepRef() == b.Task.StepRef()
}

// end ends a run. A member of a gang that does not end done breaks the others.
func (s *simulation) end(w *simWorker, r *simRun, outcome model.RunOutcome, broken bool) {
	w.runs = slices.DeleteFunc(w.runs, func(o *simRun) bool { return o == r })
	w.position++
	w.ended = append(w.ended, Ended{Position: w.position, Run: r.ref, Outcome: outcome, Checkpoint: r.checkpoint})
	w.lastEnded[r.ref.Task] = max(w.lastEnded[r.ref.Task], r.ref.Number)
	w.nextReport = time.Time{}
	if outcome == model.RunFailed {
		s.addFailure(s.failed, r.ref)
	}
	if !r.spec.Gang || broken {
		return
	}
	for _, other := range s.workers {
		for _, member := range slices.Clone(other.runs) {
			if sameGangMember(member.ref, r.ref) {
				how := model.RunInterrupted
				if outcome == model.RunDone || outcome == model.RunFailed && s.rng.IntN(2) == 0 {
					how = outcome
				}
				s.end(other, member, how, true)
			}
		}
	}
}

// report sends a heartbeat and carries out the answer, unless that is lost.
func (s *simulation) report(w *simWorker, now time.Time) {
	w.sequence++
	r := Report{
		Worker: model.MakeWorkerID(w.name, w.born), Name: w.name, StartedAt: w.born, Address: "10.0.0.1:" + w.name, Instance: w.instance, Pool: w.pool,
		Capacity: model.Resources{MilliCPU: simCapacity, MemoryMB: 4000}, Sequence: w.sequence,
		Ended: slices.Clone(w.ended[:min(len(w.ended), s.listedEnds)]),
	}
	r.MoreEnds = len(r.Ended) == s.listedEnds
	for _, run := range w.runs {
		r.Running = append(r.Running, Running{Run: run.ref, Checkpoint: run.checkpoint, Percent: int(100 * run.worked / (run.spec.Estimate + 1))})
	}
	o, err := s.h.machine.Report(context.Background(), r)
	w.nextReport = now.Add(idleInterval)
	if err != nil || !s.calm && s.rng.IntN(15) == 0 {
		return
	}
	w.ended = slices.DeleteFunc(w.ended, func(e Ended) bool {
		if e.Position <= o.AckCursor && e.Position > w.lapsed {
			s.noteEnd(e)
		}
		return e.Position <= o.AckCursor
	})
	if o.Lease > 0 {
		w.leaseUntil = now.Add(o.Lease)
	}
	for _, run := range o.Stop {
		s.stop(w, run)
	}
	for _, start := range o.Start {
		s.start(w, start, now)
	}
}

// noteEnd records an end that was acknowledged.
func (s *simulation) noteEnd(e Ended) {
	switch e.Outcome {
	case model.RunDone:
		s.done[e.Run.Task] = true
	case model.RunFailed:
		s.addFailure(s.noted, e.Run)
	}
}

// addFailure adds a failed run of a task or of its gang.
func (s *simulation) addFailure(to map[model.TaskRef]map[int]bool, run model.RunRef) {
	unit := s.unitOf(run.Task)
	if to[unit] == nil {
		to[unit] = map[int]bool{}
	}
	to[unit][run.Number] = true
}

// unitOf returns the task, or the first task of its gang.
func (s *simulation) unitOf(task model.TaskRef) model.TaskRef {
	if s.specs[task.Workload][task.Step].Gang {
		task.Index = 0
	}
	return task
}

func (s *simulation) stop(w *simWorker, run model.RunRef) {
	w.lastEnded[run.Task] = max(w.lastEnded[run.Task], run.Number)
	for _, r := range w.runs {
		r.stopping = r.stopping || r.ref == run
	}
}

// start carries out a start order and checks the rules.
func (s *simulation) start(w *simWorker, o StartOrder, now time.Time) {
	task := o.Run.Task
	if w.ignoring || o.Run.Number <= w.lastEnded[task] || slices.ContainsFunc(w.runs, func(r *simRun) bool { return r.ref == o.Run }) {
		return
	}
	spec := s.specs[task.Workload][task.Step]
	used := spec.Need.MilliCPU
	for _, r := range w.runs {
		used += r.spec.Need.MilliCPU
	}
	if used > simCapacity {
		s.h.t.Errorf("the start of %v brings %s to %d of %d", o.Run, w.name, used, simCapacity)
	}
	for _, other := range s.workers {
		for _, r := range other.runs {
			if r.ref.Task == task {
				s.h.t.Errorf("%v starts on %s while run %d is on %s", o.Run, w.name, r.ref.Number, other.name)
			}
		}
	}
	unit := s.unitOf(task)
	if spec.Gang {
		key := model.RunRef{Task: unit, Number: o.Run.Number}
		if c, ok := s.checkpoint[key]; ok && c != o.Checkpoint {
			s.h.t.Errorf("members of %v start with checkpoints %q and %q", o.Run, c, o.Checkpoint)
		}
		s.checkpoint[key] = o.Checkpoint
	}
	if s.done[task] {
		s.h.t.Errorf("%v starts although the task is done", o.Run)
	}
	if len(s.noted[unit]) >= simAttempts {
		s.h.t.Errorf("%v starts after %d failed runs", o.Run, len(s.noted[unit]))
	}
	if s.poolOf[task.Workload] != w.pool {
		s.h.t.Errorf("%v of pool %s starts on %s of pool %s", o.Run, s.poolOf[task.Workload], w.name, w.pool)
	}
	w.runs = append(w.runs, &simRun{ref: o.Run, spec: spec, began: now, checkpoint: o.Checkpoint})
}
