package fleet_test

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// checker checks the invariants of the fleet after every command. It is implemented
// independently of the code under test.
type checker struct {
	reboots map[string]int // by holder and instance
	begun   map[model.OperationID]bool
	failed  error
}

func (c *checker) report(format string, args ...any) {
	if c.failed == nil {
		c.failed = fmt.Errorf(format, args...)
	}
}

func (c *checker) step(before, after model.State, cmd model.Command, r result.Result) {
	if !r.Code.OK() {
		return
	}
	if planned(cmd) {
		was := shortfalls(before)
		for where, n := range shortfalls(after) {
			if n > max(0, was[where]) {
				c.report("%T%+v increased the shortfall of %s from %d to %d instances", cmd, cmd, where, was[where], n)
			}
		}
	}
	if r.Code == result.Accepted {
		c.checkOnce(before, cmd)
	}
	if _, ok := cmd.(model.RemoveInstance); !ok && after.Instances.Len() < before.Instances.Len() {
		c.report("%T%+v removed an instance", cmd, cmd)
	}
	c.checkHolders(after)
}

// checkOnce checks that no observation, operation or reboot takes effect twice.
func (c *checker) checkOnce(before model.State, cmd model.Command) {
	switch cmd := cmd.(type) {
	case model.SetInstancePhase:
		if i, _ := before.Instances.Get(cmd.Instance); i.Generation != cmd.Generation {
			c.report("%+v took effect on generation %d", cmd, i.Generation)
		}
	case model.BeginOperation:
		if c.begun[cmd.Operation] {
			c.report("operation %s was begun twice", cmd.Operation)
		}
		c.begun[cmd.Operation] = true
		i, _ := before.Instances.Get(cmd.Instance)
		key := i.HeldBy + " " + string(cmd.Instance)
		if cmd.Kind == model.OperationReboot {
			c.reboots[key]++
		}
		if c.reboots[key] > 1 {
			c.report("%s was rebooted twice", key)
		}
	}
}

// planned reports whether a command must never bring a pool below its budget. Losses,
// failures and new configurations may.
func planned(cmd model.Command) bool {
	switch cmd := cmd.(type) {
	case model.SetInstancePhase:
		return cmd.To != model.PhaseLost && cmd.To != model.PhaseFailed
	case model.EndOperation:
		return cmd.Succeeded
	case model.AcceptConfig:
		return false
	}
	return true
}

// shortfalls returns by how many instances each pool is below its budget, and by how
// many unavailable instances each rack and data centre of a pool exceeds its limit.
func shortfalls(s model.State) map[string]int {
	out := map[string]int{}
	for _, p := range s.Config.Pools {
		members, available, places := 0, 0, map[string]int{}
		for _, i := range s.Instances.All() {
			if i.Pool != p.Name || i.Phase == model.PhaseArriving {
				continue
			}
			members++
			if i.Phase == model.PhaseActive {
				available++
				continue
			}
			places["rack "+i.Domain.Rack]++
			places["center "+i.Domain.DataCenter]++
		}
		b, name, gone := p.Budget, string(p.Name), members-available
		short := max(b.MinAvailable-available, int(math.Ceil(b.MinAvailableShare*float64(members)-1e-9))-available)
		if b.MaxUnavailable > 0 {
			short = max(short, gone-b.MaxUnavailable)
		}
		if b.MaxUnavailableShare > 0 {
			short = max(short, gone-int(b.MaxUnavailableShare*float64(members)+1e-9))
		}
		out[name] = max(0, short)
		for place, n := range places {
			limit := b.MaxPerRack
			if place[0] == 'c' { // a data centre, see places
				limit = b.MaxPerDataCenter
			}
			if limit > 0 {
				out[name+" "+place] = max(0, n-limit)
			}
		}
	}
	return out
}

// checkHolders checks that each instance is in one pool and held by at most one wave
// or move, and that the instance and its holder refer to each other.
func (c *checker) checkHolders(s model.State) {
	held := map[model.InstanceID]string{}
	claim := func(id model.InstanceID, holder string) {
		if held[id] != "" {
			c.report("instance %s is held by %s and %s", id, held[id], holder)
		}
		held[id] = holder
	}
	for _, w := range s.Waves.All() {
		for _, id := range w.Running {
			claim(id, model.WaveHolder(w.ID))
		}
	}
	for _, m := range s.Moves.All() {
		if !m.Phase.Ended() {
			claim(m.Instance, model.MoveHolder(m.ID))
		}
	}
	for _, i := range s.Instances.All() {
		if !slices.ContainsFunc(s.Config.Pools, func(p model.Pool) bool { return p.Name == i.Pool }) {
			c.report("instance %s is in no pool", i.ID)
		}
		_, wave := i.HeldByWave()
		_, move := i.HeldByMove()
		if (wave || move) != (held[i.ID] != "") || ((wave || move) && held[i.ID] != i.HeldBy) {
			c.report("instance %s is %s, held by %q, listed by %q", i.ID, i.Phase, i.HeldBy, held[i.ID])
		}
	}
}

