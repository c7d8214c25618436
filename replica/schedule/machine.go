// Package schedule is the leader's scheduler for workers: it takes their reports,
// plans the starts of runs, commits ends and starts to the log, and only then
// answers. It keeps no durable state of its own; after an election the new leader
// rebuilds what it needs from the log and the reports.
package schedule

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/command/near"
	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/core/table"
	"lacewingturn.example/node/clock"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica"
)

// Settings configure the machine.
type Settings struct {
	// MaxLease is the longest lease that workers accept; it caps the lease granted.
	MaxLease time.Duration
	// StopTimeout is the longest time that a worker takes to stop a run; 0 if it is not known.
	StopTimeout time.Duration
	// RemoteDataFactor is how many times longer a task runs far from its data.
	RemoteDataFactor float64
	// Advisor is nil where there is no policy service.
	Advisor Advisor
	Metrics *Metrics
	Logger  *zap.Logger
}

// Machine is the control state of the scheduler. It implements loop.StateMachine; its
// state belongs to the goroutine of the loop.
type Machine struct {
	ctx      context.Context
	settings Settings
	replica  replica.Replica
	port     loop.Port
	detector *clock.SuspendDetector

	view *replica.View
	term model.Term // term in which this replica leads; 0 if it does not lead
	// leaderSince is when this replica became leader. Leases granted by earlier
	// leaders are assumed to start then.
	leaderSince time.Time
	// inherited holds the runs that were assigned when this replica became leader, by worker.
	// What their workers have listed to earlier leaders is not known here.
	inherited table.Table[model.WorkerID, model.Assignment]
	// endedSince is the earliest end of a workload whose runs workers may still have, with a
	// lease of an earlier leader, when the term begins. It is a time of the replicated clock.
	endedSince model.Timestamp
	// capLoggedAt is when the log last said that the cap of an account holds work back.
	capLoggedAt map[model.AccountName]time.Time
	workers     map[model.WorkerID]*worker
	// byName, byInstance and byAddress hold the incarnation that holds each name, instance
	// and address; see claim.
	byName     map[string]*worker
	byInstance map[model.InstanceID]*worker
	byAddress  map[string]*worker
	// endedAt holds the incarnations that have ended or announced their shutdown, with
	// the time by which their runs have certainly ended.
	endedAt  map[model.WorkerID]time.Time
	refusals refusals
	avoided  avoided
	// cordons holds the instances whose workers get no new runs.
	cordons map[model.InstanceID]bool
	// stopping holds the runs that their workers are told to stop. It lacks the stops of earlier
	// leaders; see mayBeStopping.
	stopping map[model.RunRef]bool
	advice   advice
	// nextPreemptAt is the time of the next preemption pass.
	nextPreemptAt time.Time

	// nextExpiryCheck is the time of the next check for lost runs. Leases are only
	// ever extended, so an earlier check would find no lost run among those that were
	// assigned at the last check; markEnded brings it forward.
	nextExpiryCheck time.Time
	// plannedIndex is the index of the state of the last planning pass, passedAt its time.
	// plannedAt is passedAt, or zero if a report has shown more free capacity since.
	plannedIndex model.Index
	plannedAt    time.Time
	passedAt     time.Time
	prunedAt     time.Time // of the last pass of pruneEnded
	// medianSpeeds holds the median speed of the workers of each pool, computed at
	// mediansAt.
	medianSpeeds map[model.PoolName]float64
	mediansAt    time.Time
	// near is what the last planning pass decided about waits for near places.
	near near.History
	// waits holds the waits of near for other goroutines.
	waits atomic.Pointer[map[model.WorkloadID][]model.StepWait]
	// awayTime is the moving average of the time from the last report of an incarnation
	// until the next one of its instance reports; 0 if it is not known yet.
	awayTime time.Duration

	pending    []pendingReport
	committing *cycle // the cycle that is being committed; nil if none is
	// logged holds the workloads whose end was logged for the last committed cycle.
	logged   map[model.WorkloadID]bool
	deadline time.Time
}

// pendingReport is a worker's report that has not been answered.
type pendingReport struct {
	worker     *worker
	report     Report
	receivedAt time.Time
	// ackCursor is the position of the last end that was taken.
	ackCursor int64
	reply     chan<- answer // buffered for one value, so that sending never blocks
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

// New creates the machine and adds it to the loop, which must not run yet. The
// context ends its proposals and its calls of the policy service.
func New(ctx context.Context, l *loop.Loop, r replica.Replica, detector *clock.SuspendDetector, settings Settings) *Machine {
	m := &Machine{ctx: ctx, settings: settings, replica: r, detector: detector}
	m.port = l.Add(m)
	return m
}

// Handle implements loop.StateMachine. It drops the results of calls that an earlier
// term started.
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

// Tick implements loop.StateMachine. The work that is due is done by Flush, which the
// loop calls after it.
func (m *Machine) Tick(now time.Time) { m.checkLeadership() }

// Deadline implements loop.StateMachine. While runs are assigned it returns the time
// of the next check for lost runs.
func (m *Machine) Deadline() time.Time { return m.deadline }

// Flush implements loop.StateMachine. It starts the next scheduling cycle unless one
// is being committed.
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

// checkLeadership starts or ends the leader's work when the view of the replica
// shows an election.
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
		m.settings.Metrics.accounts.reset()
		m.near = near.History{}
		m.publishWaits()
	case m.term != v.Term:
		m.startLeading(v)
	}
}

// startLeading discards everything observed under earlier terms.
func (m *Machine) startLeading(v *replica.View) {
	m.refuseAll(errNotLeader)
	m.term, m.leaderSince, m.inherited = v.Term, v.LeaderSince, v.State.Assignments
	m.endedSince = min(v.State.Clock, model.TimestampOf(v.LeaderSince)).Add(-leaseEnd(time.Time{}, m.lease()).Sub(time.Time{}))
	event.SchedulingBegun.Log(m.settings.Logger, zap.Uint64("term", uint64(v.Term)), zap.Uint64("state", uint64(v.State.Index)), zap.Duration("lease", m.lease()))
	m.workers, m.endedAt = map[model.WorkerID]*worker{}, map[model.WorkerID]time.Time{}
	m.byName, m.byInstance, m.byAddress = map[string]*worker{}, map[model.InstanceID]*worker{}, map[string]*worker{}
	m.refusals = refusals{}
	m.avoided, m.cordons, m.stopping = avoided{}, nil, map[model.RunRef]bool{}
	m.advice = newAdvice()
	m.capLoggedAt = map[model.AccountName]time.Time{}
	m.near, m.awayTime = near.History{Waits: near.Waits{}}, 0
	m.publishWaits()
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
	for _, p := range list {
		p.reply <- answer{err: err}
	}
}
