// Package fleet is the leader's half that moves and maintains instances
// through the platform. It compares what is wanted with what is observed, again
// and again, and holds nothing that a new leader could not observe anew.
package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/command/maintain"
	"lacewingturn.example/core/command/scale"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/clock"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica"
)

const (
	// interval is the time between two looks at the fleet.
	interval = 200 * time.Millisecond
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
	// settleTime is how long after an election instances are not moved, because
	// pools look small until their workers have reported.
	settleTime = 2 * time.Second
	// retirePatience is how long an instance is beyond the demand before runs on
	// it are stopped.
	retirePatience = time.Second
	// maxMoves is the number of moves that are begun in one look.
	maxMoves = 8
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
	Logger     *zap.Logger
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

	term    model.Term // of the leadership; 0 if this replica does not lead
	next    time.Time
	listAt  time.Time
	listing bool
	listed  map[model.InstanceID]Listed
	workers map[model.InstanceID]model.WorkerID // heard of last
	trips   map[model.InstanceID]*trip
	cordons map[model.InstanceID]model.Timestamp
	retired map[model.InstanceID]model.Timestamp // since when instances get work last
	idle    map[model.InstanceID]time.Time       // since when nothing has run
	paused  map[model.InstanceID]time.Time       // until when a refused order is not repeated
	fresh   []model.InstanceID                   // orders that are not announced yet
}

// trip is an order to an instance until it is back.
type trip struct {
	// worker is the incarnation that the order ends. A confirmation may come after
	// the next one has reported.
	worker    model.WorkerID
	upkeep    model.UpkeepNumber // 0 for a move
	from      model.PoolName     // of a move
	to        model.PoolName     // of a move
	began     time.Time
	retryAt   time.Time // when an unconfirmed order is repeated; zero once confirmed
	calling   bool
	confirmed time.Time
	recorded  bool // the upkeep is in the log
}

