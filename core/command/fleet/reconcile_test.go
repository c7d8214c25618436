package fleet_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

func newSmallSimulation(b model.Budget) *simulation {
	return newSimulation(testConfig(map[model.PoolName]int{"a": 6, "b": 6, "spare": 4}, b))
}

// Guards against a wave that stalls, reboots an instance twice or interrupts work in
// flight.
func TestWaveMaintainsEachInstanceOnce(t *testing.T) {
	sim := newSmallSimulation(model.Budget{MinAvailable: 2, MaxPerRack: 1})
	sim.machines["a2"].busyUntil = sim.now.Add(20 * time.Minute)
	sim.applied = func(_, _ model.State, c model.Command, _ result.Result) {
		if op, ok := c.(model.BeginOperation); ok && op.Instance == "a2" {
			assert.Assert(t, sim.now >= sim.machines["a2"].busyUntil, "work in flight was interrupted")
		}
	}
	sim.do(model.StartWave{ID: "w", Pools: []model.PoolName{"a"}})
	sim.runUntil(sim.now.Add(2*time.Hour), func() bool { return sim.wave(t, "w").Phase == model.WaveDone })
	assert.Equal(t, len(sim.wave(t, "w").Done), 6)
	reboots := 0
	for _, p := range sim.starts {
		if p.OperationKind == model.OperationReboot {
			reboots++
		}
	}
	assert.Equal(t, reboots, 6)
}

// Guards against an instance that never returns from its reboot but counts as
// available, or that blocks its wave.
func TestInstanceThatNeverReturnsFailsAndIsSkipped(t *testing.T) {
	sim := newSmallSimulation(model.Budget{MinAvailable: 2})
	sim.do(model.StartWave{ID: "w", Pools: []model.PoolName{"a"}})
	sim.runUntil(sim.now.Add(2*time.Hour), func() bool { return sim.instance("a3").Phase == model.PhaseRebooting })
	sim.machines["a3"].downUntil = never
	start := sim.now
	sim.runUntil(sim.now.Add(2*time.Hour), func() bool { return sim.instance("a3").Phase == model.PhaseFailed })
	assert.Assert(t, sim.now.Sub(start) <= 10*time.Minute+time.Second, "the failure was recorded after %s", sim.now.Sub(start))
	sim.runUntil(sim.now.Add(2*time.Hour), func() bool { return sim.wave(t, "w").Phase == model.WaveDone })
	v := sim.wave(t, "w")
	assert.DeepEqual(t, v.Passed, []model.InstanceID{"a3"})
	assert.Equal(t, len(v.Done), 5)
	assert.Equal(t, v.Step, 1)
}

// Guards against a new leader that starts operations again which an earlier leader
// has started: the leader changes every 7 s.
func TestWaveResumesAfterLeaderChange(t *testing.T) {
	sim := newSmallSimulation(model.Budget{MinAvailable: 2})
	sim.do(model.StartWave{ID: "w", Pools: []model.PoolName{"a"}})
	for sim.now < 1_000_000+7_200_000 && sim.wave(t, "w").Phase != model.WaveDone {
		sim.runUntil(sim.now.Add(7*time.Second), forever)
		sim.changeLeader()
	}
	assert.Equal(t, sim.wave(t, "w").Phase, model.WaveDone)
	sent := map[model.OperationID]bool{}
	for _, p := range sim.starts {
		assert.Assert(t, !sent[p.Operation], "operation %s was sent twice", p.Operation)
		sent[p.Operation] = true
	}
	assert.Equal(t, len(sent), 12) // a drain and a reboot for each of 6
}

// Guards against a wave's drain that is not revoked while a fault brings the pool
// below its budget. An operator's drain must not be revoked.
func TestFaultRevokesPlannedDrain(t *testing.T) {
	sim := newSmallSimulation(model.Budget{MaxUnavailable: 1})
	sim.machines["a0"].busyUntil = never
	sim.do(model.DrainInstance{Instance: "b0"}) // an operator's drain is not revoked
	sim.do(model.StartWave{ID: "w", Pools: []model.PoolName{"a"}})
	sim.do(model.TakeWaveStep{ID: "w", Instance: "a0"})
	sim.settle()
	sim.fail("a1", sim.now.Add(30*time.Minute))
	sim.fail("b1", sim.now.Add(30*time.Minute))
	sim.runUntil(sim.now.Add(5*time.Minute), forever)
	assert.Equal(t, sim.instance("a0").Phase, model.PhaseActive)
	assert.Assert(t, sim.instance("b0").Phase != model.PhaseActive)
	assert.Equal(t, len(sim.wave(t, "w").Running), 0)
}

// Guards against a spare instance that is never lent to a pool with a shortage, or
// never returned after it.
func TestSpareInstanceIsLentAndReturned(t *testing.T) {
	c := testConfig(map[model.PoolName]int{"a": 6, "b": 6, "spare": 4}, model.Budget{MinAvailable: 5})
	c.Pools[2].Budget = model.Budget{}
	sim := newSimulation(c)
	sim.fail("a0", sim.now.Add(5*time.Hour))
	sim.fail("a1", sim.now.Add(5*time.Hour))
	sim.runUntil(sim.now.Add(time.Hour), forever)
	lent := model.InstanceID("")
	for _, i := range sim.s.Instances.Values() {
		if i.Home == "spare" && i.Pool == "a" && i.Available() {
			lent = i.ID
		}
	}
	assert.Assert(t, lent != "")
	sim.runUntil(sim.now.Add(6*time.Hour), forever)
	assert.Equal(t, sim.instance(lent).Pool, model.PoolName("spare"))
	assert.Equal(t, sim.s.Moves.Len(), 2)
}

