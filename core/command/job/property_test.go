package job_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewingturn.example/core/command/job"
	"lacewingturn.example/core/model"
)

// checker checks invariants over the whole sequence of commands.
type checker struct {
	*fleet
	tokens   map[model.JobID]uint64
	outcomes map[model.JobID]model.JobPhase
}

// apply applies one command and checks the invariants on the jobs that it changed.
func (c *checker) apply(cmd model.Command) {
	before := c.s
	r := c.do(cmd)
	if p, ok := cmd.(model.PlaceJob); ok && r.Code.OK() {
		j := c.job(p.ID)
		w, _ := c.s.Instances.Get(p.Worker)
		load, _ := c.s.JobIndex.Loads.Get(p.Worker)
		assert.Assert(c.t, w.Capacity.Fits(load.Reserved), "capacity of the worker exceeded after %+v: load %+v", p, load)
		assert.Equal(c.t, w.Phase, model.PhaseActive)
		assert.Assert(c.t, !w.Quarantined)
		assert.Assert(c.t, j.Lease.Token > c.tokens[p.ID], "token of %s went from %d to %d", p.ID, c.tokens[p.ID], j.Lease.Token)
		c.tokens[p.ID] = j.Lease.Token
	}
	for id, j := range c.s.Jobs.All() {
		old, known := before.Jobs.Get(id)
		if known && old.Phase.Final() {
			assert.Equal(c.t, j.Phase, old.Phase, "second outcome of %s by %T", id, cmd)
		}
		if w, ok := cmd.(model.ReportWork); ok && j != old {
			assert.Equal(c.t, old.Lease.Worker, w.Worker, "%s changed by a report of another worker", id)
			assert.Assert(c.t, old.Active(), "%s changed without a lease", id)
		}
		assert.Assert(c.t, j.Lease.Token == 0 || j.Lease.Token == c.tokens[id], "%s has a lease token that no placement gave it, after %T", id, cmd)
	}
}

// checkIndex compares the index that the commands maintain with one built from the
// jobs.
func (c *checker) checkIndex() {
	want, got := model.IndexJobs(c.s.Jobs), c.s.JobIndex
	assert.DeepEqual(c.t, got.Queue.Values(), want.Queue.Values())
	assert.DeepEqual(c.t, got.Active.Values(), want.Active.Values())
	assert.DeepEqual(c.t, got.Ended.Values(), want.Ended.Values())
	assert.DeepEqual(c.t, got.Loads.Values(), want.Loads.Values())
	assert.DeepEqual(c.t, got.Teams.Values(), want.Teams.Values())
}

