package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// fixture applies commands to a state in order, as replicas apply committed commands.
type fixture struct {
	t     *testing.T
	s     model.State
	clock model.Timestamp
}

func testConfig(pools map[model.PoolName]int, b model.Budget) model.Config {
	c := model.Config{
		Site: "test", Weights: model.Weights{ShortWait: 0.25, BufferCost: 0.25, RollOut: 0.25, Moves: 0.25},
		Limits: model.Limits{SlotsPerTarget: 8, ConnectionsPerTarget: 64, KeyRetention: time.Minute, MaxClaims: 10},
		Waves:  model.WavePolicy{MaxStep: 2},
	}
	for _, name := range []model.PoolName{"a", "b", "spare"} {
		n, ok := pools[name]
		if !ok {
			continue
		}
		c.Pools = append(c.Pools, model.Pool{Name: name, Spare: name == "spare", Budget: b})
		for k := range n {
			c.Instances = append(c.Instances, model.InstanceSpec{
				ID: model.InstanceID(fmt.Sprintf("%s%d", name, k)), Pool: name, Capacity: model.Resources{MilliCPU: 1000, MemoryMB: 1000},
				Domain: model.Domain{Region: "r", DataCenter: fmt.Sprintf("dc%d", k%3), Rack: fmt.Sprintf("rack%d", k%3)},
			})
		}
	}
	return c
}

func newFixture(t *testing.T, pools map[model.PoolName]int, b model.Budget) *fixture {
	f := &fixture{t: t, clock: 1_000_000}
	f.must(model.AcceptConfig{Config: testConfig(pools, b)})
	return f
}

func (f *fixture) do(c model.Command) result.Result {
	var r result.Result
	f.s, r = command.Apply(f.s, f.s.Index+1, 1, model.Envelope{Time: f.clock, Command: c})
	return r
}

func (f *fixture) must(c model.Command) {
	f.t.Helper()
	assert.NilError(f.t, f.do(c).Err())
}

// expectCode applies a command and requires the result code.
func (f *fixture) expectCode(c model.Command, code result.Code) {
	f.t.Helper()
	assert.Equal(f.t, f.do(c).Code, code)
}

func (f *fixture) instance(id model.InstanceID) model.Instance {
	i, ok := f.s.Instances.Get(id)
	assert.Assert(f.t, ok, "instance %s is missing", id)
	return i
}

// observe applies an observed phase change of an instance.
func (f *fixture) observe(id model.InstanceID, to model.Phase) result.Result {
	i := f.instance(id)
	return f.do(model.SetInstancePhase{Instance: id, Generation: i.Generation, From: i.Phase, To: to, Reason: "test"})
}

// reboot takes a pending instance of a wave through its drain and reboot until
// verification.
func (f *fixture) reboot(wave model.WaveID, id model.InstanceID) {
	f.t.Helper()
	f.must(model.TakeWaveStep{ID: wave, Instance: id})
	assert.NilError(f.t, f.observe(id, model.PhaseDrained).Err())
	op := f.instance(id).NextOperation()
	f.must(model.BeginOperation{Instance: id, Operation: op, Kind: model.OperationReboot})
	f.must(model.EndOperation{Instance: id, Operation: op, Succeeded: true})
}

func (f *fixture) maintain(wave model.WaveID, id model.InstanceID) {
	f.t.Helper()
	f.reboot(wave, id)
	assert.NilError(f.t, f.observe(id, model.PhaseSoaking).Err())
	assert.NilError(f.t, f.observe(id, model.PhaseActive).Err())
}

// Guards against exceeding a budget that allows one more outage: an operator, a
// wave and a move must not all get it.
func TestLastAllowedOutageIsGrantedOnce(t *testing.T) {
	f := newFixture(t, map[model.PoolName]int{"a": 3, "b": 3}, model.Budget{MinAvailable: 2})
	f.must(model.StartWave{ID: "w", Pools: []model.PoolName{"a"}})
	f.must(model.TakeWaveStep{ID: "w", Instance: "a0"})
	f.expectCode(model.StartMove{ID: "m", Instance: "a1", From: "a", To: "b"}, result.BudgetExceeded)
	f.expectCode(model.DrainInstance{Instance: "a1", HeldBy: "ann"}, result.BudgetExceeded)
	f.must(model.ReturnInstance{Instance: "a0", HeldBy: model.WaveHolder("w")})
	f.must(model.StartMove{ID: "m", Instance: "a1", From: "a", To: "b"})
	f.expectCode(model.TakeWaveStep{ID: "w", Instance: "a0"}, result.BudgetExceeded)
}

