// Package liveness tracks on the leader which entry instances renew their
// membership leases, and removes the instances whose lease has certainly expired.
package liveness

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/command/liveness"
	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica"
)

// removeTimeout limits one attempt to commit removals. A failed attempt is retried.
const removeTimeout = 2 * time.Second

// renewal is a renewal request of an entry instance. The reply channel has a buffer
// of one.
type renewal struct {
	request liveness.Renewal
	reply   chan reply
}

type reply struct {
	validFor time.Duration // validity of the renewed lease
	index    model.Index   // index of the latest change of the traffic view
	term     model.Term
	leader   bool   // this replica is the leader
	address  string // address of the leader, empty if unknown
	unknown  bool   // no member has the ID and epoch of the entry instance
}

// removalDone reports the end of an attempt to remove entry instances, successful
// or not.
type removalDone struct{}

// Machine is the loop.StateMachine that tracks the leases of the entry instances. It runs
// in the loop of the replica.
type Machine struct {
	replica   replica.Replica
	log       *zap.Logger
	port      loop.Port
	tracker   *liveness.Tracker
	term      model.Term
	lastView  *replica.View
	nextCheck time.Time
	removing  bool
	entries   atomic.Pointer[[]replica.EntryLiveness]
	ctx       context.Context
}

// New returns a Machine and adds it to l, the loop of the replica. Cancelling ctx
// ends its proposals.
func New(ctx context.Context, l *loop.Loop, r replica.Replica, log *zap.Logger) *Machine {
	m := &Machine{replica: r, log: log, ctx: ctx}
	m.port = l.Add(m)
	m.entries.Store(&[]replica.EntryLiveness{})
	return m
}

// Entries implements replica.Liveness. It may be called from any goroutine.
func (m *Machine) Entries() []replica.EntryLiveness { return *m.entries.Load() }

// Handle applies one message: a renewal or the end of a removal attempt.
func (m *Machine) Handle(now time.Time, msg loop.Message) {
	m.refresh(now)
	switch msg := msg.(type) {
	case renewal:
		msg.reply <- m.renew(now, msg)
	case removalDone:
		m.removing = false
		m.nextCheck = now.Add(liveness.DriftMargin)
	}
}

// Tick starts the removal of the entry instances whose lease has expired. At most
// one removal attempt runs at a time.
func (m *Machine) Tick(now time.Time) {
	m.refresh(now)
	m.nextCheck = time.Time{}
	if m.tracker == nil || m.removing {
		return
	}
	expired, nextCheck := m.tracker.Expired(now, m.replica.View().State.Entries.Values())
	m.nextCheck = nextCheck
	if len(expired) > 0 {
		m.removing = true
		go m.remove(expired)
	}
}

// Deadline returns the time of the next check for expired leases: the earliest time
// at which a lease may have expired, or the time to retry a removal. It is zero if
// no check is due.
func (m *Machine) Deadline() time.Time { return m.nextCheck }

// Flush updates the tracker and the published entries after a change of the
// leadership or of the entry instances.
func (m *Machine) Flush(now time.Time) { m.refresh(now) }

// refresh evaluates a new view of the replica. It creates a tracker when this
// replica becomes leader and discards it when leadership ends.
func (m *Machine) refresh(now time.Time) {
	v := m.replica.View()
	if v == m.lastView {
		return
	}
	entriesUnchanged := m.lastView != nil && m.lastView.State.Entries.Same(v.State.Entries)
	m.lastView = v
	switch {
	case !v.IsLeader:
		m.tracker, m.nextCheck = nil, time.Time{}
		m.publish(nil)
		return
	case m.tracker == nil || m.term != v.Term:
		m.tracker, m.term = liveness.NewTracker(), v.Term
	case entriesUnchanged:
		return
	}
	m.nextCheck = now
	m.publish(v)
}

// publish sets the list that Entries returns; it is empty if v is nil.
func (m *Machine) publish(v *replica.View) {
	out := []replica.EntryLiveness{}
	if v != nil {
		for _, e := range m.tracker.Renewals(v.State.Entries.Values()) {
			out = append(out, replica.EntryLiveness{ID: e.ID, Epoch: e.Epoch, Revision: e.Revision, RenewedAt: e.RenewedAt})
		}
	}
	m.entries.Store(&out)
}

func (m *Machine) renew(now time.Time, msg renewal) reply {
	v := m.replica.View()
	r := reply{term: v.Term, index: v.State.TrafficIndex, leader: v.IsLeader, address: v.LeaderAddress}
	if !v.IsLeader {
		return r
	}
	member, ok := v.State.Entries.Get(msg.request.ID)
	if !ok || member.Epoch != msg.request.Epoch {
		r.unknown = true
		return r
	}
	r.validFor = m.tracker.Renew(now, v.QuorumContact, msg.request)
	m.publish(v)
	return r
}

// remove commits the removal of the expired entry instances. It runs in its own
// goroutine and does not block the loop.
func (m *Machine) remove(expired []model.EntryMember) {
	ctx, cancel := context.WithTimeout(m.ctx, removeTimeout)
	defer cancel()
	commands := make([]model.Envelope, 0, len(expired))
	for _, e := range expired {
		commands = append(commands, model.Envelope{Actor: "liveness", Command: model.RemoveEntry{ID: e.ID, Epoch: e.Epoch}})
	}
	results, err := m.replica.Propose(ctx, commands)
	for i, r := range results {
		if err == nil && r.Code.OK() {
			event.EntryRemoved.Log(m.log, zap.String("entry", string(expired[i].ID)))
		}
	}
	if err != nil {
		event.EntryRemovalFailed.Log(m.log, zap.Error(err))
	}
	_ = m.port.Send(m.ctx, removalDone{})
}
