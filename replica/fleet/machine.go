// Package fleet moves and maintains instances through the users' platform while
// this replica leads. It repeatedly compares the desired state of the fleet with
// the observed one, and holds no state that a new leader could not observe again.
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
	// pollInterval is the time between two passes over the fleet.
	pollInterval = 200 * time.Millisecond
	// listInterval is the time between two readings of the platform's list of instances.
	listInterval = 8 * time.Second
	// listRetry is the wait before a failed reading is repeated.
	listRetry = 2 * time.Second
	// orderRetry is the wait before an unconfirmed or refused order is repeated.
	orderRetry = time.Second
	// returnSlack is how much longer than MoveTime or UpkeepTime an instance may be
	// unavailable after an order.
	returnSlack = 2 * time.Second
	// handoverMargin is the margin added to OrderHandoverDelay between the orders of two
	// leaders.
	handoverMargin = 300 * time.Millisecond
	// clockTolerance is how much too old an order of an earlier leader may appear,
	// because the clocks of the two leaders differ or were stepped.
	clockTolerance = 10 * time.Second
	// settleTime is the longest time after an election during which no instance is
	// moved, because pools appear too small until their workers have reported.
	settleTime = 2 * time.Second
	// unreportedShare is the part of the instances whose workers need not have
	// reported for moves to begin before settleTime is over.
	unreportedShare = 0.05
	// retireDelay is how long an instance is surplus to the demand before runs on it
	// are stopped.
	retireDelay = time.Second
	// moveShare is the part of OrdersPerSecond that moves may use; the rest is left
	// for upkeep and retries.
	moveShare = 0.75
)

// Scheduler is the part of the scheduler that the machine uses. It runs on the same
// loop; its methods are called on the goroutine of the loop only.
type Scheduler interface {
	// Observe lists the instances whose workers have reported to this leader, with
	// the runs on them.
	Observe(now time.Time) []model.WorkerObservation
	// Serving reports whether a long-running task serves on a worker that reported
	// recently.
	Serving(now time.Time, task model.TaskRef) bool
	// SetCordons replaces the set of instances whose workers get no new runs.
	SetCordons(map[model.InstanceID]bool)
	// SetRetiring replaces the set of instances that are surplus to the demand of their
	// pool, each with the time since when it is. Their workers get work only if no
	// other worker can take it.
	SetRetiring(map[model.InstanceID]model.Timestamp)
	// StopRun has a run stopped by its worker.
	StopRun(model.RunRef)
	// MarkWorkerEnded marks all runs on an incarnation as ended.
	MarkWorkerEnded(now time.Time, id model.WorkerID)
}

// Settings configure the machine.
type Settings struct {
	// OrderHandoverDelay is the shortest time that the platform allows between orders
	// for one instance from two different processes.
	OrderHandoverDelay time.Duration
	// MoveTime and UpkeepTime are how long an instance is unavailable while it is
	// moved or maintained.
	MoveTime   time.Duration
	UpkeepTime time.Duration
	// OrdersPerSecond is the rate limit of the platform for orders.
	OrdersPerSecond float64
	Logger          *zap.Logger
}

// maxMoves returns the largest number of moves that are begun in one pass.
func (s Settings) maxMoves() int {
	return max(1, int(s.OrdersPerSecond*moveShare*pollInterval.Seconds()))
}

// Machine is the control state of the fleet. It implements loop.StateMachine; its
// state belongs to the goroutine of the loop.
type Machine struct {
	ctx       context.Context
	settings  Settings
	replica   replica.Replica
	detector  *clock.SuspendDetector
	scheduler Scheduler
	platform  Platform
	port      loop.Port

	term model.Term // term in which this replica leads; 0 if it does not lead
	// ledSince and ledSinceClock are the time at which this replica became leader, by
	// its steady clock and by the clock of the log.
	ledSince      time.Time
	ledSinceClock model.Timestamp
	nextTick      time.Time
	nextListAt    time.Time
	listing       bool
	listed        map[model.InstanceID]knownInstance
	// listCalledAt is when the last reading of the list was started.
	listCalledAt     time.Time
	workers          map[model.InstanceID]model.WorkerID // latest incarnations
	orders           map[model.InstanceID]*activeOrder
	cordonedSince    map[model.InstanceID]model.Timestamp
	retiringSince    map[model.InstanceID]model.Timestamp // since when instances are surplus to the demand
	idleSince        map[model.InstanceID]time.Time       // since when nothing runs on an instance
	pausedUntil      map[model.InstanceID]time.Time       // until when no order is given after a refusal
	unrecordedOrders []model.InstanceID                   // instances whose orders are not in the log yet
	// mayHaveBegun holds the upkeep that a dropped order of this leader may have begun.
	mayHaveBegun map[model.InstanceID]model.UpkeepNumber
}

