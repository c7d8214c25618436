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

// fleet is a state to which a test applies commands in order, as a replica does.
type fleet struct {
	t     testing.TB
	s     model.State
	index model.Index
	now   model.Timestamp
}

// newFleet returns a fleet with n workers of 8 processors, 16 GB and one accelerator
// in the pool "jobs". A rack has two workers, a data centre two racks.
func newFleet(t testing.TB, n int, teams ...model.Team) *fleet {
	f := &fleet{t: t, now: 1_000_000}
	for i := range n {
		id := model.InstanceID(fmt.Sprintf("w%03d", i))
		f.s.Instances = f.s.Instances.Set(id, model.Instance{
			ID: id, Pool: "jobs", Phase: model.PhaseActive, Generation: 1, Capacity: cores(8),
			Domain: model.Domain{Region: "r", DataCenter: fmt.Sprint("dc", i/4), Rack: fmt.Sprint("rack", i/2)},
		})
	}
	if len(teams) > 0 {
		f.s.Config = &model.Config{Teams: teams}
	}
	return f
}

// cores returns n processors with a proportional part of a worker's memory.
func cores(n int64) model.Resources {
	return model.Resources{MilliCPU: n * 1000, MemoryMB: n * 2048, Accelerators: n / 8}
}

// do applies one command as the next log entry.
func (f *fleet) do(c model.Command) result.Result {
	f.index++
	var r result.Result
	f.s, r = command.Apply(f.s, f.index, 1, model.Envelope{Time: f.now, Actor: "test", Command: c})
	return r
}

// mustApply applies a command that must succeed.
func (f *fleet) mustApply(c model.Command) result.Result {
	f.t.Helper()
	r := f.do(c)
	assert.Assert(f.t, r.Code.OK(), "%T: %v", c, r)
	return r
}

// mustRefuse applies a command that must be refused with the code.
func (f *fleet) mustRefuse(c model.Command, code result.Code) result.Result {
	f.t.Helper()
	r := f.do(c)
	assert.Equal(f.t, r.Code, code, "%T: %v", c, r)
	return r
}

func (f *fleet) submit(id model.JobID, change func(*model.Job)) {
	f.t.Helper()
	j := model.Job{ID: id, Pool: "jobs", Team: "a", Declared: cores(2), Class: "work"}
	if change != nil {
		change(&j)
	}
	f.mustApply(model.SubmitJob{Job: j})
}

func (f *fleet) job(id model.JobID) model.Job {
	f.t.Helper()
	j, ok := f.s.Jobs.Get(id)
	assert.Assert(f.t, ok, "job %s", id)
	return j
}

// reconcile applies the commands that Reconcile proposes and returns them.
func (f *fleet) reconcile() []model.Command {
	commands, _ := job.Reconcile(f.s, f.now)
	for _, c := range commands {
		f.do(c)
	}
	return commands
}

func (f *fleet) start(id model.JobID) {
	f.t.Helper()
	f.mustApply(model.JobStarted{ID: id, Token: f.job(id).Lease.Token})
}

func (f *fleet) end(id model.JobID, succeeded bool) result.Result {
	j := f.job(id)
	return f.do(model.JobEnded{ID: id, Token: j.Lease.Token, Succeeded: succeeded, Run: time.Second, Used: cores(1), Reason: "test"})
}

func (f *fleet) advance(d time.Duration) { f.now = f.now.Add(d) }

// learnClass runs three jobs of the class with the given run time and usage, so that
// its estimates are used.
func (f *fleet) learnClass(class string, run time.Duration, used model.Resources) {
	f.t.Helper()
	for i := range 3 {
		id := model.JobID(fmt.Sprint(class, "-teach-", i))
		f.submit(id, func(j *model.Job) { j.Class = class })
		f.mustApply(model.PlaceJob{ID: id, Worker: "w000", Borrow: true})
		f.mustApply(model.JobEnded{ID: id, Token: f.job(id).Lease.Token, Succeeded: true, Run: run, Used: used})
	}
}
