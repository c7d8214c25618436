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
	reports     map[model.OperationID]model.OperationReport // platform answers that the leader has received
	queried     map[model.InstanceID]model.InstanceObservation
	starts      []model.PlatformAction
	duration    func(model.PlatformAction) time.Duration // duration of a platform operation
	fails       func(model.PlatformAction) bool
	downtime    time.Duration                                      // from the end of a reboot until the instance is up
	load        func(model.InstanceID, model.Timestamp) int        // work in flight while in service; may be nil
	override    func(*simulation, []model.Command) []model.Command // replaces commands of the production code; may be nil
	// applied is called after every command, with the state before and after it.
	applied func(before, after model.State, c model.Command, r result.Result)
}

func newSimulation(c model.Config) *simulation {
	w := &simulation{
		now: 1_000_000, leaderSince: 1_000_000, machines: map[model.InstanceID]*machine{},
		operations: map[model.OperationID]*platformOperation{}, reports: map[model.OperationID]model.OperationReport{},
		queried:  map[model.InstanceID]model.InstanceObservation{},
		duration: func(model.PlatformAction) time.Duration { return 30 * time.Second },
		fails:    func(model.PlatformAction) bool { return false }, downtime: 30 * time.Second,
	}
	w.do(model.AcceptConfig{Config: c})
	for id := range w.s.Instances.All() {
		w.machines[id] = &machine{}
	}
	return w
}

// do applies a command to the state, as the log would.
func (w *simulation) do(c model.Command) result.Result {
	before := w.s
	var r result.Result
	w.s, r = command.Apply(w.s, w.s.Index+1, 1, model.Envelope{Time: w.now, Actor: "test", Command: c})
	if w.applied != nil {
		w.applied(before, w.s, c, r)
	}
	return r
}

// changeLeader drops everything that only the leader knows.
func (w *simulation) changeLeader() {
	w.leaderSince = w.now
	clear(w.reports)
	clear(w.queried)
}

// fail takes a machine down and ends its work in flight.
func (w *simulation) fail(id model.InstanceID, until model.Timestamp) {
	m := w.machines[id]
	if m.downUntil <= w.now {
		m.downSince = w.now
	}
	m.downUntil, m.busyUntil = max(m.downUntil, until), 0
}

// observe returns the leader's observations. The last heartbeat of a machine that is
// up is set one hour ahead, so that the clock need not stop at every heartbeat.
func (w *simulation) observe() model.Observations {
	o := model.Observations{LeaderSince: w.leaderSince, Instances: map[model.InstanceID]model.InstanceObservation{}, Operations: w.reports}
	for id, m := range w.machines {
		seen := w.queried[id]
		seen.ReportedAt = w.now
		if m.busyUntil > w.now {
			seen.InFlight = 1
		}
		if w.load != nil && w.instance(id).Available() {
			seen.InFlight = w.load(id, w.now)
		}
		if m.downUntil <= w.now {
			seen.LastSeen = w.now.Add(time.Hour)
		} else if m.downSince >= w.leaderSince {
			seen.LastSeen = m.downSince
		}
		o.Instances[id] = seen
	}
	return o
}

// settle reconciles until nothing changes at the current time. It returns the time
// of the next decision.
func (w *simulation) settle() model.Timestamp {
	for range 100 {
		d := command.Reconcile(w.s, w.observe(), w.now)
		if w.override != nil {
			d.Commands = w.override(w, d.Commands)
		}
		index, changed := w.s.Index, false
		for _, c := range d.Commands {
			changed = w.do(c).Code == result.Accepted || changed
		}
		for _, a := range d.Actions {
			w.execute(a)
			changed = true
		}
		if !changed {
			if w.s.Index != index || d.Next == 0 {
				return w.now.Add(5 * time.Second) // all commands refused: retry later, as the production code does
			}
			return d.Next
		}
	}
	panic("reconciliation does not settle within 100 decisions")
}

// call executes a platform action.
func (w *simulation) execute(a model.PlatformAction) {
	if a.Kind == model.ActionQueryInstance {
		seen := w.queried[a.Instance]
		seen.QueriedAt = w.now
		if w.machines[a.Instance].downUntil <= w.now {
			seen.UpAt = w.now
		} else {
			seen.DownAt = w.now
		}
		w.queried[a.Instance] = seen
		return
	}
	if a.Kind == model.ActionStartOperation {
		w.startOperation(a)
	}
	r := model.OperationReport{State: model.OperationAbsent, At: w.now}
	if j := w.operations[a.Operation]; j != nil {
		switch {
		case j.endsAt > w.now:
			r.State = model.OperationRunning
		case j.fails:
			r.State = model.OperationFailed
		default:
			r.State = model.OperationSucceeded
		}
	}
	w.reports[a.Operation] = r
}

// startOperation starts an operation on the fake platform. Like the platform, it is
// idempotent by the ID of the operation.
func (w *simulation) startOperation(a model.PlatformAction) {
	w.starts = append(w.starts, a)
	if w.operations[a.Operation] == nil {
		j := &platformOperation{instance: a.Instance, kind: a.OperationKind, endsAt: w.now.Add(w.duration(a)), fails: w.fails(a)}
		w.operations[a.Operation] = j
		if j.kind == model.OperationReboot && !j.fails {
			w.fail(j.instance, j.endsAt.Add(w.downtime))
		}
	}
}

// runUntil advances the clock to the next decision or end of an outage or of work,
// until the end or until stop returns true.
func (w *simulation) runUntil(end model.Timestamp, stop func() bool) {
	for w.now < end && !stop() {
		next := min(w.settle(), end)
		for _, m := range w.machines {
			for _, t := range []model.Timestamp{m.downUntil, m.busyUntil} {
				if t > w.now {
					next = min(next, t)
				}
			}
		}
		w.now = max(next, w.now+1)
	}
}

// forever never stops a run before its end.
func forever() bool { return false }

func (w *simulation) wave(t *testing.T, id model.WaveID) model.Wave {
	t.Helper()
	v, ok := w.s.Waves.Get(id)
	assert.Assert(t, ok, "no wave %s", id)
	return v
}

func (w *simulation) instance(id model.InstanceID) model.Instance {
	i, _ := w.s.Instances.Get(id)
	return i
}

// set edits an instance without a command.
func (w *simulation) set(id model.InstanceID, edit func(*model.Instance)) {
	i := w.instance(id)
	edit(&i)
	w.s.Instances = w.s.Instances.Set(id, i)
}
