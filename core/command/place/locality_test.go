package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/command/near"
	"lacewingturn.example/core/model"
)

// Guards against tasks that run far from their data, and occupy workers for longer, although
// a worker near it becomes free sooner than that costs, and against tasks that wait for such a
// worker beyond the bound of the wait or although it saves less than the wait takes.
func TestTasksWaitForDataWhileItPays(t *testing.T) {
	x := newSite(t)
	local := step(2, 1000) // runs for 1 s
	local.NearRack = "r-a"
	x.submit(0, 1, local)
	options := Options{RemoteDataFactor: 3}
	planAfter := func(d time.Duration) []model.RunStart {
		options.Now = x.s.Clock.Add(d)
		return x.plan(options, worker("a", 1000), worker("b", 8000))
	}
	assert.Equal(t, len(planAfter(0)), 1)
	assert.Equal(t, planAfter(0)[0].Worker, model.WorkerID("a@1"))
	assert.Equal(t, len(planAfter(near.MaxWait-time.Millisecond)), 1)
	assert.Equal(t, len(planAfter(near.MaxWait)), 2, "the wait has reached its bound")
	options.RemoteDataFactor = 1.5
	assert.Equal(t, len(planAfter(0)), 2, "a wait of 1 s would save 0.5 s")
	options.RemoteDataFactor, options.Now = 3, 0
	assert.Equal(t, len(x.plan(options, worker("b", 8000))), 2, "no worker is near the data")
	suspect := worker("a", 1000)
	suspect.Suspect = true
	assert.Equal(t, len(x.plan(options, suspect, worker("b", 8000))), 2, "nothing waits for suspect workers")
}

// Guards against a workload that misses its target because it waits for a near place,
// although it would meet the target with a far run.
func TestWaitsKeepTheTarget(t *testing.T) {
	x := newSite(t)
	x.s.Catalog.Queues[0].Target, x.s.Catalog.Queues[0].Stretch = 2100*time.Millisecond, 1
	local := step(1, 1000)
	local.NearRack = "r-a"
	x.submit(1, 1, step(1, 1000))
	x.commit(x.plan(Options{}, worker("a", 1000)))
	x.s.Clock = x.s.Clock.Add(500 * time.Millisecond)
	x.submit(0, 2, local)
	options := Options{RemoteDataFactor: 2, Near: near.History{Waits: near.Waits{}}}
	full := worker("a", 0)
	assert.Equal(t, len(x.plan(options, full, worker("b", 8000))), 0, "0.5 s of waiting save 1 s")
	x.s.Catalog.Queues[0].Target = 1000 * time.Millisecond
	options.TimeLeft = func(model.RunRef, model.WorkerID) (time.Duration, bool) { return 1050 * time.Millisecond, true }
	options.RunTime = func(_ model.TaskRef, estimate time.Duration) time.Duration { return estimate }
	x.submit(1, 3, step(9, 1000)) // the pool is contended, which alone would make the wait pay
	assert.Equal(t, len(x.plan(options, full, worker("b", 1000))), 1)
}

// Guards against expectations that ignore the ends of runs: the same fleet makes a task wait
// or not, depending on how much longer the run on the near worker takes.
func TestEndsOfRunsDecide(t *testing.T) {
	x := newSite(t)
	x.submit(0, 1, step(1, 1000))
	x.commit(x.plan(Options{}, worker("a", 1000)))
	local := step(1, 1000)
	local.NearRack = "r-a"
	x.submit(0, 2, local)
	left := 500 * time.Millisecond
	options := Options{RemoteDataFactor: 2, Near: near.History{Waits: near.Waits{}}, TimeLeft: func(model.RunRef, model.WorkerID) (time.Duration, bool) { return left, true }}
	full, free := worker("a", 0), worker("b", 8000)
	assert.Equal(t, len(x.plan(options, full, free)), 0)
	left = 1200 * time.Millisecond
	assert.Equal(t, len(x.plan(options, full, free)), 1)
	options.Arrivals = []Arrival{{Pool: "p", Rack: "r-a", In: 300 * time.Millisecond, Capacity: model.Resources{MilliCPU: 1000}}}
	assert.Equal(t, len(x.plan(options, full, free)), 0, "an instance arrives in the rack")
}

// Guards against a gang of which a part starts while the rest waits, and against a gang that
// waits for a rack longer than its bound.
func TestGangWaitsAsAWhole(t *testing.T) {
	x := newSite(t)
	x.submit(0, 1, step(1, 1000))
	x.commit(x.plan(Options{}, worker("a", 1000)))
	gang := step(3, 1000)
	gang.Gang, gang.SameRack = true, true
	x.submit(0, 2, gang)
	options := Options{RemoteDataFactor: 3, Near: near.History{Waits: near.Waits{}}}
	options.Now = x.s.Clock
	workers := []Worker{worker("a", 2000), worker("b", 2000)}
	result := Decide(x.s, workers, options)
	assert.Equal(t, len(result.Starts), 0)
	step := model.StepRef{Workload: "0000000000000002"}
	wait := result.Near.Waits[step]
	assert.Equal(t, wait.Tasks, 3)
	assert.Equal(t, wait.Rack.Name, "r-a")
	assert.Equal(t, wait.Expected.Sub(x.s.Clock), time.Second)
	options.Near, options.Now = result.Near, wait.Until
	result = Decide(x.s, workers, options)
	assert.Equal(t, len(result.Starts), 3)
	assert.DeepEqual(t, result.Ended, []model.StepRef{step})
}

// Guards against later rounds that never wait for a worker near their data because the
// times of the first round, which have passed, are used for them.
func TestLaterRoundsWaitForDataLocality(t *testing.T) {
	x := newSite(t)
	local := step(2, 1000)
	local.NearRack = "r-a"
	name := "00000000000000a1"
	next, res := command.Apply(x.s, x.s.Index+1, 1, model.Envelope{Time: x.s.Clock, Command: model.SubmitWorkload{
		Host: "h", Path: "/q0/" + name, Repeat: 2,
		Workload: model.Workload{Steps: []model.Step{local}, FirstDue: x.s.Clock, Interval: time.Minute},
	}})
	assert.Assert(t, res.Code.OK(), res.Detail)
	x.s = next
	starts := x.plan(Options{RemoteDataFactor: 3, Now: x.s.Clock.Add(time.Minute)}, worker("a", 2000), worker("b", 8000))
	second := 0
	for _, s := range starts {
		if s.Run.Task.Round == 1 {
			second++
			assert.Equal(t, s.Worker, model.WorkerID("a@1"))
		}
	}
	assert.Equal(t, second, 0, "the second round must wait: the first, which is late, has taken the worker near the data")
}
