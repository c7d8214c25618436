// Package fleet is the leader's half that moves and maintains instances
// through the platform. It compares what is wanted with what is observed, again
// and again, and holds nothing that a new leader could not observe anew.
package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/clock"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica"
)

const (
	// interval is the time between two looks at the fleet.
	pollInterval = 200 * time.Millisecond
	// listInterval is the time between two readings of the platform's list.
	listInterval = 8 * time.Second
	// listRetry is when a reading that failed is repeated.
	listRetry = 2 * time.Second
	// orderRetry is when an order that was not confirmed is repeated.
	orderRetry = time.Second
	// returnSlack is how much longer than stated an instance may be away.
	returnSlack = 2 * time.Second
	// dutyMargin is added to the pause between the orders of two leaders.
	dutyMargin = 300 * time.Millisecond
	// settleTime is the longest time after an election for which instances are not
	// moved, because pools look small until their workers have reported.
	settleTime = 2 * time.Second
	// unreportedShare is the part of the instances whose workers may be missing
	// when moves begin before that.
	unreportedShare = 0.05
	// retirePatience is how long an instance is beyond the demand before runs on
	// it are stopped.
	retireDelay = time.Second
	// moveShare is the part of the orders which the platform takes that moves may
	// use; the rest is left for upkeep and repetitions.
	moveShare = 0.75
)

// Scheduler is what the machine uses of the scheduling on the same loop.
type Scheduler interface {
	Observe(now time.Time) []model.ObservedInstance
	Present(now time.Time, task model.TaskRef) bool
	SetCordons(map[model.InstanceID]bool)
	SetRetiring(map[model.InstanceID]model.Timestamp)
	StopRun(model.RunRef)
	WorkerEnded(now time.Time, id model.WorkerID)
}

// Settings of the machine.
type Settings struct {
	// DutyPause is how long orders for an instance must not change between two
	// processes.
	DutyPause time.Duration
	// MoveTime and UpkeepTime are how long an instance is away.
	MoveTime   time.Duration
	UpkeepTime time.Duration
	// OrdersPerSecond bounds the orders that the platform takes.
	OrdersPerSecond float64
	Logger          *zap.Logger
}

// maxMoves is the number of moves that are begun in one look.
func (s Settings) maxMoves() int {
	return max(1, int(s.OrdersPerSecond*moveShare*pollInterval.Seconds()))
}

// Machine is the control state. It implements loop.Machine.
type Machine struct {
	ctx       context.Context
	settings  Settings
	replica   replica.Replica
	guard     *clock.Guard
	scheduler Scheduler
	platform  Platform
	port      loop.Port

	term       model.Term // of the leadership; 0 if this replica does not lead
	nextTick   time.Time
	nextListAt time.Time
	listing    bool
	listed     map[model.InstanceID]knownInstance
	// calledAt is when the last reading of the list was asked for.
	listCalledAt  time.Time
	workers       map[model.InstanceID]model.WorkerID // heard of last
	orders        map[model.InstanceID]*activeOrder
	cordonedSince map[model.InstanceID]model.Timestamp
	retiringSince map[model.InstanceID]model.Timestamp // since when instances get work last
	idleSince     map[model.InstanceID]time.Time       // since when nothing has run
	pausedUntil   map[model.InstanceID]time.Time       // until when a refused order is not repeated
	unannounced   []model.InstanceID                   // orders that are not announced yet
}

// known is what the platform has told of an instance, by its list or by
// confirming a move, and when.
type knownInstance struct {
	Listed
	reportedAt time.Time
}

// trip is an order to an instance until it is back.
type activeOrder struct {
	// worker is the incarnation that the order ends. A confirmation may come after
	// the next one has reported.
	worker      model.WorkerID
	upkeep      model.UpkeepNumber // 0 for a move
	from        model.PoolName     // of a move
	to          model.PoolName     // of a move
	startedAt   time.Time
	retryAt     time.Time // when an unconfirmed order is repeated; zero once confirmed
	inCall      bool
	confirmedAt time.Time
	recorded    bool // the upkeep is in the log
}

// Messages to the machine.
type (
	listResult struct {
		term model.Term
		list []Listed
		err  error
	}
	orderResult struct {
		term model.Term
		id   model.InstanceID
		err  error
	}
	announcementResult struct {
		term   model.Term
		ids    []model.InstanceID
		result result.Result
	}
	upkeepRecorded struct {
		term   model.Term
		id     model.InstanceID
		result result.Result
	}
)

// New adds the machine to the loop, which must not run yet.
func New(ctx context.Context, l *loop.Loop, r replica.Replica, guard *clock.Guard, s Scheduler, p Platform, settings Settings) *Machine {
	m := &Machine{ctx: ctx, settings: settings, replica: r, guard: guard, scheduler: s, platform: p}
	m.port = l.Add(m)
	return m
}

// Handle implements loop.Machine.
func (m *Machine) Handle(now time.Time, msg loop.Message) {
	m.checkLeadership(now)
	switch msg := msg.(type) {
	case listResult:
		if msg.term == m.term {
			m.finishList(now, msg)
		}
	case orderResult:
		if msg.term == m.term {
			m.finishOrder(now, msg)
		}
	case announcementResult:
		if msg.term == m.term {
			m.finishAnnouncement(now, msg)
		}
	case upkeepRecorded:
		if t := m.orders[msg.id]; msg.term == m.term && t != nil {
			t.recorded = msg.result.Code.OK()
		}
	}
}

// Deadline implements loop.Machine.
func (m *Machine) Deadline() time.Time { return m.nextTick }

// Flush implements loop.Machine.
func (m *Machine) Flush(now time.Time) { m.checkLeadership(now) }

// follow notices elections.
func (m *Machine) checkLeadership(now time.Time) {
	v := m.replica.View()
	switch {
	case !v.IsLeader:
		m.term, m.nextTick = 0, time.Time{}
	case m.term != v.Term:
		m.term, m.nextTick = v.Term, now
		m.nextListAt, m.listing, m.listed = now, false, map[model.InstanceID]knownInstance{}
		m.retiringSince = nil
		m.pausedUntil, m.unannounced = map[model.InstanceID]time.Time{}, nil
		m.orders, m.cordonedSince, m.idleSince = map[model.InstanceID]*activeOrder{}, map[model.InstanceID]model.Timestamp{}, map[model.InstanceID]time.Time{}
	}
}

// Tick implements loop.Machine.
func (m *Machine) Tick(now time.Time) {
	m.checkLeadership(now)
	if m.term == 0 {
		return
	}
	m.nextTick = now.Add(pollInterval)
	v := m.replica.View()
	if v.State.Catalog == nil || !replica.Leads(v, m.guard, now) {
		return
	}
	if !m.listing && !now.Before(m.nextListAt) {
		m.list(now)
	}
	instances := m.observe(now)
	emptied := m.maintain(now, v.State, instances)
	if now.Sub(v.LeaderSince) >= settleTime || m.mostReported(instances) {
		m.scale(now, v.State, instances)
	}
	m.retryOrders(now)
	m.cordon(model.At(now), emptied)
	m.announce()
}
