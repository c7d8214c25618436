package command

import (
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/command/credit"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query/ownership"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
)

// Messages from and to other entry instances.
type (
	// peerReport is a report of a holder; reply has room for the answer.
	peerReport struct {
		report credit.Report
		reply  chan peerAnswer
	}
	peerAnswer struct {
		grants []credit.Grant
		ok     bool
	}
	// reportAnswered ends a report of this holder; ok is false if it was lost.
	reportAnswered struct {
		report credit.Report
		grants []credit.Grant
		ok     bool
	}
	// peerHandover is a handover to this owner; reply has room for the count of those used.
	peerHandover struct {
		list  []credit.Handover
		reply chan int
	}
)

// handlePeer applies the messages about credits.
func (m *Machine) handlePeer(now time.Time, msg loop.Message) {
	switch msg := msg.(type) {
	case peerReport:
		grants, ok := m.owner.Take(now, msg.report)
		msg.reply <- peerAnswer{grants, ok}
	case reportAnswered:
		m.takeAnswer(now, msg.report, msg.grants, msg.ok)
	case peerHandover:
		used := 0
		for _, h := range msg.list {
			if m.owner.Receive(now, h) {
				used++
			}
		}
		msg.reply <- used
	case heartbeat:
		m.takeHeartbeat(now, msg.Heartbeat, msg.forwarded)
	}
}

// renew takes a lease only once the view is as new as the lease demands, so
// that an owner never acts on older members.
func (m *Machine) renew(now time.Time) {
	r := m.lease
	if r.Epoch == 0 || m.traffic.Index < r.Index {
		return
	}
	m.lease.Epoch = 0
	self := credit.Member{Entry: m.id, Epoch: r.Epoch}
	if !m.quit {
		m.owner.Renew(self, r.Until)
	}
	if self != m.self {
		m.self, m.leaseUntil = self, time.Time{}
		m.holder.Become(self)
		m.changeOwnership(now)
	}
	if r.Until.After(m.leaseUntil) {
		m.leaseUntil = r.Until
		m.holder.Renew(r.Until)
	}
	m.dirty = true
}

// changeOwnership tells both halves of the credits about the view.
func (m *Machine) changeOwnership(now time.Time) {
	v := credit.View{Members: m.traffic.Entries, Slots: make(map[credit.Key]int, m.traffic.Targets.Len())}
	limit := m.slotLimit()
	for _, t := range m.traffic.Targets.All() {
		key := credit.Key{Target: t.ID, Generation: t.Generation}
		v.Slots[key] = 0 // an instance that has not learned that the target leaves gets no credit
		if t.Phase == model.TargetReady {
			v.Slots[key] = min(t.Slots, limit)
		}
	}
	for to, list := range m.owner.Change(now, v) {
		m.effects.handOver(m.address(to), list)
	}
	m.holder.Change(v)
	m.rearm = true
}

func (m *Machine) address(to credit.Member) string {
	e, _ := m.traffic.Entries.Get(to.Entry)
	return e.Address
}

// sync sends the reports that are due. Those to this instance itself are
// answered at once.
func (m *Machine) sync(now time.Time) {
	if !m.rearm && (m.nextReport.IsZero() || now.Before(m.nextReport)) {
		return
	}
	reports := m.holder.Reports(now)
	m.allowConnections(now)
	for _, r := range reports {
		if r.To == m.self {
			grants, ok := m.owner.Take(now, r)
			m.takeAnswer(now, r, grants, ok)
			continue
		}
		m.effects.report(m.address(r.To), r)
	}
	m.plan(now)
	m.rearm = false
	m.nextReport = m.holder.Deadline(now)
}

// allowConnections lets the connections to each target follow the slots held. It
// comes before a report that returns slots, so that the connections are closed
// before another instance may use the slots. It also tells how long requests may
// be written.
func (m *Machine) allowConnections(now time.Time) {
	for _, t := range m.targets {
		t.credit.set(t.account.Until())
		if n := max(t.account.Granted(now), t.account.InUse()); n != t.allowed {
			t.allowed = n
			m.effects.allow(t.destination(), n)
		}
	}
}

// takeAnswer uses the credits that an owner granted.
func (m *Machine) takeAnswer(now time.Time, r credit.Report, grants []credit.Grant, ok bool) {
	m.rearm = true
	if !ok {
		m.holder.Lost(r)
		return
	}
	m.holder.Answer(now, r, grants)
	m.allowConnections(now)
	for _, s := range m.services {
		if s.queued > 0 {
			m.dispatch(now, s)
		}
	}
}

// takeHeartbeat keeps a heartbeat if this instance owns the target, else it
// passes the heartbeat on to the owner, once.
func (m *Machine) takeHeartbeat(now time.Time, b credit.Heartbeat, forwarded bool) {
	e, ok := ownership.Of(m.traffic.Entries, b.Key.Target, "")
	to := credit.Member{Entry: e.ID, Epoch: e.Epoch}
	switch {
	case !ok:
	case to == m.self:
		m.owner.Beat(now, b)
	case !forwarded:
		m.forwards[to] = append(m.forwards[to], b)
	}
}

// announceLost tells the control state about silent targets that this instance owns.
func (m *Machine) announceLost(now time.Time) {
	if !now.Before(m.leaseUntil) {
		return
	}
	for _, key := range m.owner.Silent(now, m.silence()) {
		t, ok := m.traffic.Targets.Get(key.Target)
		if !ok || t.Phase != model.TargetReady {
			continue
		}
		event.TargetLost.Log(m.log, zap.String("target", string(t.ID)), zap.Uint64("generation", t.Generation))
		t.Phase = model.TargetLost
		m.effects.propose(model.AnnounceTarget{Target: t})
	}
}

// silence is the longest time without a heartbeat of a target.
func (m *Machine) silence() time.Duration {
	return credit.Silence(credit.Pace(m.traffic.Targets.Len(), m.traffic.Entries.Len()))
}
