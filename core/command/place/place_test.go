package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
)

// site is a state with one pool and one queue each for the priorities 0 and 1.
type site struct {
	t *testing.T
	s model.State
}

func newSite(t *testing.T) *site {
	c := model.Catalog{Version: 1, Pools: []model.WorkerPool{{Name: "p"}}}
	for priority := range 2 {
		name := fmt.Sprintf("q%d", priority)
		c.Queues = append(c.Queues, model.Queue{
			Name: model.QueueName(name), Host: "h", Prefix: "/" + name + "/", Pool: "p", Priority: priority, MaxFailures: 3, Stretch: 2, Target: time.Second,
		})
	}
	return &site{t, model.State{Clock: 1000, Catalog: &c}}
}

func (x *site) submit(priority, id int, steps ...model.Step) model.WorkloadID {
	name := fmt.Sprintf("%016x", id)
	var r interface{ Error() string }
	next, res := command.Apply(x.s, x.s.Index+1, 1, model.Envelope{Time: x.s.Clock, Command: model.SubmitWorkload{
		Host: "h", Path: fmt.Sprintf("/q%d/%s", priority, name), Workload: model.Workload{Steps: steps},
	}})
	r = res
	assert.Assert(x.t, res.Code.OK(), r)
	x.s = next
	return model.WorkloadID(name)
}

func (x *site) commit(starts []model.RunStart) {
	x.s, _ = command.Apply(x.s, x.s.Index+1, 1, model.Envelope{Time: x.s.Clock, Command: model.RecordProgress{Starts: starts}})
}

func worker(name string, cpu int64) Worker {
	return Worker{ID: model.WorkerID(name + "@1"), Pool: "p", Rack: "r-" + name, FillerMilliCPU: cpu, Free: model.Resources{MilliCPU: cpu, MemoryMB: 64000}}
}

func step(n int, cpu int64) model.Step {
	return model.Step{Count: n, Need: model.Resources{MilliCPU: cpu}, Estimate: time.Second}
}

func (x *site) plan(options Options, workers ...Worker) []model.RunStart {
	options.Now = max(options.Now, x.s.Clock)
	return Plan(x.s, workers, options)
}

// Guards against a worker that is assigned more than its free capacity.
func TestRoomIsRespected(t *testing.T) {
	x := newSite(t)
	x.submit(0, 1, step(10, 1000))
	assert.Equal(t, len(x.plan(Options{}, worker("a", 2500), worker("b", 1000))), 3)
}

// Guards against a workload of a lower priority that takes the capacity because it
// was submitted first.
func TestPriorityComesFirst(t *testing.T) {
	x := newSite(t)
	x.submit(1, 1, step(2, 1000))
	first := x.submit(0, 2, step(1, 1000))
	starts := x.plan(Options{}, worker("a", 1000))
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Run.Task.Workload, first)
}

// Guards against a workload that has missed its deadline and makes another miss
// its own by being placed first.
func TestWorkThatCanMeetItsDeadlineComesFirst(t *testing.T) {
	x := newSite(t)
	x.submit(0, 1, step(1, 1000))
	x.s.Clock = x.s.Clock.Add(time.Minute)
	fresh := x.submit(0, 2, step(1, 1000))
	assert.Equal(t, x.plan(Options{}, worker("a", 1000))[0].Run.Task.Workload, fresh)
}

// Guards against more tasks of a step on one worker than the step allows. Runs from
// earlier plans count too.
func TestTasksAreKeptApart(t *testing.T) {
	x := newSite(t)
	apart := step(4, 100)
	apart.MaxPerWorker = 1
	x.submit(0, 1, apart)
	starts := x.plan(Options{}, worker("a", 8000), worker("b", 8000))
	assert.Equal(t, len(starts), 2)
	x.commit(starts)
	assert.Equal(t, len(x.plan(Options{}, worker("a", 8000), worker("b", 8000))), 0)
}

// Guards against a task placed on a worker without the required label, on a worker
// where it failed, or without a ticket from the policy service.
func TestWorkersThatMayNotRunATask(t *testing.T) {
	x := newSite(t)
	labelled := step(1, 100)
	labelled.Label = "gpu"
	x.submit(0, 1, labelled)
	assert.Equal(t, len(x.plan(Options{}, worker("a", 8000))), 0)
	with := worker("b", 8000)
	with.Labels = []string{"gpu"}
	assert.Equal(t, len(x.plan(Options{}, with)), 1)
	avoid := Options{Avoid: func(_ model.TaskRef, w model.WorkerID) bool { return w == "" || w == with.ID }}
	assert.Equal(t, len(x.plan(avoid, with)), 0)
	x.s.Catalog.Queues[0].Advised = true
	assert.Equal(t, len(x.plan(Options{}, with)), 0)
	approve := Options{TicketGranted: func(model.TaskRef, model.WorkerID) bool { return true }}
	assert.Equal(t, len(x.plan(approve, with)), 1)
}

