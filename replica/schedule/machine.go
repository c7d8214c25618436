// Package schedule is the leader's half that drives workers: it takes their
// reports, plans the starts of runs, commits ends and starts to the log, and
// only then answers. What it holds is observed anew after each election.
package schedule

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/clock"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica"
)

// Settings of the machine.
type Settings struct {
	// LeaseMax is the longest lease that workers accept.
	LeaseMax time.Duration
	// FarFactor is how many times as long tasks take far from their data.
	FarFactor float64
	// Advisor is nil where there is no policy service.
	Advisor Advisor
	Metrics *Metrics
	Logger  *zap.Logger
}

// Machine is the control state of the scheduling. It implements loop.Machine.
type Machine struct {
	ctx      context.Context
	settings Settings
	replica  replica.Replica
	port     loop.Port
	guard    *clock.Guard

	view *replica.View
	term model.Term // of the leadership; 0 if this replica does not lead
	// leaderSince is when this replica became leader; leases that an earlier
	// leader granted count from then.
	leaderSince time.Time
	workers     map[model.WorkerID]*worker
	byName      map[string]*worker
	byInstance  map[model.InstanceID]*worker
	byAddress   map[string]*worker
	endedAt     map[model.WorkerID]time.Time
	avoided     avoided
	// cordons are the instances whose workers get no new runs; stopping the runs
	// that workers are told to stop.
	cordons  map[model.InstanceID]bool
	stopping map[model.RunRef]bool
	tickets  tickets
	// preemptAt is when runs may next be stopped for more urgent work.
	nextPreemptAt time.Time

	// expiryAt is when the first assigned run may count as lost. Leases only get
	// longer, so that it is never too late.
	nextExpiryCheck time.Time
	// plannedIndex and plannedAt tell the state and the time of the last plan.
	plannedIndex model.Index
	plannedAt    time.Time
	// typical is the median speed of the workers of each pool.
	medianSpeeds map[model.PoolName]float64
	mediansAt    time.Time

	pending    []pendingReport
	committing *cycle // the turn that is being committed; nil if none is
	// logged holds the workloads whose end was logged in the turn that was
	// committed last.
	logged   map[model.WorkloadID]bool
	deadline time.Time
}

// waiter is a worker's report that has not been answered.
type pendingReport struct {
	worker     *worker
	report     Report
	receivedAt time.Time
	reply      chan<- answer // takes one value without waiting
}

type answer struct {
	orders Orders
	err    error
}

// Messages to the machine.
type (
	reported struct {
		report Report
		reply  chan<- answer
	}
	departed struct {
		name  string
		reply chan<- answer
	}
	committed struct {
		term    model.Term
		results []result.Result
		err     error
	}
)

// New adds the machine to the loop, which must not run yet.
func New(ctx context.Context, l *loop.Loop, r replica.Replica, guard *clock.Guard, settings Settings) *Machine {
	m := &Machine{ctx: ctx, settings: settings, replica: r, guard: guard}
	m.port = l.Add(m)
	return m
}

// Handle implements loop.Machine.
func (m *Machine) Handle(now time.Time, msg loop.Message) {
	m.checkLeadership()
	switch msg := msg.(type) {
	case reported:
		m.report(now, msg)
	case departed:
		m.depart(now, msg)
	case committed:
		m.finishCommit(now, msg)
	case advised:
		if msg.term == m.term {
			m.storeAdvice(now, msg)
		}
	}
}

// Tick implements loop.Machine.
func (m *Machine) Tick(now time.Time) { m.checkLeadership() }

// Deadline implements loop.Machine.
func (m *Machine) Deadline() time.Time { return m.deadline }

// Flush implements loop.Machine. It starts the next turn unless one is being committed.
func (m *Machine) Flush(now time.Time) {
	m.checkLeadership()
	m.deadline = time.Time{}
	if m.term == 0 {
		return
	}
	if m.committing == nil {
		m.runCycle(now)
	}
	if m.view.State.Assignments.Len() > 0 {
		m.deadline = compare.Later(m.nextExpiryCheck, now.Add(expiryCheckInterval))
	}
}

// follow notices elections.
func (m *Machine) checkLeadership() {
	v := m.replica.View()
	if v == m.view {
		return
	}
	m.view = v
	switch {
	case !v.IsLeader:
		if m.term != 0 {
			m.refuseAll(errNotLeader)
			event.SchedulingEnded.Log(m.settings.Logger, zap.Uint64("term", uint64(m.term)))
		}
		m.term, m.workers = 0, nil
	case m.term != v.Term:
		m.startLeading(v)
	}
}

func (m *Machine) startLeading(v *replica.View) {
	m.refuseAll(errNotLeader)
	m.term, m.leaderSince = v.Term, v.LeaderSince
	event.SchedulingBegun.Log(m.settings.Logger, zap.Uint64("term", uint64(v.Term)), zap.Uint64("state", uint64(v.State.Index)), zap.Duration("lease", m.lease()))
	m.workers, m.endedAt = map[model.WorkerID]*worker{}, map[model.WorkerID]time.Time{}
	m.byName, m.byInstance, m.byAddress = map[string]*worker{}, map[model.InstanceID]*worker{}, map[string]*worker{}
	m.avoided, m.cordons, m.stopping = avoided{}, nil, map[model.RunRef]bool{}
	m.tickets = newTickets()
	m.nextExpiryCheck, m.plannedAt, m.mediansAt = time.Time{}, time.Time{}, time.Time{}
}

func (m *Machine) refuseAll(err error) {
	refuse(m.pending, err)
	if m.committing != nil {
		refuse(m.committing.pending, err)
	}
	m.pending, m.committing = nil, nil
}

func refuse(list []pendingReport, err error) {
	for _, w := range list {
		w.reply <- answer{err: err}
	}
}
