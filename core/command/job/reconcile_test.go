package job_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command/job"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Guards against jobs of one class placed in few racks or data centres, so that the
// loss of one ends them all.
func TestJobsAreSpreadOverRacksAndDataCenters(t *testing.T) {
	f := newFleet(t, 12)
	for i := range 6 {
		f.submit(model.JobID(fmt.Sprint("j", i)), nil)
	}
	f.reconcile()
	dataCenters, racks := map[string]int{}, map[string]int{}
	for _, j := range f.s.JobIndex.Active.All() {
		i, _ := f.s.Instances.Get(j.Lease.Worker)
		dataCenters[i.Domain.DataCenter]++
		racks[i.Domain.Rack]++
	}
	assert.DeepEqual(t, dataCenters, map[string]int{"dc0": 2, "dc1": 2, "dc2": 2})
	assert.Equal(t, len(racks), 6)
}

// Guards against a team that gets all capacity because it submitted first or has more
// classes of jobs.
func TestTeamsShareByQuota(t *testing.T) {
	f := newFleet(t, 2, model.Team{Name: "a", Quota: cores(16)}, model.Team{Name: "b", Quota: cores(16)})
	for i := range 12 {
		f.submit(model.JobID(fmt.Sprint("a", i)), func(j *model.Job) { j.Class = fmt.Sprint("class", i) })
	}
	for i := range 12 {
		f.submit(model.JobID(fmt.Sprint("b", i)), func(j *model.Job) { j.Team = "b" })
	}
	f.reconcile()
	for _, team := range []model.TeamName{"a", "b"} {
		load, _ := f.s.JobIndex.Teams.Get(team)
		assert.Equal(t, load.Active, 4, "team %s", team)
	}
}

// Guards against jobs that a pass never considers because another team has very many
// classes of jobs that do not fit.
func TestManyClassesOfOneTeamDoNotStarveOthers(t *testing.T) {
	f := newFleet(t, 1)
	f.submit("big", func(j *model.Job) { j.Declared = model.Resources{MilliCPU: 6000, MemoryMB: 1} })
	f.reconcile()
	for i := range 20_000 {
		f.submit(model.JobID(fmt.Sprint("kind", i)), func(j *model.Job) {
			j.Class, j.Declared = fmt.Sprint("kind", i), model.Resources{MilliCPU: 6000, MemoryMB: 1}
		})
	}
	f.submit("other", func(j *model.Job) { j.Team = "b" })
	f.reconcile()
	assert.Equal(t, f.job("other").Phase, model.JobLeased)
}

// Guards against capacity that stays idle because of quotas, and against borrowed
// capacity that the team within its quota cannot reclaim.
func TestIdleCapacityIsLentAndReclaimed(t *testing.T) {
	half := cores(8)
	f := newFleet(t, 2, model.Team{Name: "a", Quota: half}, model.Team{Name: "b", Quota: half})
	for i := range 8 {
		f.submit(model.JobID(fmt.Sprint("a", i)), nil)
	}
	f.reconcile()
	assert.Equal(t, f.s.JobIndex.Active.Len(), 8, "team a borrows the idle quota of team b")
	f.submit("b0", func(j *model.Job) { j.Team = "b" })
	f.mustRefuse(model.PlaceJob{ID: "b0", Worker: "w000"}, result.NoCapacity)
	f.reconcile()
	var victim model.Job
	for _, j := range f.s.JobIndex.Active.All() {
		if j.Action != model.ActionNone {
			assert.Equal(t, victim.ID, model.JobID(""), "preempting one job is enough")
			victim = j
		}
	}
	assert.Equal(t, victim.Action, model.ActionCheckpoint)
	assert.Assert(t, victim.Borrowed)
	f.mustApply(model.JobReport{ID: victim.ID, Token: victim.Lease.Token, Used: cores(2), Checkpoint: "c1"})
	f.mustApply(model.JobEnded{ID: victim.ID, Token: victim.Lease.Token, Cancelled: true, Reason: "checkpoint"})
	f.reconcile()
	assert.Equal(t, f.job("b0").Phase, model.JobLeased)
	assert.Equal(t, f.job(victim.ID).Phase, model.JobQueued)
	assert.Equal(t, f.job(victim.ID).Checkpoint, "c1")
	f.submit("a9", nil)
	f.mustRefuse(model.PlaceJob{ID: "a9", Worker: "w000"}, result.NoCapacity)
}

// small is the size of jobs that use up the processors of a worker before its memory.
var small = model.Resources{MilliCPU: 2000, MemoryMB: 256}

// Guards against an urgent job that waits for others to end, against a costly action
// before a cheaper one, and against other jobs placed on the freed capacity. The
// running jobs here react only to a stop.
func TestPreemptionEscalatesInOrderOfCost(t *testing.T) {
	f := newFleet(t, 1)
	for i := range 6 {
		f.submit(model.JobID(fmt.Sprint("j", i)), func(j *model.Job) { j.Declared = small })
	}
	f.reconcile()
	for _, j := range f.s.JobIndex.Active.All() {
		f.start(j.ID)
	}
	f.submit("now", func(j *model.Job) { j.Urgent, j.Class, j.Declared = true, "urgent", small })
	actions, since := []model.JobAction{}, f.now
	for f.job("now").Phase == model.JobQueued {
		assert.Assert(t, f.now.Sub(since) < 1200*time.Millisecond, "urgent jobs must start within 1.2 s")
		for _, c := range f.reconcile() {
			control, ok := c.(model.ControlJob)
			if !ok {
				continue
			}
			actions = append(actions, control.Action)
			if control.Action == model.ActionStop {
				f.mustApply(model.JobEnded{ID: control.ID, Token: control.Token, Cancelled: true, Reason: "stopped"})
			}
		}
		f.advance(50 * time.Millisecond)
	}
	assert.DeepEqual(t, actions, []model.JobAction{model.ActionCheckpoint, model.ActionThrottle, model.ActionStop})
}