// Guards against a gang of which only some members start because the others do not
// fit, and against members with different run numbers.
func TestGangIsPlacedWhole(t *testing.T) {
	x := newSite(t)
	gang := step(3, 1000)
	gang.Gang = true
	x.submit(0, 1, gang)
	assert.Equal(t, len(x.plan(Options{}, worker("a", 2000))), 0)
	starts := x.plan(Options{}, worker("a", 2000), worker("b", 1000))
	assert.Equal(t, len(starts), 3)
	for _, s := range starts {
		assert.Equal(t, s.Run.Number, 1)
	}
}

// Guards against a task that is not placed because a gang before it in the same plan, of
// which only some members fitted, had used up the capacity for a moment.
func TestFailedGangLeavesItsCapacity(t *testing.T) {
	x := newSite(t)
	gang := step(4, 1000)
	gang.Gang = true
	x.submit(0, 1, gang)
	alone := x.submit(1, 2, step(1, 2000))
	starts := x.plan(Options{}, worker("a", 2000), worker("b", 1000))
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Run.Task.Workload, alone)
}

// Guards against work spread over all workers, so that none becomes idle and can be
// powered off.
func TestWorkIsPacked(t *testing.T) {
	x := newSite(t)
	x.submit(0, 1, step(3, 1000))
	used := worker("b", 3000)
	for _, start := range x.plan(Options{}, worker("a", 8000), used, worker("c", 8000)) {
		assert.Equal(t, start.Worker, used.ID)
	}
}

// Guards against fillers that reserve capacity and so keep other tasks out, and
// against more fillers than the spare processor time allows.
func TestFillersUseSpareTimeOnly(t *testing.T) {
	x := newSite(t)
	filler := step(3, 1000)
	filler.Filler = true
	x.submit(0, 1, filler)
	w := worker("a", 4000)
	w.FillerMilliCPU = 2500
	starts := x.plan(Options{}, w)
	assert.Equal(t, len(starts), 2)
	x.submit(0, 2, step(4, 1000))
	assert.Equal(t, len(x.plan(Options{}, w)), 4+2)
}

// Guards against a task that waits although a retiring worker has free capacity,
// and against one placed on a retiring worker although another worker has some.
func TestRetiringWorkersComeLast(t *testing.T) {
	x := newSite(t)
	x.submit(0, 1, step(2, 1000))
	retiring := worker("a", 1000)
	retiring.Retiring = true
	starts := x.plan(Options{}, retiring, worker("b", 1500))
	assert.Equal(t, len(starts), 2)
	assert.Equal(t, starts[0].Worker, model.WorkerID("b@1"))
	assert.Equal(t, starts[1].Worker, retiring.ID)
}

// Guards against lasting tasks of a step that share a worker and are all lost with
// it.
func TestLastingTasksAreSpread(t *testing.T) {
	x := newSite(t)
	lasting := step(3, 1000)
	lasting.Lasting = true
	x.submit(0, 1, lasting)
	seen := map[model.WorkerID]bool{}
	for _, start := range x.plan(Options{}, worker("a", 8000), worker("b", 4000), worker("c", 9000)) {
		seen[start.Worker] = true
	}
	assert.Equal(t, len(seen), 3)
}

// Guards against a workload that waits behind runs of a lower priority for longer
// than preemptAfter, against preemption before that, and against preemption of
// runs of the same priority.
func TestPreemption(t *testing.T) {
	x := newSite(t)
	x.submit(1, 1, step(4, 1000))
	x.commit(x.plan(Options{}, worker("a", 4000)))
	x.submit(0, 2, step(1, 2000))
	full := worker("a", 0)
	assert.Equal(t, len(Preempt(x.s, []Worker{full}, Options{Now: x.s.Clock})), 0)
	late := Options{Now: x.s.Clock.Add(preemptAfter)}
	assert.Equal(t, len(Preempt(x.s, []Worker{full}, late)), 2)
	x.s.Catalog.Queues[0].Priority = 1
	assert.Equal(t, len(Preempt(x.s, []Worker{full}, late)), 0)
}

// Guards against a round of a scheduled workload that starts before it is due.
func TestRoundsWaitForTheirTime(t *testing.T) {
	x := newSite(t)
	id := x.submit(0, 1, step(1, 100))
	w, _ := x.s.Workloads.Get(id)
	w.FirstDue, w.Interval = x.s.Clock.Add(time.Second), time.Second
	w.Rounds = model.NewRounds(2, []int{1})
	x.s.Workloads = x.s.Workloads.Set(id, w)
	assert.Equal(t, len(x.plan(Options{}, worker("a", 8000))), 0)
	assert.Equal(t, len(x.plan(Options{Now: x.s.Clock.Add(time.Second)}, worker("a", 8000))), 1)
	assert.Equal(t, len(x.plan(Options{Now: x.s.Clock.Add(2 * time.Second)}, worker("a", 8000))), 2)
}

