package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// machine is the simulated condition of an instance, as opposed to its recorded
// state.
type machine struct {
	downUntil model.Timestamp // 0 when up, never when it will not return
	downSince model.Timestamp
	busyUntil model.Timestamp // end of the work in flight
}

// never is a time after the end of every run.
const never = model.Timestamp(1) << 60

// platformOperation is an operation that the fake platform has received.
type platformOperation struct {
	instance model.InstanceID
	kind     model.OperationKind
	endsAt   model.Timestamp
	fails    bool
}

// simulation runs the production code against simulated machines and a fake platform
// on a virtual clock.
type simulation struct {
	s           model.State
	now         model.Timestamp
	leaderSince model.Timestamp
	machines    map[model.InstanceID]*machine
	operations  map[model.OperationID]*platformOperation
	reports     map[model.OperationID]model.OperationReport        // platform answers that the leader has received
	queried     map[model.InstanceID]model.InstanceObservation     // platform answers about instances
	starts      []model.PlatformAction                             // all requests to start an operation
	duration    func(model.PlatformAction) time.Duration           // duration of a platform operation
	fails       func(model.PlatformAction) bool                    // whether a platform operation fails
	downtime    time.Duration                                      // from the end of a reboot until the instance is up
	load        func(model.InstanceID, model.Timestamp) int        // work in flight while in service; may be nil
	override    func(*simulation, []model.Command) []model.Command // replaces commands of the production code; may be nil
	// applied is called after every command, with the state before and after it.
	applied func(before, after model.State, c model.Command, r result.Result)
}

func newSimulation(c model.Config) *simulation {
	sim := &simulation{
		now: 1_000_000, leaderSince: 1_000_000, machines: map[model.InstanceID]*machine{},
		operations: map[model.OperationID]*platformOperation{}, reports: map[model.OperationID]model.OperationReport{},
		queried:  map[model.InstanceID]model.InstanceObservation{},
		duration: func(model.PlatformAction) time.Duration { return 30 * time.Second },
		fails:    func(model.PlatformAction) bool { return false }, downtime: 30 * time.Second,
	}
	sim.do(model.AcceptConfig{Config: c})
	for id := range sim.s.Instances.All() {
		sim.machines[id] = &machine{}
	}
	return sim
}

// do applies a command to the state, as replicas apply a committed command.
func (sim *simulation) do(c model.Command) result.Result {
	before := sim.s
	var r result.Result
	sim.s, r = command.Apply(sim.s, sim.s.Index+1, 1, model.Envelope{Time: sim.now, Actor: "test", Command: c})
	if sim.applied != nil {
		sim.applied(before, sim.s, c, r)
	}
	return r
}

// changeLeader discards what a leader holds in memory only: the platform's answers and
// the heartbeats received before this time.
func (sim *simulation) changeLeader() {
	sim.leaderSince = sim.now
	clear(sim.reports)
	clear(sim.queried)
}

// fail takes a machine down and ends its work in flight.
func (sim *simulation) fail(id model.InstanceID, until model.Timestamp) {
	m := sim.machines[id]
	if m.downUntil <= sim.now {
		m.downSince = sim.now
	}
	m.downUntil, m.busyUntil = max(m.downUntil, until), 0
}

// observe returns the leader's observations. The last heartbeat of a machine that is
// up is set one hour ahead, so that the clock need not stop at every heartbeat.
func (sim *simulation) observe() model.Observations {
	o := model.Observations{LeaderSince: sim.leaderSince, Instances: map[model.InstanceID]model.InstanceObservation{}, Operations: sim.reports}
	for id, m := range sim.machines {
		seen := sim.queried[id]
		seen.ReportedAt = sim.now
		if m.busyUntil > sim.now {
			seen.InFlight = 1
		}
		if sim.load != nil && sim.instance(id).Available() {
			seen.InFlight = sim.load(id, sim.now)
		}
		if m.downUntil <= sim.now {
			seen.LastSeen = sim.now.Add(time.Hour)
		} else if m.downSince >= sim.leaderSince {
			seen.LastSeen = m.downSince
		}
		o.Instances[id] = seen
	}
	return o
}

// settle reconciles until nothing changes at the current time. It returns the time
// of the next decision.
func (sim *simulation) settle() model.Timestamp {
	for range 100 {
		d := command.Reconcile(sim.s, sim.observe(), sim.now)
		if sim.override != nil {
			d.Commands = sim.override(sim, d.Commands)
		}
		index, changed := sim.s.Index, false
		for _, c := range d.Commands {
			changed = sim.do(c).Code == result.Accepted || changed
		}
		for _, a := range d.Actions {
			sim.execute(a)
			changed = true
		}
		if !changed {
			if sim.s.Index != index || d.Next == 0 {
				return sim.now.Add(5 * time.Second) // nothing accepted or nothing scheduled: decide again later, as the production code does
			}
			return d.Next
		}
	}
	panic("reconciliation does not settle within 100 decisions")
}

// execute executes a platform action.
func (sim *simulation) execute(a model.PlatformAction) {
	if a.Kind == model.ActionQueryInstance {
		seen := sim.queried[a.Instance]
		seen.QueriedAt = sim.now
		if sim.machines[a.Instance].downUntil <= sim.now {
			seen.UpAt = sim.now
		} else {
			seen.DownAt = sim.now
		}
		sim.queried[a.Instance] = seen
		return
	}
	if a.Kind == model.ActionStartOperation {
		sim.startOperation(a)
	}
	r := model.OperationReport{State: model.OperationAbsent, At: sim.now}
	if op := sim.operations[a.Operation]; op != nil {
		switch {
		case op.endsAt > sim.now:
			r.State = model.OperationRunning
		case op.fails:
			r.State = model.OperationFailed
		default:
			r.State = model.OperationSucceeded
		}
	}
	sim.reports[a.Operation] = r
}

// startOperation starts an operation on the fake platform. Like the platform, it is
// idempotent by the ID of the operation.
func (sim *simulation) startOperation(a model.PlatformAction) {
	sim.starts = append(sim.starts, a)
	if sim.operations[a.Operation] == nil {
		op := &platformOperation{instance: a.Instance, kind: a.OperationKind, endsAt: sim.now.Add(sim.duration(a)), fails: sim.fails(a)}
		sim.operations[a.Operation] = op
		if op.kind == model.OperationReboot && !op.fails {
			sim.fail(op.instance, op.endsAt.Add(sim.downtime))
		}
	}
}

// runUntil reconciles and then advances the clock to the next decision, end of an
// outage or end of work, until the clock reaches end or stop returns true.
func (sim *simulation) runUntil(end model.Timestamp, stop func() bool) {
	for sim.now < end && !stop() {
		next := min(sim.settle(), end)
		for _, m := range sim.machines {
			for _, t := range []model.Timestamp{m.downUntil, m.busyUntil} {
				if t > sim.now {
					next = min(next, t)
				}
			}
		}
		sim.now = max(next, sim.now+1)
	}
}

// forever never stops a run before its end.
func forever() bool { return false }

func (sim *simulation) wave(t *testing.T, id model.WaveID) model.Wave {
	t.Helper()
	v, ok := sim.s.Waves.Get(id)
	assert.Assert(t, ok, "no wave %s", id)
	return v
}

func (sim *simulation) instance(id model.InstanceID) model.Instance {
	i, _ := sim.s.Instances.Get(id)
	return i
}

// set edits an instance without a command.
func (sim *simulation) set(id model.InstanceID, edit func(*model.Instance)) {
	i := sim.instance(id)
	edit(&i)
	sim.s.Instances = sim.s.Instances.Set(id, i)
}