// Guards against limits per rack and data centre that count planned outages only
// and ignore losses.
func TestDomainLimitsCountLosses(t *testing.T) {
	f := newFixture(t, map[model.PoolName]int{"a": 9}, model.Budget{MinAvailable: 2, MaxPerRack: 1})
	assert.NilError(t, f.observe("a0", model.PhaseLost).Err())
	f.expectCode(model.DrainInstance{Instance: "a3"}, result.DomainLimit)
	f.must(model.DrainInstance{Instance: "a4"})
	f = newFixture(t, map[model.PoolName]int{"a": 9}, model.Budget{MaxUnavailableShare: 0.5, MaxPerDataCenter: 2})
	assert.NilError(t, f.observe("a0", model.PhaseLost).Err())
	f.must(model.DrainInstance{Instance: "a3"})
	f.expectCode(model.DrainInstance{Instance: "a6"}, result.DomainLimit)
}

// Guards against planned work that starts, or proceeds to a reboot, while faults
// leave the pool below its budget.
func TestFaultsStopPlannedWork(t *testing.T) {
	f := newFixture(t, map[model.PoolName]int{"a": 4, "b": 3}, model.Budget{MaxUnavailable: 1})
	f.must(model.StartWave{ID: "w", Pools: []model.PoolName{"a"}})
	f.must(model.TakeWaveStep{ID: "w", Instance: "a0"})
	assert.NilError(t, f.observe("a0", model.PhaseDrained).Err())
	assert.NilError(t, f.observe("a1", model.PhaseLost).Err())
	f.expectCode(model.BeginOperation{Instance: "a0", Operation: f.instance("a0").NextOperation(), Kind: model.OperationReboot}, result.BudgetExceeded)
	f.expectCode(model.TakeWaveStep{ID: "w", Instance: "a2"}, result.BudgetExceeded)
	f.must(model.ReturnInstance{Instance: "a0", HeldBy: model.WaveHolder("w")})
	w, _ := f.s.Waves.Get("w")
	assert.Equal(t, w.Pending[len(w.Pending)-1], model.InstanceID("a0"))
}

// Guards against a move that is completed although losses have brought its source
// pool below its budget, and against a move that can be neither undone nor completed.
func TestInterruptedMove(t *testing.T) {
	f := newFixture(t, map[model.PoolName]int{"a": 4, "b": 3}, model.Budget{MinAvailable: 2})
	f.must(model.StartMove{ID: "m", Instance: "a0", From: "a", To: "b"})
	assert.NilError(t, f.observe("a0", model.PhaseDrained).Err())
	assert.NilError(t, f.observe("a1", model.PhaseLost).Err())
	assert.NilError(t, f.observe("a2", model.PhaseLost).Err())
	f.expectCode(model.AdvanceMove{ID: "m"}, result.BudgetExceeded)
	f.must(model.UndoMove{ID: "m", Reason: "source below its budget"})
	assert.Equal(t, f.instance("a0").Phase, model.PhaseActive)
	assert.Equal(t, f.instance("a0").Pool, model.PoolName("a"))
	assert.NilError(t, f.observe("a1", model.PhaseActive).Err())
	f.must(model.StartMove{ID: "m2", Instance: "a0", From: "a", To: "b"})
	assert.NilError(t, f.observe("a0", model.PhaseDrained).Err())
	f.must(model.AdvanceMove{ID: "m2"})
	f.expectCode(model.UndoMove{ID: "m2"}, result.WrongPhase)
	f.must(model.AdvanceMove{ID: "m2"})
	assert.Equal(t, f.instance("a0").Phase, model.PhaseActive)
	assert.Equal(t, f.instance("a0").Pool, model.PoolName("b"))
}

// Guards against a wave that continues with its full step after failures of
// repaired instances, and against a wave that stops without a recorded reason.
func TestSecondLossAfterRepairStopsTheWave(t *testing.T) {
	f := newFixture(t, map[model.PoolName]int{"a": 9}, model.Budget{MinAvailable: 2})
	f.must(model.StartWave{ID: "w", Pools: []model.PoolName{"a"}})
	f.maintain("w", "a0")
	assert.NilError(t, f.observe("a0", model.PhaseLost).Err())
	w, _ := f.s.Waves.Get("w")
	assert.Equal(t, w.Step, 1)
	assert.Equal(t, w.Phase, model.WaveRunning)
	f.reboot("w", "a1")
	assert.NilError(t, f.observe("a1", model.PhaseFailed).Err())
	w, _ = f.s.Waves.Get("w")
	assert.Equal(t, w.Phase, model.WaveStopped)
	assert.Equal(t, w.Reason, "2 failures after repair, the last on instance a1: test")
	assert.DeepEqual(t, w.Passed, []model.InstanceID{"a1"})
	f.expectCode(model.TakeWaveStep{ID: "w", Instance: "a2"}, result.WrongPhase)
	f.must(model.SetWavePhase{ID: "w", Phase: model.WaveRunning})
	f.must(model.TakeWaveStep{ID: "w", Instance: "a2"})
}