// Guards against a speculative copy of a run that is not slow, and against a copy
// on the worker of the first run.
func TestCopiesOfSlowRuns(t *testing.T) {
	x := newSite(t)
	copies := step(1, 100)
	copies.Speculative = true
	x.submit(0, 1, copies)
	a, b := worker("a", 8000), worker("b", 8000)
	x.commit(x.plan(Options{}, a))
	slow := Options{NeedsCopy: func(model.RunRef) bool { return true }}
	assert.Equal(t, len(x.plan(Options{}, a, b)), 0)
	assert.Equal(t, len(x.plan(slow, a)), 0)
	starts := x.plan(slow, a, b)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Worker, b.ID)
}

// Guards against a lasting task that leaves an instance for its upkeep and is placed on one
// that has to be emptied next.
func TestLastingTasksAvoidInstancesWithUpkeepDue(t *testing.T) {
	x := newSite(t)
	lasting := step(1, 1000)
	lasting.Lasting = true
	x.submit(0, 1, lasting)
	due := worker("a", 2000)
	due.UpkeepDue = true
	assert.Equal(t, x.plan(Options{}, due, worker("b", 8000))[0].Worker, worker("b", 0).ID)
	assert.Equal(t, x.plan(Options{}, due)[0].Worker, due.ID)
}

// BenchmarkPlanQueues measures the cost that queues without workloads add to Plan.
func BenchmarkPlanQueues(b *testing.B) {
	for _, queues := range []int{8, 800} {
		b.Run(fmt.Sprintf("queues=%d", queues), func(b *testing.B) {
			x := newSite(&testing.T{})
			for i := range queues {
				x.s.Catalog.Queues = append([]model.Queue{{Name: model.QueueName(fmt.Sprintf("idle%d", i)), Host: "h", Prefix: fmt.Sprintf("/idle%d/", i), Pool: "p"}}, x.s.Catalog.Queues...)
			}
			for i := range 500 {
				x.submit(i%2, i+1, step(20, 1000))
			}
			for b.Loop() {
				x.plan(Options{}, worker("a", 1000))
			}
		})
	}
}

// BenchmarkPlan measures Plan with 500 queued workloads of 20 tasks each; a tenth
// of the workers have free capacity.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{50, 350, 720} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			x := newSite(&testing.T{})
			for i := range 500 {
				x.submit(i%2, i+1, step(20, 1000))
			}
			free := make([]Worker, workers/10)
			for i := range free {
				free[i] = worker(fmt.Sprint(i), 1000)
			}
			b.ReportAllocs()
			for b.Loop() {
				x.plan(Options{}, free...)
			}
		})
	}
}

// BenchmarkPlanFullPool measures Plan when more work waits than the workers can hold: 500
// workloads of 16 tasks, and workers that each run ten tasks and have too little left for
// another one.
func BenchmarkPlanFullPool(b *testing.B) {
	for _, workers := range []int{50, 350, 720, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			x := newSite(&testing.T{})
			full := make([]Worker, workers)
			for i := range full {
				full[i] = worker(fmt.Sprint(i), 10_000)
				x.submit(0, i+1, step(10, 1000))
			}
			x.commit(x.plan(Options{}, full...))
			for i := range 500 {
				x.submit(i%2, 1<<20+i, step(16, 1000))
			}
			for i := range full {
				full[i].Free.MilliCPU = 500
			}
			b.ReportAllocs()
			for b.Loop() {
				x.plan(Options{}, full...)
			}
		})
	}
}

// BenchmarkPlanOneRack measures Plan with 20,000 waiting tasks, without wishes and with all
// of them near one rack, on a fleet of which a tenth of the workers have free capacity.
func BenchmarkPlanOneRack(b *testing.B) {
	for _, workers := range []int{350, 720} {
		for _, rack := range []string{"", "r0"} {
			b.Run(fmt.Sprintf("workers=%d/rack=%s", workers, rack), func(b *testing.B) {
				x := newSite(&testing.T{})
				fleet := make([]Worker, workers)
				for i := range fleet {
					fleet[i] = worker(fmt.Sprint(i), 4000)
					fleet[i].Rack = fmt.Sprint("r", i/12)
				}
				for i := range workers {
					x.submit(0, i+1, step(4, 1000))
				}
				x.commit(x.plan(Options{}, fleet...))
				for i := range fleet {
					if fleet[i].Free.MilliCPU = 0; i%10 == 0 {
						fleet[i].Free.MilliCPU = 1000
					}
				}
				for i := range 1000 {
					s := step(20, 1000)
					s.NearRack = rack
					x.submit(i%2, 1<<20+i, s)
				}
				b.ReportAllocs()
				for b.Loop() {
					x.plan(Options{RemoteDataFactor: 3}, fleet...)
				}
			})
		}
	}
}
