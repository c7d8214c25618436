package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// machine is what an instance really does, as opposed to what the state says.
type machine struct {
	downUntil model.Timestamp // 0 when up, never when it will not come back
	downSince model.Timestamp
	busyUntil model.Timestamp // work in flight
}

const never = model.Timestamp(1) << 60

// job is an operation that the fake platform has received.
type job struct {
	instance model.InstanceID
	kind     model.OperationKind
	endsAt   model.Timestamp
	fails    bool
}

// world runs the production decisions against fake instances and a fake
// platform on a virtual clock.
type world struct {
	s           model.State
	now         model.Timestamp
	leaderSince model.Timestamp
	machines    map[model.InstanceID]*machine
	jobs        map[model.OperationID]*job
	reports     map[model.OperationID]model.OperationReport // what the leader was told
	asked       map[model.InstanceID]model.Observed
	puts        []model.PlatformAction
	duration    func(model.PlatformAction) time.Duration // how long the platform takes
	fails       func(model.PlatformAction) bool
	downtime    time.Duration                                 // from the end of a reboot until the instance is up
	load        func(model.InstanceID, model.Timestamp) int   // work in flight while in service; may be nil
	choose      func(*world, []model.Command) []model.Command // replaces choices of the production code; may be nil
	// applied sees every command with the state before and after it.
	applied func(before, after model.State, c model.Command, r result.Result)
}

func newWorld(c model.Config) *world {
	w := &world{
		now: 1_000_000, leaderSince: 1_000_000, machines: map[model.InstanceID]*machine{},
		jobs: map[model.OperationID]*job{}, reports: map[model.OperationID]model.OperationReport{},
		asked:    map[model.InstanceID]model.Observed{},
		duration: func(model.PlatformAction) time.Duration { return 30 * time.Second },
		fails:    func(model.PlatformAction) bool { return false }, downtime: 30 * time.Second,
	}
	w.do(model.AcceptConfig{Config: c})
	for id := range w.s.Instances.All() {
		w.machines[id] = &machine{}
	}
	return w
}

func (w *world) do(c model.Command) result.Result {
	before := w.s
	var r result.Result
	w.s, r = command.Apply(w.s, w.s.Index+1, 1, model.Envelope{Time: w.now, Actor: "test", Command: c})
	if w.applied != nil {
		w.applied(before, w.s, c, r)
	}
	return r
}

func (w *world) changeLeader() {
	w.leaderSince = w.now
	clear(w.reports)
	clear(w.asked)
}

func (w *world) fail(id model.InstanceID, until model.Timestamp) {
	m := w.machines[id]
	if m.downUntil <= w.now {
		m.downSince = w.now
	}
	m.downUntil, m.busyUntil = max(m.downUntil, until), 0
}

// observe is what the leader sees. An instance that is up is taken as seen for
// the next hour, so that the replay need not stop for every heartbeat.
func (w *world) observe() model.Observations {
	o := model.Observations{LeaderSince: w.leaderSince, Instances: map[model.InstanceID]model.Observed{}, Operations: w.reports}
	for id, m := range w.machines {
		seen := w.asked[id]
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

// settle ends what has ended and lets the production code decide until it has
// nothing more to do at this moment. It returns when to look again.
func (w *world) settle() model.Timestamp {
	for range 100 {
		d := command.Reconcile(w.s, w.observe(), w.now)
		if w.choose != nil {
			d.Commands = w.choose(w, d.Commands)
		}
		index, changed := w.s.Index, false
		for _, c := range d.Commands {
			changed = w.do(c).Code == result.Accepted || changed
		}
		for _, a := range d.Actions {
			w.call(a)
			changed = true
		}
		if !changed {
			if w.s.Index != index || d.Next == 0 {
				return w.now.Add(5 * time.Second) // all refused: try again later, as the machine does
			}
			return d.Next
		}
	}
	panic("the decisions do not settle")
}

// call runs a platform action.
func (w *world) call(a model.PlatformAction) {
	if a.Kind == model.ActionQueryInstance {
		seen := w.asked[a.Instance]
		seen.QueriedAt = w.now
		if w.machines[a.Instance].downUntil <= w.now {
			seen.UpAt = w.now
		} else {
			seen.DownAt = w.now
		}
		w.asked[a.Instance] = seen
		return
	}
	if a.Kind == model.ActionStartOperation {
		w.put(a)
	}
	r := model.OperationReport{State: model.OperationAbsent, At: w.now}
	if j := w.jobs[a.Operation]; j != nil {
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

// put is idempotent by the ID of the operation, as the platform is.
func (w *world) put(a model.PlatformAction) {
	w.puts = append(w.puts, a)
	if w.jobs[a.Operation] == nil {
		j := &job{instance: a.Instance, kind: a.OperationKind, endsAt: w.now.Add(w.duration(a)), fails: w.fails(a)}
		w.jobs[a.Operation] = j
		if j.kind == model.OperationReboot && !j.fails {
			w.fail(j.instance, j.endsAt.Add(w.downtime))
		}
	}
}

// runUntil advances the clock from one moment of interest to the next.
func (w *world) runUntil(end model.Timestamp, stop func() bool) {
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

func forever() bool { return false }

func (w *world) wave(t *testing.T, id model.WaveID) model.Wave {
	t.Helper()
	v, ok := w.s.Waves.Get(id)
	assert.Assert(t, ok, "no wave %s", id)
	return v
}

func (w *world) instance(id model.InstanceID) model.Instance {
	i, _ := w.s.Instances.Get(id)
	return i
}

// set edits an instance behind the back of the commands.
func (w *world) set(id model.InstanceID, edit func(*model.Instance)) {
	i := w.instance(id)
	edit(&i)
	w.s.Instances = w.s.Instances.Set(id, i)
}