// knownInstance is what the platform last reported about an instance, in its list
// or by confirming a move, and when.
type knownInstance struct {
	ListedInstance
	reportedAt time.Time
}

// activeOrder is an order for a move or an upkeep, from the decision until the
// instance is back.
type activeOrder struct {
	// worker is the incarnation that the order ends. It is kept from the decision on,
	// because the confirmation may arrive after the next incarnation has reported.
	worker      model.WorkerID
	upkeep      model.UpkeepNumber // 0 for a move
	from        model.PoolName     // of a move
	to          model.PoolName     // of a move
	startedAt   time.Time
	retryAt     time.Time // when an unconfirmed order is repeated; zero once confirmed
	inCall      bool      // the order is being recorded in the log or sent to the platform
	confirmedAt time.Time
	recorded    bool // whether the log says that the upkeep has begun
	// mayHaveBegun is set if the upkeep may have begun before the order was decided. The
	// incarnation worker may then have come after it.
	mayHaveBegun bool
	// unanswered is set if a call of this order had no answer, so that it may have been carried out.
	unanswered bool
}

// Messages to the machine.
type (
	listResult struct {
		term model.Term
		list InstanceList
		err  error
	}
	orderResult struct {
		term model.Term
		id   model.InstanceID
		err  error
	}
	ordersRecorded struct {
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

// New creates the machine and adds it to the loop, which must not run yet. The
// context ends its proposals and its platform calls.
func New(ctx context.Context, l *loop.Loop, r replica.Replica, detector *clock.SuspendDetector, s Scheduler, p Platform, settings Settings) *Machine {
	m := &Machine{ctx: ctx, settings: settings, replica: r, detector: detector, scheduler: s, platform: p}
	m.port = l.Add(m)
	return m
}

// Handle implements loop.StateMachine. It drops the results of calls that an earlier
// term started.
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
	case ordersRecorded:
		if msg.term == m.term {
			m.finishRecordOrders(now, msg)
		}
	case upkeepRecorded:
		if order := m.orders[msg.id]; msg.term == m.term && order != nil {
			order.recorded = msg.result.Code.OK()
		}
	}
}

// Deadline implements loop.StateMachine. It is the time of the next pass.
func (m *Machine) Deadline() time.Time { return m.nextTick }

// Flush implements loop.StateMachine. It only checks for an election; the work is done
// by Tick.
func (m *Machine) Flush(now time.Time) { m.checkLeadership(now) }

// checkLeadership resets the machine when the view of the replica shows an election.
func (m *Machine) checkLeadership(now time.Time) {
	v := m.replica.View()
	switch {
	case !v.IsLeader:
		m.term, m.nextTick = 0, time.Time{}
	case m.term != v.Term:
		m.term, m.nextTick = v.Term, now
		m.ledSince, m.ledSinceClock = v.LeaderSince, v.State.Clock
		m.nextListAt, m.listing, m.listed = now, false, map[model.InstanceID]knownInstance{}
		m.retiringSince = nil
		m.pausedUntil, m.unrecordedOrders = map[model.InstanceID]time.Time{}, nil
		m.mayHaveBegun = map[model.InstanceID]model.UpkeepNumber{}
		m.orders, m.cordonedSince, m.idleSince = map[model.InstanceID]*activeOrder{}, map[model.InstanceID]model.Timestamp{}, map[model.InstanceID]time.Time{}
	}
}

// Tick implements loop.StateMachine. It makes one pass over the fleet.
func (m *Machine) Tick(now time.Time) {
	m.checkLeadership(now)
	if m.term == 0 {
		return
	}
	m.nextTick = now.Add(pollInterval)
	v := m.replica.View()
	if v.State.Catalog == nil || !replica.IsConfirmedLeader(v, m.detector, now) {
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
	m.cordon(model.TimestampOf(now), emptied)
	m.recordOrders()
}