// Messages to the machine.
type (
	listedAll struct {
		term model.Term
		list []Listed
		err  error
	}
	ordered struct {
		term model.Term
		id   model.InstanceID
		err  error
	}
	announced struct {
		term   model.Term
		ids    []model.InstanceID
		result result.Result
	}
	recorded struct {
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
	m.follow(now)
	switch msg := msg.(type) {
	case listedAll:
		if msg.term == m.term {
			m.finishList(now, msg)
		}
	case ordered:
		if msg.term == m.term {
			m.finishOrder(now, msg)
		}
	case announced:
		if msg.term == m.term {
			m.finishAnnouncement(now, msg)
		}
	case recorded:
		if t := m.trips[msg.id]; msg.term == m.term && t != nil {
			t.recorded = msg.result.Code.OK()
		}
	}
}

// Deadline implements loop.Machine.
func (m *Machine) Deadline() time.Time { return m.next }

// Flush implements loop.Machine.
func (m *Machine) Flush(now time.Time) { m.follow(now) }

// follow notices elections.
func (m *Machine) follow(now time.Time) {
	v := m.replica.View()
	switch {
	case !v.IsLeader:
		m.term, m.next = 0, time.Time{}
	case m.term != v.Term:
		m.term, m.next = v.Term, now
		m.listAt, m.listing, m.listed = now, false, map[model.InstanceID]Listed{}
		m.retired = nil
		m.paused, m.fresh = map[model.InstanceID]time.Time{}, nil
		m.trips, m.cordons, m.idle = map[model.InstanceID]*trip{}, map[model.InstanceID]model.Timestamp{}, map[model.InstanceID]time.Time{}
	}
}

// Tick implements loop.Machine.
func (m *Machine) Tick(now time.Time) {
	m.follow(now)
	if m.term == 0 {
		return
	}
	m.next = now.Add(interval)
	v := m.replica.View()
	if v.State.Catalog == nil || !replica.Leads(v, m.guard, now) {
		return
	}
	if !m.listing && !now.Before(m.listAt) {
		m.list()
	}
	instances := m.observe(now)
	m.maintain(now, v.State, instances)
	if now.Sub(v.LeaderSince) >= settleTime {
		m.scale(now, v.State, instances)
	}
	m.repeatOrders(now)
	m.announce()
}

// maintain carries out orders for upkeep.
func (m *Machine) maintain(now time.Time, s model.State, instances []model.ObservedInstance) {
	in := maintain.Input{
		Now: model.At(now), Instances: instances, Down: map[model.InstanceID]bool{}, Cordoned: m.cordons,
		Present: func(t model.TaskRef) bool { return m.scheduler.Present(now, t) },
		Allowed: func(t model.TaskRef) (int, int) {
			w, _ := s.Workloads.Get(t.Workload)
			return w.Steps[t.Step].Count, w.Steps[t.Step].Missable
		},
	}
	for _, u := range s.Upkeeps.All() {
		if !u.Complete() {
			in.Upkeeps = append(in.Upkeeps, u)
		}
	}
	for id, t := range m.trips {
		in.Down[id] = t.upkeep != 0
	}
	for id, last := range s.Orders.All() {
		// The order of an earlier leader may have been for upkeep.
		if last.Term != m.term && in.Now.Sub(last.At) < m.settings.UpkeepTime+returnSlack {
			in.Down[id] = true
		}
	}
	d := maintain.Decide(in)
	m.cordon(in.Now, d)
	for _, run := range d.Stop {
		m.scheduler.StopRun(run)
	}
	for _, u := range d.Begin {
		if m.trips[u.Instance] == nil {
			m.begin(now, u.Instance, &trip{upkeep: u.Number})
		}
	}
}

// cordon keeps new runs from instances that are being emptied or are away.
func (m *Machine) cordon(now model.Timestamp, d maintain.Decision) {
	next, all := map[model.InstanceID]model.Timestamp{}, map[model.InstanceID]bool{}
	for _, id := range d.Cordon {
		since, ok := m.cordons[id]
		if !ok {
			since = now
		}
		next[id], all[id] = since, true
	}
	for id := range m.trips {
		all[id] = true
	}
	m.cordons = next
	m.scheduler.SetCordons(all)
}

// begin notes an order that is announced and given at the end of the look.
func (m *Machine) begin(now time.Time, id model.InstanceID, t *trip) {
	t.began, t.calling, t.worker = now, true, m.workers[id]
	m.trips[id] = t
	m.fresh = append(m.fresh, id)
}

// announce records the new orders in the log. They are given once that is committed.
func (m *Machine) announce() {
	if len(m.fresh) == 0 {
		return
	}
	ids, term := m.fresh, m.term
	m.fresh = nil
	go func() {
		r := m.propose(model.RecordOrders{Instances: ids})
		// The loop has ended if the message cannot be sent.
		_ = m.port.Send(m.ctx, announced{term, ids, r})
	}()
}

func (m *Machine) propose(c model.Command) result.Result {
	results, err := m.replica.Propose(m.ctx, []model.Envelope{{Command: c}})
	if err != nil {
		return result.New(result.Internal, "%v", err)
	}
	return results[0]
}

func (m *Machine) finishAnnouncement(now time.Time, msg announced) {
	for _, id := range msg.ids {
		t := m.trips[id]
		if t == nil {
			continue
		}
		if !msg.result.Code.OK() || !replica.Leads(m.replica.View(), m.guard, now) {
			delete(m.trips, id)
			continue
		}
		m.call(id, t)
	}
}

// mayOrder reports whether the platform's pause since an order of an earlier
// leader for the instance is over.
func (m *Machine) mayOrder(now time.Time, s model.State, id model.InstanceID) bool {
	last, ok := s.Orders.Get(id)
	return !ok || last.Term == m.term || max(model.At(now), s.Clock).Sub(last.At) > m.settings.DutyPause+dutyMargin
}

func (m *Machine) call(id model.InstanceID, t *trip) {
	t.calling = true
	term := m.term
	go func() {
		var err error
		if t.upkeep != 0 {
			err = m.platform.Maintain(m.ctx, id, t.upkeep, term)
		} else {
			err = m.platform.Move(m.ctx, id, t.to, term)
		}
		// The loop has ended if the message cannot be sent.
		_ = m.port.Send(m.ctx, ordered{term, id, err})
	}()
}

// finishOrder takes the platform's answer to an order.
func (m *Machine) finishOrder(now time.Time, msg ordered) {
	t := m.trips[msg.id]
	if t == nil {
		return
	}
	t.calling = false
	fields := []zap.Field{zap.String("id", string(msg.id)), zap.Int64("upkeep", int64(t.upkeep)), zap.String("from", string(t.from)), zap.String("to", string(t.to)), zap.Uint64("token", uint64(m.term))}
	if msg.err == nil {
		event.InstanceOrdered.Log(m.settings.Logger, fields...)
		t.confirmed, t.retryAt = now, time.Time{}
		m.scheduler.WorkerEnded(now, t.worker)
		if t.upkeep != 0 {
			m.record(msg.id, t)
		}
		return
	}
	event.InstanceOrderFailed.Log(m.settings.Logger, append(fields, zap.Error(msg.err))...)
	if refused, ok := msg.err.(Refused); ok {
		delete(m.trips, msg.id)
		m.paused[msg.id] = now.Add(orderRetry)
		if refused.Unknown && t.upkeep != 0 {
			m.record(msg.id, t) // an instance that is gone needs no upkeep
		}
		m.listAt = now
		return
	}
	t.retryAt = now.Add(orderRetry)
}

// record writes to the log that an upkeep has begun.
func (m *Machine) record(id model.InstanceID, t *trip) {
	term := m.term
	command := model.BeginUpkeep{Number: t.upkeep, Instance: id}
	go func() { _ = m.port.Send(m.ctx, recorded{term, id, m.propose(command)}) }()
}

// repeatOrders repeats orders that were not confirmed, and forgets the trips of
// instances that are back.
func (m *Machine) repeatOrders(now time.Time) {
	for id, t := range m.trips {
		switch {
		case t.calling:
		case t.confirmed.IsZero():
			if !t.retryAt.IsZero() && !now.Before(t.retryAt) {
				m.call(id, t)
			}
		case t.upkeep != 0 && !t.recorded:
			if now.Sub(t.confirmed) > orderRetry && now.Sub(t.began) > m.settings.UpkeepTime {
				m.record(id, t)
			}
		}
	}
}

// scale lets pools follow their demand.
func (m *Machine) scale(now time.Time, s model.State, instances []model.ObservedInstance) {
	d := scale.Decide(m.scaleInput(now, s, instances))
	m.retire(model.At(now), d.Retire, instances)
	for n, move := range d.Moves {
		if n >= maxMoves {
			return
		}
		m.begin(now, move.Instance, &trip{from: move.From, to: move.To})
	}
}

// retire lets instances beyond the demand get work last. Runs that keep their
// progress are stopped after a while, so that they go on elsewhere.
func (m *Machine) retire(now model.Timestamp, ids []model.InstanceID, instances []model.ObservedInstance) {
	next := map[model.InstanceID]model.Timestamp{}
	for _, id := range ids {
		since, ok := m.retired[id]
		if !ok {
			since = now
		}
		next[id] = since
	}
	m.retired = next
	m.scheduler.SetRetiring(next)
	for _, o := range instances {
		since, ok := next[o.ID]
		if !ok || now.Sub(since) < retirePatience {
			continue
		}
		for _, r := range o.Runs {
			if r.Checkpointing && !r.Lasting && !r.Stopping {
				m.scheduler.StopRun(r.Run)
			}
		}
	}
}