// Guards against double-booked capacity, a second outcome of a job, a fencing token
// that does not increase, and an index that deviates from the jobs. rapid generates the
// commands in random order, with delayed and repeated ones among them.
func TestJobInvariantsUnderAnyOrderOfCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &checker{
			fleet:  newFleet(t, 4, model.Team{Name: "a", Quota: cores(12)}, model.Team{Name: "b", Quota: cores(12)}),
			tokens: map[model.JobID]uint64{}, outcomes: map[model.JobID]model.JobPhase{},
		}
		id := rapid.Custom(func(rt *rapid.T) model.JobID {
			return model.JobID(fmt.Sprint("j", rapid.IntRange(0, 11).Draw(rt, "job")))
		})
		worker := rapid.Custom(func(rt *rapid.T) model.InstanceID {
			return model.InstanceID(fmt.Sprintf("w%03d", rapid.IntRange(0, 3).Draw(rt, "worker")))
		})
		// token returns mostly the current token of the job, sometimes an older one.
		token := func(rt *rapid.T, id model.JobID) uint64 {
			j, _ := c.s.Jobs.Get(id)
			return j.Lease.Token - uint64(max(0, rapid.IntRange(-6, 1).Draw(rt, "stale")))
		}
		size := rapid.Custom(func(rt *rapid.T) model.Resources { return cores(int64(rapid.IntRange(1, 8).Draw(rt, "cores"))) })
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(rt *rapid.T) {
				c.apply(model.SubmitJob{Job: model.Job{
					ID: id.Draw(rt, "id"), Pool: "jobs", Team: rapid.SampledFrom([]model.TeamName{"a", "b"}).Draw(rt, "team"),
					Urgent: rapid.Bool().Draw(rt, "urgent"), Declared: size.Draw(rt, "size"),
					Class: rapid.SampledFrom([]string{"x", "y", ""}).Draw(rt, "class"),
				}})
			},
			"place": func(rt *rapid.T) {
				c.apply(model.PlaceJob{ID: id.Draw(rt, "id"), Worker: worker.Draw(rt, "w"), Borrow: rapid.Bool().Draw(rt, "borrow")})
			},
			"start": func(rt *rapid.T) { j := id.Draw(rt, "id"); c.apply(model.JobStarted{ID: j, Token: token(rt, j)}) },
			"report": func(rt *rapid.T) {
				j := id.Draw(rt, "id")
				c.apply(model.JobReport{ID: j, Token: token(rt, j), Used: size.Draw(rt, "used")})
			},
			"end": func(rt *rapid.T) {
				j := id.Draw(rt, "id")
				c.apply(model.JobEnded{
					ID: j, Token: token(rt, j), Succeeded: rapid.Bool().Draw(rt, "ok"), Cancelled: rapid.Bool().Draw(rt, "cancelled"),
					Run: time.Second, Used: size.Draw(rt, "used"),
				})
			},
			"work": func(rt *rapid.T) {
				cmd := model.ReportWork{Worker: worker.Draw(rt, "w")}
				for _, j := range rapid.SliceOfN(id, 0, 4).Draw(rt, "ids") {
					t := token(rt, j)
					switch rapid.IntRange(0, 3).Draw(rt, "part") {
					case 0:
						cmd.Held = append(cmd.Held, t)
					case 1:
						cmd.Started = append(cmd.Started, model.JobStarted{ID: j, Token: t})
					case 2:
						cmd.Usage = append(cmd.Usage, model.JobReport{ID: j, Token: t, Used: size.Draw(rt, "used")})
					case 3:
						cmd.Ended = append(cmd.Ended, model.JobEnded{ID: j, Token: t, Succeeded: rapid.Bool().Draw(rt, "ok")})
					}
				}
				c.apply(cmd)
			},
			"cancel": func(rt *rapid.T) { c.apply(model.CancelJob{ID: id.Draw(rt, "id")}) },
			"cancel many": func(rt *rapid.T) {
				c.apply(model.CancelJobs{IDs: rapid.SliceOfN(id, 0, 5).Draw(rt, "ids")})
			},
			"control": func(rt *rapid.T) {
				j := id.Draw(rt, "id")
				c.apply(model.ControlJob{ID: j, Token: token(rt, j), Action: model.JobAction(rapid.IntRange(0, 4).Draw(rt, "action")), For: id.Draw(rt, "for")})
			},
			"expire": func(rt *rapid.T) { j := id.Draw(rt, "id"); c.apply(model.ExpireLease{ID: j, Token: token(rt, j)}) },
			"phase": func(rt *rapid.T) {
				i, _ := c.s.Instances.Get(worker.Draw(rt, "w"))
				i.Phase = rapid.SampledFrom([]model.Phase{model.PhaseActive, model.PhaseActive, model.PhaseDraining}).Draw(rt, "phase")
				c.s.Instances = c.s.Instances.Set(i.ID, i)
			},
			"time": func(rt *rapid.T) {
				c.advance(time.Duration(rapid.IntRange(1, 20_000).Draw(rt, "ms")) * time.Millisecond)
			},
			"reconcile": func(*rapid.T) {
				commands, _ := job.Reconcile(c.s, c.now)
				for _, cmd := range commands {
					c.apply(cmd)
				}
			},
			"": func(*rapid.T) { c.checkIndex() },
		})
	})
}