// Guards against delayed or repeated observations and platform answers that change
// an instance a second time.
func TestStaleObservationsChangeNothing(t *testing.T) {
	f := newFixture(t, map[model.PoolName]int{"a": 4}, model.Budget{MinAvailable: 2})
	first := f.instance("a0")
	late := model.SetInstancePhase{Instance: "a0", Generation: first.Generation, From: model.PhaseActive, To: model.PhaseLost}
	f.must(late)
	assert.NilError(t, f.observe("a0", model.PhaseActive).Err())
	f.expectCode(late, result.Unchanged)
	f.must(model.StartWave{ID: "w", Pools: []model.PoolName{"a"}})
	f.maintain("w", "a0")
	op := model.Instance{ID: "a0", OperationSeq: first.OperationSeq}.NextOperation()
	f.expectCode(model.EndOperation{Instance: "a0", Operation: op, Succeeded: false}, result.Unchanged)
	f.must(model.TakeWaveStep{ID: "w", Instance: "a1"})
	f.expectCode(model.BeginOperation{Instance: "a0", Operation: op, Kind: model.OperationReboot}, result.OperationStale)
	f.expectCode(model.BeginOperation{Instance: "a1", Operation: "other", Kind: model.OperationDrain}, result.OperationStale)
	assert.Equal(t, f.instance("a0").Phase, model.PhaseActive)
}

// Guards against an accepted configuration that removes an instance while it is in
// service, or a pool and its budget while the pool has instances. An instance that
// is removed and declared again must not reuse operation IDs.
func TestReconfigureKeepsInstancesInService(t *testing.T) {
	f := newFixture(t, map[model.PoolName]int{"a": 4, "b": 3}, model.Budget{MinAvailable: 2})
	c := testConfig(map[model.PoolName]int{"a": 3, "b": 3}, model.Budget{MinAvailable: 2})
	f.must(model.AcceptConfig{Base: 1, Config: c})
	assert.Assert(t, f.instance("a3").Retiring)
	assert.Assert(t, f.instance("a3").Available())
	f.expectCode(model.RemoveInstance{Instance: "a3", Generation: f.instance("a3").Generation}, result.WrongPhase)
	f.must(model.DrainInstance{Instance: "a3", HeldBy: model.HolderRetire})
	assert.NilError(t, f.observe("a3", model.PhaseDrained).Err())
	before := f.instance("a3")
	f.must(model.RemoveInstance{Instance: "a3", Generation: before.Generation})
	assert.Assert(t, !f.s.Instances.Has("a3"))
	f.expectCode(model.AcceptConfig{Base: 2, Config: testConfig(map[model.PoolName]int{"a": 3}, model.Budget{MinAvailable: 2})}, result.ConfigInvalid)
	f.must(model.DrainInstance{Instance: "a1"})
	f.must(model.AcceptConfig{Base: 2, Config: testConfig(map[model.PoolName]int{"a": 4, "b": 4}, model.Budget{MinAvailable: 3})})
	assert.Assert(t, f.instance("a3").OperationSeq > before.OperationSeq, "operation IDs would be reused")
	u, _ := budget.ForPool(f.s, "a")
	assert.Equal(t, u.Headroom(), 0)
	f.expectCode(model.DrainInstance{Instance: "a0"}, result.BudgetExceeded)
}

// Guards against a second operation, a return to service or the end of a drain while
// a platform operation on the instance is in progress.
func TestPendingOperationBlocksTheNextStep(t *testing.T) {
	f := newFixture(t, map[model.PoolName]int{"a": 4, "b": 3}, model.Budget{MinAvailable: 2})
	f.must(model.StartWave{ID: "w", Pools: []model.PoolName{"a"}})
	f.must(model.TakeWaveStep{ID: "w", Instance: "a0"})
	first := f.instance("a0").NextOperation()
	f.must(model.BeginOperation{Instance: "a0", Operation: first, Kind: model.OperationDrain})
	f.expectCode(model.BeginOperation{Instance: "a0", Operation: first, Kind: model.OperationDrain}, result.Unchanged)
	f.expectCode(model.BeginOperation{Instance: "a0", Operation: f.instance("a0").NextOperation(), Kind: model.OperationDrain}, result.OperationPending)
	f.expectCode(model.ReturnInstance{Instance: "a0", HeldBy: model.WaveHolder("w")}, result.OperationPending)
	assert.Equal(t, f.observe("a0", model.PhaseDrained).Code, result.OperationPending)
	f.must(model.StartMove{ID: "m", Instance: "a1", From: "a", To: "b"})
	f.must(model.BeginOperation{Instance: "a1", Operation: f.instance("a1").NextOperation(), Kind: model.OperationDrain})
	f.expectCode(model.UndoMove{ID: "m"}, result.OperationPending)
	f.must(model.EndOperation{Instance: "a0", Operation: first, Succeeded: true})
	assert.Equal(t, f.instance("a0").Phase, model.PhaseDrained)
}
