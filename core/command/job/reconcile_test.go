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

// Guards against a class of jobs that one rack or data centre can take out.
func TestJobsAreSpreadOverRacksAndDataCenters(t *testing.T) {
	w := newWorld(t, 12)
	for i := range 6 {
		w.submit(model.JobID(fmt.Sprint("j", i)), nil)
	}
	w.reconcile()
	centers, racks := map[string]int{}, map[string]int{}
	for _, j := range w.s.JobIndex.Active.All() {
		i, _ := w.s.Instances.Get(j.Lease.Worker)
		centers[i.Domain.DataCenter]++
		racks[i.Domain.Rack]++
	}
	assert.DeepEqual(t, centers, map[string]int{"dc0": 2, "dc1": 2, "dc2": 2})
	assert.Equal(t, len(racks), 6)
}

// Guards against a team that gets everything because it was first or has more
// classes of jobs.
func TestTeamsShareByQuota(t *testing.T) {
	w := newWorld(t, 2, model.Team{Name: "a", Quota: cores(16)}, model.Team{Name: "b", Quota: cores(16)})
	for i := range 12 {
		w.submit(model.JobID(fmt.Sprint("a", i)), func(j *model.Job) { j.Class = fmt.Sprint("class", i) })
	}
	for i := range 12 {
		w.submit(model.JobID(fmt.Sprint("b", i)), func(j *model.Job) { j.Team = "b" })
	}
	w.reconcile()
	for _, team := range []model.TeamName{"a", "b"} {
		load, _ := w.s.JobIndex.Teams.Get(team)
		assert.Equal(t, load.Active, 4, "team %s", team)
	}
}

// Guards against jobs that are never looked at because another team has very
// many kinds of jobs that do not fit.
func TestManyKindsOfJobsDoNotHideOthers(t *testing.T) {
	w := newWorld(t, 1)
	w.submit("big", func(j *model.Job) { j.Declared = model.Resources{MilliCPU: 6000, MemoryMB: 1} })
	w.reconcile()
	for i := range 20_000 {
		w.submit(model.JobID(fmt.Sprint("kind", i)), func(j *model.Job) {
			j.Class, j.Declared = fmt.Sprint("kind", i), model.Resources{MilliCPU: 6000, MemoryMB: 1}
		})
	}
	w.submit("other", func(j *model.Job) { j.Team = "b" })
	w.reconcile()
	assert.Equal(t, w.job("other").Phase, model.JobLeased)
}

// Guards against idle capacity that a quota keeps unused, and against borrowed
// capacity that its owner does not get back.
func TestIdleCapacityIsLentAndReclaimed(t *testing.T) {
	half := cores(8)
	w := newWorld(t, 2, model.Team{Name: "a", Quota: half}, model.Team{Name: "b", Quota: half})
	for i := range 8 {
		w.submit(model.JobID(fmt.Sprint("a", i)), nil)
	}
	w.reconcile()
	assert.Equal(t, w.s.JobIndex.Active.Len(), 8, "team a borrows what team b leaves idle")
	w.submit("b0", func(j *model.Job) { j.Team = "b" })
	w.refused(model.PlaceJob{ID: "b0", Worker: "w000"}, result.NoCapacity)
	w.reconcile()
	var victim model.Job
	for _, j := range w.s.JobIndex.Active.All() {
		if j.Action != model.ActionNone {
			assert.Equal(t, victim.ID, model.JobID(""), "one job is enough")
			victim = j
		}
	}
	assert.Equal(t, victim.Action, model.ActionCheckpoint)
	assert.Assert(t, victim.Borrowed)
	w.must(model.JobReport{ID: victim.ID, Token: victim.Lease.Token, Used: cores(2), Checkpoint: "c1"})
	w.must(model.JobEnded{ID: victim.ID, Token: victim.Lease.Token, Cancelled: true, Reason: "checkpoint"})
	w.reconcile()
	assert.Equal(t, w.job("b0").Phase, model.JobLeased)
	assert.Equal(t, w.job(victim.ID).Phase, model.JobQueued)
	assert.Equal(t, w.job(victim.ID).Checkpoint, "c1")
	w.submit("a9", nil)
	w.refused(model.PlaceJob{ID: "a9", Worker: "w000"}, result.NoCapacity)
}

// small jobs fill the processors of a worker before its memory.
var small = model.Resources{MilliCPU: 2000, MemoryMB: 256}

// Guards against urgent work that waits for others, against a costly action
// before a cheap one, and against other work that takes the room. The jobs
// here obey only a stop.
func TestUrgentWorkGetsRoomInOrderOfCost(t *testing.T) {
	w := newWorld(t, 1)
	for i := range 6 {
		w.submit(model.JobID(fmt.Sprint("j", i)), func(j *model.Job) { j.Declared = small })
	}
	w.reconcile()
	for _, j := range w.s.JobIndex.Active.All() {
		w.start(j.ID)
	}
	w.submit("now", func(j *model.Job) { j.Urgent, j.Class, j.Declared = true, "urgent", small })
	asked, since := []model.JobAction{}, w.now
	for w.job("now").Phase == model.JobQueued {
		assert.Assert(t, w.now.Sub(since) < 1200*time.Millisecond, "urgent work must start within 1.2 s")
		for _, c := range w.reconcile() {
			control, ok := c.(model.ControlJob)
			if !ok {
				continue
			}
			asked = append(asked, control.Action)
			if control.Action == model.ActionStop {
				w.must(model.JobEnded{ID: control.ID, Token: control.Token, Cancelled: true, Reason: "stopped"})
			}
		}
		w.pass(50 * time.Millisecond)
	}
	assert.DeepEqual(t, asked, []model.JobAction{model.ActionCheckpoint, model.ActionThrottle, model.ActionStop})
}

