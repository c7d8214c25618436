package reconcile

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica"
)

// Machine drives the reconciler. It implements loop.StateMachine, shares the loop of the
// replica and is idle unless the replica leads.
type Machine struct {
	ctx      context.Context
	replica  replica.Replica
	commands PlatformCommands
	queries  PlatformQueries
	log      *zap.Logger
	port     loop.Port

	term         model.Term // term in which this replica leads; 0 if it does not lead
	view         *replica.View
	observer     *observer
	ownership    ownershipCache
	nextTick     time.Time
	proposing    bool
	calls        map[model.PlatformAction]bool
	belowBudget  map[model.PoolName]bool // pools last logged as below their budget
	observations atomic.Pointer[model.Observations]
}

// New creates the machine and adds it to the loop of the replica, which must not run
// yet. The proposals and platform calls of the machine are cancelled when ctx ends.
func New(ctx context.Context, l *loop.Loop, r replica.Replica, c PlatformCommands, q PlatformQueries, log *zap.Logger) *Machine {
	m := &Machine{ctx: ctx, replica: r, commands: c, queries: q, log: log}
	m.observations.Store(&model.Observations{})
	m.port = l.Add(m)
	return m
}

// Report posts the report of an entry instance to the loop. It returns false if the
// mailbox is full; the caller need not retry, because the next report replaces the
// lost one.
func (m *Machine) Report(r EntryReport) bool { return m.port.TrySend(r) }

// Observations returns the observations that the last decision was based on, for
// queries. They are empty on replicas that do not lead. It may be called on any
// goroutine.
func (m *Machine) Observations() model.Observations { return *m.observations.Load() }

// Handle implements loop.StateMachine. Results that belong to an earlier term are dropped.
func (m *Machine) Handle(now time.Time, msg loop.Message) {
	m.checkLeadership(now)
	switch msg := msg.(type) {
	case EntryReport:
		if m.term != 0 {
			m.observer.addReport(model.TimestampOf(now), msg, m.ownership.inService(m.view.State, msg.Entry))
			m.wake(now.Add(ReportDelay))
		}
	case proposed:
		if msg.term == m.term {
			m.finishProposal(now, msg)
		}
	case called:
		if msg.term == m.term {
			m.finishCall(now, msg)
		}
	}
}

// Deadline implements loop.StateMachine. It is the time of the next decision.
func (m *Machine) Deadline() time.Time { return m.nextTick }

// Flush implements loop.StateMachine. It checks for changes of the leadership and the state.
func (m *Machine) Flush(now time.Time) { m.checkLeadership(now) }

// wake schedules a decision for the given time at the latest.
func (m *Machine) wake(at time.Time) { m.nextTick = compare.EarlierDeadline(m.nextTick, at) }

// checkLeadership starts and stops the reconciler with the leadership of this
// replica, and schedules a decision when a table that the reconciler reads has
// changed.
func (m *Machine) checkLeadership(now time.Time) {
	v := m.replica.View()
	if v == m.view {
		return
	}
	old := m.view
	m.view = v
	switch {
	case !v.IsLeader:
		m.term, m.nextTick, m.observer = 0, time.Time{}, nil
		m.observations.Store(&model.Observations{})
	case m.term != v.Term:
		m.term, m.observer, m.proposing = v.Term, newObserver(model.TimestampOf(v.LeaderSince)), false
		m.calls, m.belowBudget = map[model.PlatformAction]bool{}, map[model.PoolName]bool{}
		m.nextTick = now
	default:
		m.wakeOnChange(now, old.State, v.State)
	}
}

// wakeOnChange schedules a decision according to the tables that differ between two
// states.
func (m *Machine) wakeOnChange(now time.Time, a, b model.State) {
	if a.Revision != b.Revision || !a.Instances.Same(b.Instances) || !a.Waves.Same(b.Waves) || !a.Moves.Same(b.Moves) {
		m.logChanges(a, b)
		m.wake(now)
	}
	if x, y := a.JobIndex, b.JobIndex; !x.Queue.Same(y.Queue) || !x.Loads.Same(y.Loads) || !x.Teams.Same(y.Teams) {
		m.wake(now.Add(JobDelay))
	} else if !a.Jobs.Same(b.Jobs) {
		m.wake(now.Add(RenewalDelay))
	}
	if !a.Entries.Same(b.Entries) || !a.Targets.Same(b.Targets) {
		m.wake(now.Add(ReportDelay))
	}
}