// violation is called after each command and may change the state so that an
// invariant is violated. It reports whether it changed the state.
type violation func(*simulation, model.Command, result.Result) bool

// exercise runs operator commands, faults, leader changes and platform faults in
// random order. It returns the first violation of an invariant.
func exercise(t *rapid.T, inject violation) error {
	e := &exerciser{t: t, check: &checker{reboots: map[string]int{}, begun: map[model.OperationID]bool{}}, history: []model.Command{model.Noop{}}, budgets: []model.Budget{
		{MinAvailable: 4}, {MaxUnavailable: 2, MaxPerRack: 1}, {MinAvailableShare: 0.6}, {MaxUnavailableShare: 0.4, MaxPerDataCenter: 1},
	}}
	e.sim = newSimulation(e.config())
	e.sim.applied = func(before, after model.State, c model.Command, r result.Result) {
		if inject != nil && inject(e.sim, c, r) {
			after, r.Code = e.sim.s, result.Accepted
		}
		e.check.step(before, after, c, r)
		e.history = append(e.history, c)
	}
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		e.step(rapid.IntRange(0, 15).Draw(t, "act"))
		if e.check.failed != nil {
			return e.check.failed
		}
	}
	e.recover()
	return e.check.failed
}

// exerciser draws random events and applies them to a simulation.
type exerciser struct {
	t       *rapid.T
	sim     *simulation
	check   *checker
	budgets []model.Budget
	history []model.Command // all commands applied so far
	late    model.Decision  // decision of an earlier leader
	ids     int             // number of steps, used in the IDs of moves and waves
}

func (e *exerciser) config() model.Config {
	c := testConfig(map[model.PoolName]int{"a": 6, "b": 6, "spare": 4}, rapid.SampledFrom(e.budgets).Draw(e.t, "budget"))
	c.Pools[2].Budget = model.Budget{MinAvailable: 1}
	return c
}

func (e *exerciser) draw(label string, limit int) int {
	return rapid.IntRange(0, limit-1).Draw(e.t, label)
}

func (e *exerciser) randomInstance() model.Instance {
	all := e.sim.s.Instances.Values()
	return all[e.draw("instance", len(all))]
}

func (e *exerciser) randomPool() model.PoolName {
	return []model.PoolName{"a", "b", "spare"}[e.draw("pool", 3)]
}

func (e *exerciser) step(kind int) {
	sim, i := e.sim, e.randomInstance()
	e.ids++
	switch kind {
	case 0, 1, 2:
		sim.runUntil(sim.now.Add(time.Duration(e.draw("seconds", 900))*time.Second), forever)
	case 3:
		sim.do(model.DrainInstance{Instance: i.ID})
	case 4:
		sim.do(model.ReturnInstance{Instance: i.ID, HeldBy: i.HeldBy})
	case 5:
		sim.do(model.StartMove{ID: model.MoveID(fmt.Sprint("m", e.ids)), Instance: i.ID, From: i.Pool, To: e.randomPool(), Lend: e.ids%2 == 0})
	case 6:
		id, _ := i.HeldByMove()
		sim.do(model.UndoMove{ID: id, Reason: "operator"})
	case 7, 8:
		sim.do(model.StartWave{ID: model.WaveID(fmt.Sprint("w", e.ids)), Pools: []model.PoolName{e.randomPool()}})
	case 9:
		for _, v := range sim.s.Waves.Values() {
			sim.do(model.SetWavePhase{ID: v.ID, Phase: model.WavePhase(1 + e.draw("wave phase", 4))})
		}
	case 10:
		e.injectFault(i)
	case 11:
		sim.changeLeader()
	case 12: // an earlier command again; half of the EndOperations report the opposite result
		c := e.history[e.draw("past", len(e.history))]
		if op, ok := c.(model.EndOperation); ok && e.ids%2 == 0 {
			op.Succeeded = !op.Succeeded
			c = op
		}
		if _, ok := c.(model.AcceptConfig); !ok {
			sim.do(c)
		}
	case 13:
		took, fails := time.Duration(e.draw("platform seconds", 900))*time.Second, e.draw("platform fails", 4) == 0
		sim.duration = func(model.PlatformAction) time.Duration { return took }
		sim.fails = func(model.PlatformAction) bool { return fails }
	case 14:
		sim.do(model.AcceptConfig{Base: sim.s.Revision, Config: e.config()})
	case 15: // the decision of an earlier leader is carried out late
		for _, c := range e.late.Commands {
			sim.do(c)
		}
		for _, a := range e.late.Actions {
			if a.Kind == model.ActionStartOperation {
				sim.startOperation(a)
			}
		}
		e.late = command.Reconcile(sim.s, sim.observe(), sim.now)
	}
}