// Guards against throttling that frees nothing or never ends.
func TestThrottlingFreesProcessorsAndIsLifted(t *testing.T) {
	w := newWorld(t, 1)
	w.submit("big", func(j *model.Job) { j.Declared = model.Resources{MilliCPU: 8000, MemoryMB: 1024} })
	w.reconcile()
	w.start("big")
	w.submit("now", func(j *model.Job) {
		j.Urgent, j.Class, j.Declared = true, "urgent", model.Resources{MilliCPU: 4000, MemoryMB: 1024}
	})
	w.reconcile()
	w.pass(300 * time.Millisecond)
	w.reconcile()
	big := w.job("big")
	assert.Equal(t, big.Action, model.ActionThrottle)
	w.must(model.JobReport{ID: "big", Token: big.Lease.Token, Used: model.Resources{MilliCPU: 4000, MemoryMB: 1024}})
	w.reconcile()
	assert.Equal(t, w.job("now").Phase, model.JobLeased)
	w.reconcile()
	assert.Equal(t, w.job("big").Action, model.ActionThrottle, "no room yet to end it")
	w.end("now", true)
	w.reconcile()
	assert.Equal(t, w.job("big").Action, model.ActionNone)
	assert.Equal(t, w.job("big").Reserved.MilliCPU, int64(8000))
}

// Guards against long jobs that take the whole pool while short ones wait.
func TestLongWorkLeavesRoomForShortWork(t *testing.T) {
	w := newWorld(t, 4)
	w.teach("short", time.Second, cores(1))
	w.teach("long", time.Hour, cores(1))
	for i := range 40 {
		w.submit(model.JobID(fmt.Sprint("long", i)), func(j *model.Job) { j.Class = "long" })
	}
	w.submit("short0", func(j *model.Job) { j.Class = "short" })
	w.reconcile()
	assert.Equal(t, w.job("short0").Phase, model.JobLeased)
	assert.Equal(t, w.s.JobIndex.Active.Len(), 24+1, "three quarters of 32 processors for long work")
}

// Guards against short jobs that wait for a straggler to end by itself.
func TestStragglerIsCheckpointedForShortWorkAndNotStopped(t *testing.T) {
	w := newWorld(t, 1)
	w.teach("short", time.Second, cores(8))
	w.submit("straggler", func(j *model.Job) { j.Class = "short" })
	w.reconcile()
	w.start("straggler")
	w.submit("waiting", func(j *model.Job) { j.Class = "short" })
	for range 10 {
		w.pass(2 * time.Second)
		w.must(model.JobReport{ID: "straggler", Token: w.job("straggler").Lease.Token, Used: cores(8)})
		w.reconcile()
	}
	assert.Equal(t, w.job("straggler").Action, model.ActionCheckpoint)
	assert.Equal(t, w.job("waiting").Phase, model.JobQueued)
}

// Guards against the same proposal having an effect twice, and against a pass
// that asks to be called again at once without anything to do.
func TestReconcileMayBeRepeated(t *testing.T) {
	w := newWorld(t, 2)
	for i := range 20 {
		w.submit(model.JobID(fmt.Sprint("j", i)), nil)
	}
	commands, _ := job.Reconcile(w.s, w.now)
	for range 2 {
		for _, c := range commands {
			w.do(c)
		}
	}
	assert.Equal(t, w.s.JobIndex.Active.Len(), 8)
	commands, next := job.Reconcile(w.s, w.now)
	assert.Equal(t, len(commands), 0)
	assert.Equal(t, next, w.now.Add(job.LeaseTerm))
}

// Guards against urgent jobs that get room one after the other. 720 full
// workers, whose jobs obey only a stop, and that after 100 ms.
func TestManyUrgentJobsStartInTime(t *testing.T) {
	const pass = 50 * time.Millisecond
	w := newWorld(t, 720)
	for i := range 720 * 4 {
		w.submit(model.JobID(fmt.Sprint("j", i)), func(j *model.Job) { j.Declared = small })
	}
	for w.s.JobIndex.Queue.Len() > 0 {
		w.reconcile()
	}
	for i := range 100 {
		w.submit(model.JobID(fmt.Sprint("urgent", i)), func(j *model.Job) { j.Urgent, j.Class, j.Declared = true, "urgent", small })
	}
	since, stops := w.now, map[model.Timestamp][]model.ControlJob{}
	for w.s.JobIndex.Queue.Len() > 0 {
		for _, c := range stops[w.now] {
			w.must(model.JobEnded{ID: c.ID, Token: c.Token, Cancelled: true, Reason: "stopped"})
		}
		for _, c := range w.reconcile() {
			if c, ok := c.(model.ControlJob); ok && c.Action == model.ActionStop {
				stops[w.now.Add(2*pass)] = append(stops[w.now.Add(2*pass)], c)
			}
		}
		urgent := 0
		for _, j := range w.s.JobIndex.Active.All() {
			if j.Urgent {
				urgent++
			}
		}
		if urgent == 100 {
			break
		}
		w.pass(pass)
	}
	took := w.now.Sub(since)
	t.Logf("100 urgent jobs had leases after %s", took)
	assert.Assert(t, took <= 1200*time.Millisecond, "%s", took)
}
