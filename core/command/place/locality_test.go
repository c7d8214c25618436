package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
)

// Guards against tasks that run far from their data, and occupy workers for
// longer, although a worker near it would become free before the deadline, and
// against tasks that wait for such a worker until they miss the deadline.
func TestTasksWaitForDataLocalityWithinTheDeadline(t *testing.T) {
	x := newSite(t) // a workload of 1 s is due after 3 s
	local := step(2, 1000)
	local.NearRack = "r-a"
	x.submit(0, 1, local)
	options := Options{RemoteDataFactor: 1.5}
	planAfter := func(d time.Duration) []model.RunStart {
		options.Now = x.s.Clock.Add(d)
		return x.plan(options, worker("a", 1000), worker("b", 8000))
	}
	assert.Equal(t, len(planAfter(0)), 1)
	assert.Equal(t, planAfter(0)[0].Worker, model.WorkerID("a@1"))
	assert.Equal(t, len(planAfter(800*time.Millisecond)), 1)
	assert.Equal(t, len(planAfter(time.Second)), 2, "waiting longer would miss the deadline")
	options.Now = 0
	assert.Equal(t, len(x.plan(options, worker("b", 8000))), 2, "no worker is near the data")
}

// Guards against later rounds that never wait for a worker near their data because the
// deadline of the first round, which has passed, is used for them.
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
	starts := x.plan(Options{RemoteDataFactor: 1.5, Now: x.s.Clock.Add(time.Minute)}, worker("a", 1000), worker("b", 8000))
	second := 0
	for _, s := range starts {
		if s.Run.Task.Round == 1 {
			second++
			assert.Equal(t, s.Worker, model.WorkerID("a@1"))
		}
	}
	assert.Equal(t, second, 0, "the second round must wait: the first, which is late, has taken the worker near the data")
}