// injectFault takes an instance, its rack (scope 1) or its data centre (scope 2) down,
// or gives the instance work in flight (scope 4).
func (e *exerciser) injectFault(hit model.Instance) {
	scope := e.draw("scope", 5)
	until := e.sim.now.Add(time.Duration(e.draw("down seconds", 3000)) * time.Second)
	if e.draw("for ever", 4) == 0 {
		until = never
	}
	for _, i := range e.sim.s.Instances.Values() {
		same := i.ID == hit.ID || (scope == 1 && i.Domain == hit.Domain) || (scope == 2 && i.Domain.DataCenter == hit.Domain.DataCenter)
		switch {
		case same && scope == 4:
			e.sim.machines[i.ID].busyUntil = until
		case same:
			e.sim.fail(i.ID, until)
		}
	}
}

// recover ends all faults and waves. Every instance that no operator holds must then
// return to service, which also requires that every move ends.
func (e *exerciser) recover() {
	sim := e.sim
	for _, v := range sim.s.Waves.Values() {
		sim.do(model.SetWavePhase{ID: v.ID, Phase: model.WaveCancelled})
	}
	for _, m := range sim.machines {
		m.downUntil, m.busyUntil = 0, 0
	}
	sim.fails = func(model.PlatformAction) bool { return false }
	sim.runUntil(sim.now.Add(3*time.Hour), forever)
	for _, i := range sim.s.Instances.Values() {
		if i.Phase != model.PhaseActive && i.HeldBy != model.HolderOperator {
			e.check.report("instance %s is still %s 3 h after the end of all faults, held by %q, operation %q", i.ID, i.Phase, i.HeldBy, i.Operation)
		}
	}
}

// Guards against planned work that exceeds a budget, an instance in two pools or with
// two holders, a repeated reboot, and planned work that never ends. The events come
// in random order.
func TestInvariantsHoldInAnyOrder(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		if err := exercise(t, nil); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a property test that does not detect violations: each violation
// that is injected on purpose must be detected in at least one run.
func TestInjectedViolationsAreDetected(t *testing.T) {
	violations := map[string]violation{
		"a drain that ignores the budget": func(sim *simulation, c model.Command, r result.Result) bool {
			d, ok := c.(model.DrainInstance)
			broken := ok && (r.Code == result.BudgetExceeded || r.Code == result.DomainLimit)
			if broken {
				sim.set(d.Instance, func(i *model.Instance) { i.Phase, i.HeldBy = model.PhaseDraining, model.HolderOperator })
			}
			return broken
		},
		"a second reboot": func(sim *simulation, c model.Command, r result.Result) bool {
			p, ok := c.(model.SetInstancePhase)
			broken := ok && r.Code == result.Accepted && p.From == model.PhaseVerifying && p.To == model.PhaseSoaking
			if broken {
				sim.set(p.Instance, func(i *model.Instance) { i.Phase = model.PhaseDrained })
			}
			return broken
		},
		"a move of a held instance": func(sim *simulation, c model.Command, r result.Result) bool {
			m, ok := c.(model.StartMove)
			broken := ok && r.Code == result.WrongPhase
			if broken {
				sim.s.Moves = sim.s.Moves.Set(m.ID, model.Move{ID: m.ID, Instance: m.Instance, From: m.From, To: m.To, Phase: model.MoveDraining})
			}
			return broken
		},
	}
	const seeds = 60
	detections := func(v violation) int {
		runs, n := rapid.Custom(func(t *rapid.T) error { return exercise(t, v) }), 0
		for seed := range seeds {
			if runs.Example(seed) != nil {
				n++
			}
		}
		return n
	}
	assert.Equal(t, detections(nil), 0)
	for name, v := range violations {
		n := detections(v)
		assert.Assert(t, n > 0, "%s was not detected in %d runs", name, seeds)
		t.Logf("%s: detected in %d of %d runs", name, n, seeds)
	}
}

// fixSeed makes runs reproducible unless the command line sets another seed.
func fixSeed(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		assert.NilError(t, flag.Set("rapid.seed", "20261204"))
	}
}