// Tick implements loop.StateMachine. It decides on the next commands and platform calls.
func (m *Machine) Tick(now time.Time) {
	m.checkLeadership(now)
	m.nextTick = time.Time{}
	if m.term == 0 || m.proposing {
		return
	}
	state := m.view.State
	observed := m.observer.observations(state, model.TimestampOf(now))
	m.observations.Store(&observed)
	d := command.Reconcile(state, observed, model.TimestampOf(now))
	if d.Next != 0 {
		m.wake(time.UnixMilli(int64(d.Next)))
	}
	for _, a := range d.Actions {
		m.call(now, a)
	}
	if len(d.Commands) > 0 {
		m.propose(d.Commands)
	}
}

// propose commits the commands on a goroutine of its own, which posts the results to
// the loop. There is one proposal at a time.
func (m *Machine) propose(commands []model.Command) {
	m.proposing = true
	term := m.term
	envelopes := make([]model.Envelope, len(commands))
	for i, c := range commands {
		envelopes[i] = model.Envelope{Actor: "reconciler", Command: c}
	}
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, ProposeTimeout)
		defer cancel()
		results, err := m.replica.Propose(ctx, envelopes)
		_ = m.port.Send(m.ctx, proposed{term: term, commands: commands, results: results, err: err})
	}()
}

// finishProposal schedules the next decision: at once if a command changed the state,
// else after RetryDelay, so that a command that is always refused does not fill the
// log.
func (m *Machine) finishProposal(now time.Time, msg proposed) {
	m.proposing = false
	if msg.err != nil {
		event.ProposalFailed.Log(m.log, zap.Error(msg.err))
		m.wake(now.Add(RetryDelay))
		return
	}
	at := now.Add(RetryDelay)
	for i, r := range msg.results {
		switch {
		case r.Code == result.Accepted:
			at = now
		case !r.Code.OK():
			event.CommandRefused.Log(m.log, zap.Any("command", msg.commands[i]), zap.String("result", r.Error()))
		}
		if c, ok := msg.commands[i].(model.EndOperation); ok && r.Code.OK() {
			delete(m.observer.operations, c.Operation)
		}
	}
	m.wake(at)
}

// call runs the platform action on a goroutine of its own, which posts the result to
// the loop. It does nothing if the action is in progress or MaxCalls are.
func (m *Machine) call(now time.Time, a model.PlatformAction) {
	if m.calls[a] || len(m.calls) >= MaxCalls {
		return
	}
	m.calls[a] = true
	if a.Kind == model.ActionQueryInstance {
		m.observer.markQueried(model.TimestampOf(now), a.Instance)
	}
	done := called{term: m.term, action: a}
	go func() {
		switch a.Kind {
		case model.ActionStartOperation:
			done.report.State = model.OperationRunning
			done.err = m.commands.Start(m.ctx, a)
		case model.ActionQueryOperation:
			done.report, done.err = m.queries.Operation(m.ctx, a.Operation)
		case model.ActionQueryInstance:
			done.up, done.err = m.queries.Instance(m.ctx, a.Instance)
		}
		_ = m.port.Send(m.ctx, done)
	}()
}

// finishCall stores the result of a platform call and schedules a decision.
func (m *Machine) finishCall(now time.Time, msg called) {
	delete(m.calls, msg.action)
	if msg.err != nil {
		event.PlatformUnreachable.Log(m.log, zap.String("instance", string(msg.action.Instance)),
			zap.String("operation", string(msg.action.Operation)), zap.Error(msg.err))
		msg.report = model.OperationReport{State: model.OperationUnreachable, Reason: msg.err.Error()}
	}
	if msg.action.Kind != model.ActionQueryInstance {
		msg.report.At = model.TimestampOf(now)
		m.observer.operations[msg.action.Operation] = msg.report
	} else if msg.err == nil {
		m.observer.recordAnswer(model.TimestampOf(now), msg.action.Instance, msg.up)
	}
	m.wake(now)
}
