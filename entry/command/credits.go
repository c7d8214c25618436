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

// Messages exchanged with other entry instances.
type (
	// peerReport carries the report of a holder. The channel reply has capacity for
	// one peerReply.
	peerReport struct {
		report credit.Report
		reply  chan peerReply
	}
	peerReply struct {
		grants []credit.Grant
		ok     bool
	}
	// reportReply completes a report of this holder. If ok is false, the report was
	// refused or lost.
	reportReply struct {
		report credit.Report
		grants []credit.Grant
		ok     bool
	}
	// peerHandover carries handovers to this owner. The channel reply has capacity
	// for one value, the number of handovers accepted.
	peerHandover struct {
		list  []credit.Handover
		reply chan int
	}
)

// handlePeer handles the messages about credits and heartbeats.
func (m *Machine) handlePeer(now time.Time, msg loop.Message) {
	switch msg := msg.(type) {
	case peerReport:
		grants, ok := m.owner.ApplyReport(now, msg.report)
		msg.reply <- peerReply{grants, ok}
	case reportReply:
		m.applyGrants(now, msg.report, msg.grants, msg.ok)
	case peerHandover:
		used := 0
		for _, h := range msg.list {
			if m.owner.ApplyHandover(now, h) {
				used++
			}
		}
		msg.reply <- used
	case heartbeat:
		m.handleHeartbeat(now, msg.Heartbeat, msg.forwarded)
	}
}

// renew applies a pending lease once the traffic view has reached the index of
// the lease, so that an owner never acts on an outdated list of members.
func (m *Machine) renew(now time.Time) {
	r := m.lease
	if r.Epoch == 0 || m.traffic.Index < r.Index {
		return
	}
	m.lease.Epoch = 0
	self := credit.Member{Entry: m.id, Epoch: r.Epoch}
	if !m.ownershipEnded {
		m.owner.Renew(self, r.Until)
	}
	if self != m.self {
		m.self, m.leaseUntil = self, time.Time{}
		m.holder.SetIdentity(self)
		m.updateOwnership(now)
	}
	if r.Until.After(m.leaseUntil) {
		m.leaseUntil = r.Until
		m.holder.Renew(r.Until)
	}
	m.dirty = true
}

// updateOwnership applies the traffic view to the owner and the holder of slot
// credits, and sends the handovers that follow from it.
func (m *Machine) updateOwnership(now time.Time) {
	v := credit.View{Members: m.traffic.Entries, Slots: make(map[credit.TargetIncarnation]int, m.traffic.Targets.Len())}
	limit := m.slotLimit()
	for _, t := range m.traffic.Targets.All() {
		key := credit.TargetIncarnation{Target: t.ID, Generation: t.Generation}
		v.Slots[key] = 0 // a target that leaves: grant nothing, also to holders that still see it as ready
		if t.Phase == model.TargetReady {
			v.Slots[key] = min(t.Slots, limit)
		}
	}
	for to, list := range m.owner.ApplyView(now, v) {
		m.effects.handOver(m.address(to), list)
	}
	m.holder.ApplyView(v)
	m.syncNeeded = true
}

func (m *Machine) address(to credit.Member) string {
	e, _ := m.traffic.Entries.Get(to.Entry)
	return e.Address
}

// sync sends the credit reports that are due. A report for which this instance
// is itself the owner is applied directly.
func (m *Machine) sync(now time.Time) {
	if !m.syncNeeded && (m.nextReport.IsZero() || now.Before(m.nextReport)) {
		return
	}
	reports := m.holder.Reports(now)
	m.updateConnectionLimits(now)
	for _, r := range reports {
		if r.To == m.self {
			grants, ok := m.owner.ApplyReport(now, r)
			m.applyGrants(now, r, grants, ok)
			continue
		}
		m.effects.report(m.address(r.To), r)
	}
	m.plan(now)
	m.syncNeeded = false
	m.nextReport = m.holder.Deadline(now)
}

// updateConnectionLimits sets the connection limit of each target from the slots
// held there. It runs before a report that returns slots is sent, so that the
// connections are closed before another instance may use the slots. It also
// publishes the expiry of each credit to the traffic goroutines, which write no
// request after it.
func (m *Machine) updateConnectionLimits(now time.Time) {
	for _, t := range m.targets {
		t.credit.set(t.account.Until())
		if n := max(t.account.Granted(now), t.account.InUse()); n != t.connectionSlots {
			t.connectionSlots = n
			m.effects.limitConnections(t.destination(), n)
		}
	}
}

// applyGrants applies an owner's grants and dispatches queued requests on them.
func (m *Machine) applyGrants(now time.Time, r credit.Report, grants []credit.Grant, ok bool) {
	m.syncNeeded = true
	if !ok {
		m.holder.ReportFailed(r)
		return
	}
	m.holder.ApplyGrants(now, r, grants)
	m.updateConnectionLimits(now)
	for _, s := range m.services {
		if s.queued > 0 {
			m.dispatch(now, s)
		}
	}
}

// handleHeartbeat records a heartbeat if this instance owns the target. Otherwise
// it queues the heartbeat to be forwarded to the owner. It discards heartbeats that
// were already forwarded once and those of targets without an owner.
func (m *Machine) handleHeartbeat(now time.Time, b credit.Heartbeat, forwarded bool) {
	e, ok := ownership.Owner(m.traffic.Entries, b.Key.Target, "")
	to := credit.Member{Entry: e.ID, Epoch: e.Epoch}
	switch {
	case !ok:
	case to == m.self:
		m.owner.ApplyHeartbeat(now, b)
	case !forwarded:
		m.forwards[to] = append(m.forwards[to], b)
	}
}

// announceLost proposes to mark as lost each ready target that this instance
// owns and that has sent no heartbeat within the heartbeat timeout.
func (m *Machine) announceLost(now time.Time) {
	if !now.Before(m.leaseUntil) {
		return
	}
	for _, key := range m.owner.SilentTargets(now, m.heartbeatTimeout()) {
		t, ok := m.traffic.Targets.Get(key.Target)
		if !ok || t.Phase != model.TargetReady {
			continue
		}
		event.TargetLost.Log(m.log, zap.String("target", string(t.ID)), zap.Uint64("generation", t.Generation))
		t.Phase = model.TargetLost
		m.effects.propose(model.AnnounceTarget{Target: t})
	}
}

// heartbeatTimeout returns how long a target may send no heartbeat before it
// counts as lost.
func (m *Machine) heartbeatTimeout() time.Duration {
	return credit.HeartbeatTimeout(credit.HeartbeatInterval(m.traffic.Targets.Len(), m.traffic.Entries.Len()))
}