// Guards against throttling that frees no processors, and against a job that stays
// throttled after its worker has free processors again.
func TestThrottlingFreesProcessorsAndIsLifted(t *testing.T) {
	f := newFleet(t, 1)
	f.submit("big", func(j *model.Job) { j.Declared = model.Resources{MilliCPU: 8000, MemoryMB: 1024} })
	f.reconcile()
	f.start("big")
	f.submit("now", func(j *model.Job) {
		j.Urgent, j.Class, j.Declared = true, "urgent", model.Resources{MilliCPU: 4000, MemoryMB: 1024}
	})
	f.reconcile()
	f.advance(300 * time.Millisecond)
	f.reconcile()
	big := f.job("big")
	assert.Equal(t, big.Action, model.ActionThrottle)
	f.mustApply(model.JobReport{ID: "big", Token: big.Lease.Token, Used: model.Resources{MilliCPU: 4000, MemoryMB: 1024}})
	f.reconcile()
	assert.Equal(t, f.job("now").Phase, model.JobLeased)
	f.reconcile()
	assert.Equal(t, f.job("big").Action, model.ActionThrottle, "no free processors to end the throttling")
	f.end("now", true)
	f.reconcile()
	assert.Equal(t, f.job("big").Action, model.ActionNone)
	assert.Equal(t, f.job("big").Reserved.MilliCPU, int64(8000))
}

// Guards against long jobs that fill the whole pool while short ones wait.
func TestLongJobsLeaveCapacityForShortJobs(t *testing.T) {
	f := newFleet(t, 4)
	f.learnClass("short", time.Second, cores(1))
	f.learnClass("long", time.Hour, cores(1))
	for i := range 40 {
		f.submit(model.JobID(fmt.Sprint("long", i)), func(j *model.Job) { j.Class = "long" })
	}
	f.submit("short0", func(j *model.Job) { j.Class = "short" })
	f.reconcile()
	assert.Equal(t, f.job("short0").Phase, model.JobLeased)
	assert.Equal(t, f.s.JobIndex.Active.Len(), 24+1, "three quarters of 32 processors for long jobs")
}

// Guards against short jobs that wait until a straggler ends by itself, and against
// stopping the straggler, which would lose its progress.
func TestStragglerIsCheckpointedForShortJobsAndNotStopped(t *testing.T) {
	f := newFleet(t, 1)
	f.learnClass("short", time.Second, cores(8))
	f.submit("straggler", func(j *model.Job) { j.Class = "short" })
	f.reconcile()
	f.start("straggler")
	f.submit("waiting", func(j *model.Job) { j.Class = "short" })
	for range 10 {
		f.advance(2 * time.Second)
		f.mustApply(model.JobReport{ID: "straggler", Token: f.job("straggler").Lease.Token, Used: cores(8)})
		f.reconcile()
	}
	assert.Equal(t, f.job("straggler").Action, model.ActionCheckpoint)
	assert.Equal(t, f.job("waiting").Phase, model.JobQueued)
}

// Guards against a repeated proposal that has a second effect, and against a pass
// with nothing to propose that asks to be called again at once.
func TestReconcileIsIdempotent(t *testing.T) {
	f := newFleet(t, 2)
	for i := range 20 {
		f.submit(model.JobID(fmt.Sprint("j", i)), nil)
	}
	commands, _ := job.Reconcile(f.s, f.now)
	for range 2 {
		for _, c := range commands {
			f.do(c)
		}
	}
	assert.Equal(t, f.s.JobIndex.Active.Len(), 8)
	commands, next := job.Reconcile(f.s, f.now)
	assert.Equal(t, len(commands), 0)
	assert.Equal(t, next, f.now.Add(job.MinLeaseDuration))
}

// Guards against urgent jobs for which preemption runs one after the other. 720
// workers are full with jobs that react only to a stop, and end 100 ms after it.
func TestManyUrgentJobsStartInTime(t *testing.T) {
	const interval = 50 * time.Millisecond
	f := newFleet(t, 720)
	for i := range 720 * 4 {
		f.submit(model.JobID(fmt.Sprint("j", i)), func(j *model.Job) { j.Declared = small })
	}
	for f.s.JobIndex.Queue.Len() > 0 {
		f.reconcile()
	}
	for i := range 100 {
		f.submit(model.JobID(fmt.Sprint("urgent", i)), func(j *model.Job) { j.Urgent, j.Class, j.Declared = true, "urgent", small })
	}
	since, stops := f.now, map[model.Timestamp][]model.ControlJob{}
	for f.s.JobIndex.Queue.Len() > 0 {
		for _, c := range stops[f.now] {
			f.mustApply(model.JobEnded{ID: c.ID, Token: c.Token, Cancelled: true, Reason: "stopped"})
		}
		for _, c := range f.reconcile() {
			if c, ok := c.(model.ControlJob); ok && c.Action == model.ActionStop {
				stops[f.now.Add(2*interval)] = append(stops[f.now.Add(2*interval)], c)
			}
		}
		urgent := 0
		for _, j := range f.s.JobIndex.Active.All() {
			if j.Urgent {
				urgent++
			}
		}
		if urgent == 100 {
			break
		}
		f.advance(interval)
	}
	took := f.now.Sub(since)
	t.Logf("100 urgent jobs had leases after %s", took)
	assert.Assert(t, took <= 1200*time.Millisecond, "%s", took)
}