// Guards against a move that is neither completed nor undone, because work on the
// instance never ends or because the leader changes.
func TestInterruptedMoveIsCompletedOrUndone(t *testing.T) {
	sim := newSmallSimulation(model.Budget{MinAvailable: 2})
	sim.machines["a0"].busyUntil = never
	sim.do(model.StartMove{ID: "stuck", Instance: "a0", From: "a", To: "b"})
	sim.do(model.StartMove{ID: "good", Instance: "a1", From: "a", To: "b"})
	for range 100 {
		sim.runUntil(sim.now.Add(11*time.Second), forever)
		sim.changeLeader()
	}
	stuck, _ := sim.s.Moves.Get("stuck")
	good, _ := sim.s.Moves.Get("good")
	assert.Equal(t, stuck.Phase, model.MoveUndone)
	assert.Assert(t, strings.Contains(stuck.Reason, "did not end"), stuck.Reason)
	assert.Equal(t, sim.instance("a0").Pool, model.PoolName("a"))
	assert.Equal(t, good.Phase, model.MoveDone)
	assert.Equal(t, sim.instance("a1").Pool, model.PoolName("b"))
	assert.Assert(t, sim.instance("a0").Available() && sim.instance("a1").Available())
}

// Guards against an instance that is removed while it has work in flight, or never
// removed, after the configuration no longer declares it.
func TestRetiringInstanceIsDrainedFirst(t *testing.T) {
	sim := newSmallSimulation(model.Budget{MinAvailable: 2})
	sim.machines["b5"].busyUntil = sim.now.Add(time.Hour)
	sim.do(model.AcceptConfig{Base: 1, Config: testConfig(map[model.PoolName]int{"a": 6, "b": 5, "spare": 4}, model.Budget{MinAvailable: 2})})
	sim.runUntil(sim.now.Add(59*time.Minute), forever)
	assert.Assert(t, sim.s.Instances.Has("b5"))
	sim.runUntil(sim.now.Add(10*time.Minute), forever)
	assert.Assert(t, !sim.s.Instances.Has("b5"))
}

// Guards against a paused wave that keeps draining instances out of service, and
// against a pause that interrupts a reboot.
func TestPausedWaveReturnsInstancesThatAreNotRebooting(t *testing.T) {
	sim := newSmallSimulation(model.Budget{MinAvailable: 2})
	sim.machines["a1"].busyUntil = never
	sim.do(model.StartWave{ID: "w", Pools: []model.PoolName{"a"}})
	sim.do(model.TakeWaveStep{ID: "w", Instance: "a1"})
	sim.do(model.TakeWaveStep{ID: "w", Instance: "a0"})
	sim.runUntil(sim.now.Add(time.Minute), func() bool { return sim.instance("a0").Phase == model.PhaseRebooting })
	assert.Equal(t, sim.instance("a0").Phase, model.PhaseRebooting)
	assert.Equal(t, sim.instance("a1").Phase, model.PhaseDraining)
	sim.do(model.SetWavePhase{ID: "w", Phase: model.WavePaused, Reason: "operator"})
	sim.runUntil(sim.now.Add(10*time.Minute), forever)
	assert.Assert(t, sim.instance("a0").Available() && sim.instance("a1").Available())
	assert.DeepEqual(t, sim.wave(t, "w").Done, []model.InstanceID{"a0"})
	assert.Equal(t, len(sim.wave(t, "w").Pending), 5)
}

// Guards against an instance that stays quarantined forever because its maintenance
// does not end the quarantine.
func TestMaintenanceEndsQuarantine(t *testing.T) {
	sim := newSmallSimulation(model.Budget{MinAvailable: 2})
	sim.set("a1", func(i *model.Instance) { i.Quarantined, i.Failures = true, 5 })
	sim.do(model.StartWave{ID: "w", Pools: []model.PoolName{"a"}})
	sim.runUntil(sim.now.Add(2*time.Hour), func() bool { return sim.wave(t, "w").Phase == model.WaveDone })
	assert.Assert(t, !sim.instance("a1").Quarantined)
	assert.Equal(t, sim.instance("a1").Failures, 0)
}

// Guards against a drain that waits for a job until its timeout although the job
// could continue on another instance, or that ends while a job still holds a lease.
func TestDrainRequestsCheckpointOfJobs(t *testing.T) {
	c := testConfig(map[model.PoolName]int{"a": 6}, model.Budget{MinAvailable: 2})
	c.Teams = []model.Team{{Name: "t"}}
	sim := newSimulation(c)
	sim.do(model.SubmitJob{Job: model.Job{ID: "j", Pool: "a", Team: "t"}})
	sim.settle()
	j, _ := sim.s.Jobs.Get("j")
	assert.Assert(t, j.Active(), "job is %s", j.Phase)
	worker := j.Lease.Worker
	sim.do(model.JobStarted{ID: "j", Token: j.Lease.Token})
	sim.do(model.DrainInstance{Instance: worker})
	for range 40 {
		sim.runUntil(sim.now.Add(time.Second), forever)
		sim.do(model.JobReport{ID: "j", Token: j.Lease.Token})
	}
	updated, _ := sim.s.Jobs.Get("j")
	assert.Equal(t, updated.Asked(), model.AskedCheckpoint)
	assert.Equal(t, sim.instance(worker).Phase, model.PhaseDraining)
	assert.Equal(t, len(sim.starts), 0)
}
