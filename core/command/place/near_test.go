package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
)

// Guards against tasks that run far from their data, and hold workers for
// longer, although they would be in time near it, and against tasks that wait
// for a place near their data until they are late.
func TestTasksWaitNearTheirDataWhileThatIsInTime(t *testing.T) {
	x := newSite(t) // a workload of one second should be complete after three
	near := step(2, 1000)
	near.NearRack = "r-a"
	x.submit(0, 1, near)
	rules := Rules{FarFactor: 1.5}
	at := func(d time.Duration) []model.RunStart {
		rules.Now = x.s.Clock.Add(d)
		return x.plan(rules, worker("a", 1000), worker("b", 8000))
	}
	assert.Equal(t, len(at(0)), 1)
	assert.Equal(t, at(0)[0].Worker, model.WorkerID("a@1"))
	assert.Equal(t, len(at(800*time.Millisecond)), 1)
	assert.Equal(t, len(at(time.Second)), 2, "it would be late if it waited on")
	rules.Now = 0
	assert.Equal(t, len(x.plan(rules, worker("b", 8000))), 2, "no worker is near the data")
}

// Guards against later rounds that never wait for their data, because the first
// round is over.
func TestLaterRoundsWaitNearTheirData(t *testing.T) {
	x := newSite(t)
	near := step(2, 1000)
	near.NearRack = "r-a"
	name := "00000000000000a1"
	next, res := command.Apply(x.s, x.s.Index+1, 1, model.Envelope{Time: x.s.Clock, Command: model.SubmitWorkload{
		Host: "h", Path: "/q0/" + name, Repeat: 2,
		Workload: model.Workload{Steps: []model.Step{near}, FirstDue: x.s.Clock, Interval: time.Minute},
	}})
	assert.Assert(t, res.Code.OK(), res.Detail)
	x.s = next
	starts := x.plan(Rules{FarFactor: 1.5, Now: x.s.Clock.Add(time.Minute)}, worker("a", 1000), worker("b", 8000))
	second := 0
	for _, s := range starts {
		if s.Run.Task.Round == 1 {
			second++
			assert.Equal(t, s.Worker, model.WorkerID("a@1"))
		}
	}
	assert.Equal(t, second, 0, "the first round, which is late, comes first")
}
