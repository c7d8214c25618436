package advise

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/command/place"
	"lacewingturn.example/core/model"
)

// start is the time at which a test begins.
var start = time.UnixMilli(1_000_000)

// newState returns a state with so many jobs of one task on a queue with advice.
func newState(t *testing.T, jobs int) model.State {
	var s model.State
	apply := func(c model.Command) {
		next, res := command.Apply(s, s.Index+1, 1, model.Envelope{Command: c, Time: model.TimestampOf(start)})
		assert.Assert(t, res.Code.OK(), "%v", res)
		s = next
	}
	apply(model.PublishCatalog{Catalog: model.Catalog{
		Version: 1, Pools: []model.WorkerPool{{Name: "p"}},
		Queues: []model.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxFailures: 3, Stretch: 2, Target: time.Second, Advised: true}},
	}})
	for n := range jobs {
		step := model.Step{Count: 1, Need: model.Resources{MilliCPU: 100, MemoryMB: 1}, Estimate: time.Second}
		apply(model.SubmitWorkload{Host: "h", Path: "/" + string(jobID(n)), Workload: model.Workload{Payload: "x", Steps: []model.Step{step}}})
	}
	return s
}

func jobID(n int) model.WorkloadID { return model.WorkloadID(fmt.Sprintf("%016x", n+1)) }

// newInput returns an input with two workers that have capacity for all jobs.
func newInput(s model.State) Input {
	capacity := model.Resources{MilliCPU: 16000, MemoryMB: 16000}
	return Input{
		State: s, Capacity: func(model.WorkerID) model.Resources { return capacity }, Options: place.Options{Now: model.TimestampOf(start)},
		Workers: []place.Worker{{ID: "a", Pool: "p", Free: capacity}, {ID: "b", Pool: "p", Free: capacity}},
	}
}

// Guards against jobs that are never asked about, because calls about others give nothing that can
// be used, whatever the reason: each job gets its turn within twice as many calls as there are jobs.
func TestEveryStepGetsItsTurn(t *testing.T) {
	answers := map[string]func(a *Answers, now time.Time, c Call){
		"no answer": func(a *Answers, now time.Time, c Call) { a.Fail(now, c) },
		"expired": func(a *Answers, now time.Time, c Call) {
			a.Record(now, now, c, map[model.WorkerID]string{"a": "t", "b": "t"}, ticketMargin)
		},
		"not started": func(a *Answers, now time.Time, c Call) {
			a.Record(now, now, c, map[model.WorkerID]string{"a": "t", "b": "t"}, ticketMargin+time.Millisecond)
		},
		"refused": func(a *Answers, now time.Time, c Call) { a.Record(now, now, c, nil, time.Second) },
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			const jobs = 20
			in, a, asked := newInput(newState(t, jobs)), NewAnswers(), map[model.WorkloadID]bool{}
			now := start
			for range 2 * jobs {
				if c, ok := a.Next(now, in); ok {
					asked[c.Step.Workload] = true
					answer(a, now, c)
				}
				now = now.Add(200 * time.Millisecond)
			}
			assert.Equal(t, len(asked), jobs)
		})
	}
}

// Guards against calls that are repeated without end while the service gives nothing that can be
// used, and against a step that is not asked about again once it does.
func TestCallsWithoutUsableAnswerAreRepeatedMoreAndMoreSeldom(t *testing.T) {
	in, a := newInput(newState(t, 1)), NewAnswers()
	calls, now := 0, start
	for ; now.Sub(start) < time.Minute; now = now.Add(100 * time.Millisecond) {
		if c, ok := a.Next(now, in); ok {
			calls++
			a.Fail(now, c)
		}
	}
	assert.Assert(t, calls >= 8 && calls <= 15, "%d calls", calls)
	now = now.Add(maxRetry)
	c, ok := a.Next(now, in)
	assert.Assert(t, ok)
	a.Record(now, now, c, map[model.WorkerID]string{"a": "t"}, time.Minute)
	ticket, valid := a.Ticket(now, c.Step, "a")
	assert.Assert(t, valid && ticket == "t")
	_, again := a.Next(now, in)
	assert.Assert(t, !again)
}

// Guards against a call that names workers without need: the service has approved the one on which
// the step would start, and its policy does not change.
func TestRenewalNamesOnlyWhereTheStepWouldStart(t *testing.T) {
	in, a := newInput(newState(t, 1)), NewAnswers()
	first, ok := a.Next(start, in)
	assert.Assert(t, ok && len(first.Workers) == 2)
	a.Record(start, start, first, map[model.WorkerID]string{"a": "t", "b": "t"}, time.Second)
	renewal, ok := a.Next(start.Add(2*time.Second), in)
	assert.Assert(t, ok)
	assert.Equal(t, len(renewal.Workers), 1)
}
