package job_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/command/job"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// world applies commands in order, as a replica does.
type world struct {
	t     testing.TB
	s     model.State
	index model.Index
	now   model.Timestamp
}

// newWorld has n workers of 8 processors, 16 GB and one accelerator in pool
// "jobs": two in a rack, two racks in a data centre.
func newWorld(t testing.TB, n int, teams ...model.Team) *world {
	w := &world{t: t, now: 1_000_000}
	for i := range n {
		id := model.InstanceID(fmt.Sprintf("w%03d", i))
		w.s.Instances = w.s.Instances.Set(id, model.Instance{
			ID: id, Pool: "jobs", Phase: model.PhaseActive, Generation: 1, Capacity: cores(8),
			Domain: model.Domain{Region: "r", DataCenter: fmt.Sprint("dc", i/4), Rack: fmt.Sprint("rack", i/2)},
		})
	}
	if len(teams) > 0 {
		w.s.Config = &model.Config{Teams: teams}
	}
	return w
}

func cores(n int64) model.Resources {
	return model.Resources{MilliCPU: n * 1000, MemoryMB: n * 2048, Accelerators: n / 8}
}

func (w *world) do(c model.Command) result.Result {
	w.index++
	var r result.Result
	w.s, r = command.Apply(w.s, w.index, 1, model.Envelope{Time: w.now, Actor: "test", Command: c})
	return r
}

func (w *world) must(c model.Command) result.Result {
	w.t.Helper()
	r := w.do(c)
	assert.Assert(w.t, r.Code.OK(), "%T: %v", c, r)
	return r
}

func (w *world) refused(c model.Command, code result.Code) result.Result {
	w.t.Helper()
	r := w.do(c)
	assert.Equal(w.t, r.Code, code, "%T: %v", c, r)
	return r
}

func (w *world) submit(id model.JobID, change func(*model.Job)) {
	w.t.Helper()
	j := model.Job{ID: id, Pool: "jobs", Team: "a", Declared: cores(2), Class: "work"}
	if change != nil {
		change(&j)
	}
	w.must(model.SubmitJob{Job: j})
}

func (w *world) job(id model.JobID) model.Job {
	w.t.Helper()
	j, ok := w.s.Jobs.Get(id)
	assert.Assert(w.t, ok, "job %s", id)
	return j
}

// reconcile applies what Reconcile proposes and returns it.
func (w *world) reconcile() []model.Command {
	commands, _ := job.Reconcile(w.s, w.now)
	for _, c := range commands {
		w.do(c)
	}
	return commands
}

func (w *world) start(id model.JobID) {
	w.t.Helper()
	w.must(model.JobStarted{ID: id, Token: w.job(id).Lease.Token})
}

func (w *world) end(id model.JobID, succeeded bool) result.Result {
	j := w.job(id)
	return w.do(model.JobEnded{ID: id, Token: j.Lease.Token, Succeeded: succeeded, Run: time.Second, Used: cores(1), Reason: "test"})
}

func (w *world) pass(d time.Duration) { w.now = w.now.Add(d) }

// teach makes the class known by three jobs that took the given time and size.
func (w *world) teach(class string, run time.Duration, used model.Resources) {
	w.t.Helper()
	for i := range 3 {
		id := model.JobID(fmt.Sprint(class, "-teach-", i))
		w.submit(id, func(j *model.Job) { j.Class = class })
		w.must(model.PlaceJob{ID: id, Worker: "w000", Borrow: true})
		w.must(model.JobEnded{ID: id, Token: w.job(id).Lease.Token, Succeeded: true, Run: run, Used: used})
	}
}
