package credit

import (
	"time"

	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/query/ownership"
)

// Owner is the state of an entry instance in its role as owner of targets.
type Owner struct {
	self         Member
	lease        time.Time
	members      ownership.Members
	knownTargets map[TargetIncarnation]bool // targets of the last view; nil before the first
	targets      map[TargetIncarnation]*ownedTarget
	lastSequence map[Member]uint64 // sequence number of the last report
}

// ownedTarget is the state of one target at its owner.
type ownedTarget struct {
	slots      int
	ownedSince time.Time
	waitUntil  time.Time // before this, credits of another owner may be valid
	holders    map[Member]*holderState
	// pending lists holders that have not reported yet and may use slots not known here.
	pending map[Member]bool
	// unknownSince is when former members may have started their last request; zero if all
	// slots used by former members are known.
	unknownSince time.Time
	heartbeat    Heartbeat
	heartbeatAt  time.Time
}

// holderState is what an owner knows about one holder of one target.
type holderState struct {
	bound        int       // the largest number of slots in use or still to be taken
	granted      int       // slots of the last grant
	until        time.Time // end of the last grant
	inUse        int
	wanted       int
	reported     time.Time // zero if known from a handover or heartbeat only
	starvedSince time.Time // since when it has demand and no slot
	slotSince    time.Time // since when it has a slot
	removedAt    time.Time // when it ceased to be a member
}

// NewOwner returns an owner of no targets.
func NewOwner() *Owner {
	return &Owner{targets: map[TargetIncarnation]*ownedTarget{}, lastSequence: map[Member]uint64{}}
}

// Renew extends the lease of the owner. A new identity is a new incarnation and starts from an
// empty state.
func (o *Owner) Renew(self Member, until time.Time) {
	if self != o.self {
		*o = *NewOwner()
		o.self = self
	}
	if until.After(o.lease) {
		o.lease = until
	}
}

// View is the part of the control state that ownership depends on.
type View struct {
	Members ownership.Members
	// Slots is the number of slots of every announced target.
	Slots map[TargetIncarnation]int
}

// ApplyView applies a new view. It returns the handovers for the targets that now have another
// live owner, by recipient.
func (o *Owner) ApplyView(now time.Time, v View) map[Member][]Handover {
	if m, ok := v.Members.Get(o.self.Entry); !ok || o.self.Epoch == 0 || m.Epoch != o.self.Epoch {
		clear(o.targets)
		o.knownTargets = nil
		return nil
	}
	out := map[Member][]Handover{}
	for key, t := range o.targets {
		m, _ := ownership.Owner(v.Members, key.Target, "")
		if _, listed := v.Slots[key]; listed && m.ID == o.self.Entry {
			continue
		}
		if _, listed := v.Slots[key]; listed {
			to := Member{m.ID, m.Epoch}
			out[to] = append(out[to], o.handover(now, key, t))
		}
		delete(o.targets, key)
	}
	o.acquire(now, v)
	o.markRemoved(now, v.Members)
	o.members = v.Members
	o.knownTargets = make(map[TargetIncarnation]bool, len(v.Slots))
	for key := range v.Slots {
		o.knownTargets[key] = true
	}
	return out
}

// acquire adds the targets that the view assigns to this owner.
func (o *Owner) acquire(now time.Time, v View) {
	for key, slots := range v.Slots {
		if t := o.targets[key]; t != nil {
			t.slots = slots
			continue
		}
		if m, _ := ownership.Owner(v.Members, key.Target, ""); m.ID != o.self.Entry {
			continue
		}
		t := &ownedTarget{slots: slots, ownedSince: now, holders: map[Member]*holderState{}, pending: map[Member]bool{}}
		if !o.isNew(now, key) {
			t.unknownSince = now
			for id, m := range v.Members.All() {
				t.pending[Member{id, m.Epoch}] = true
			}
		}
		// Only an owner without an earlier view must wait for the credits of another owner.
		// An existing member acquires a target from another owner only by the removal of
		// that owner. A removal is committed only after the lease of the removed owner has
		// expired, and credits end with the lease.
		if o.knownTargets == nil {
			t.waitUntil = now.Add(MaxLease + ClockMargin)
		}
		o.targets[key] = t
	}
}

// isNew reports whether no other owner can have granted slots of the target: the target is not
// in the last view, this instance would have owned it in that view, and the lease of this
// instance has not expired, so that no other owner can have joined and left between the views.
func (o *Owner) isNew(now time.Time, key TargetIncarnation) bool {
	if o.knownTargets == nil || o.knownTargets[key] || !now.Before(o.lease) {
		return false
	}
	m, ok := ownership.Owner(o.members, key.Target, "")
	return ok && m.ID == o.self.Entry
}

// markRemoved records which holders have ceased to be members.
func (o *Owner) markRemoved(now time.Time, members ownership.Members) {
	live := func(m Member) bool {
		e, ok := members.Get(m.Entry)
		return ok && e.Epoch == m.Epoch
	}
	for _, t := range o.targets {
		for m, h := range t.holders {
			if h.removedAt.IsZero() && !live(m) {
				h.removedAt, h.wanted = now, 0
			}
		}
		for m := range t.pending {
			if !live(m) {
				delete(t.pending, m)
				t.unknownSince = now
			}
		}
	}
	for m := range o.lastSequence {
		if !live(m) {
			delete(o.lastSequence, m)
		}
	}
}

// EndLease ends the lease of an owner that shuts down. It returns when the last credit that the
// owner granted expires.
func (o *Owner) EndLease(now time.Time) time.Time {
	end := now
	for _, t := range o.targets {
		for _, h := range t.holders {
			end = compare.Later(end, h.until)
		}
	}
	o.lease = now
	return end
}

// SilentTargets returns the owned targets that have sent no heartbeat for longer than limit.
func (o *Owner) SilentTargets(now time.Time, limit time.Duration) []TargetIncarnation {
	var out []TargetIncarnation
	for key, t := range o.targets {
		if now.Sub(compare.Later(t.ownedSince, t.heartbeatAt)) > limit {
			out = append(out, key)
		}
	}
	return out
}

// LastHeartbeat returns how many requests the latest heartbeat of a target listed and when it
// arrived; the zero time if none has arrived since this owner acquired the target. It reports
// false if another instance owns the target.
func (o *Owner) LastHeartbeat(key TargetIncarnation) (running int, at time.Time, owned bool) {
	t := o.targets[key]
	if t == nil {
		return 0, time.Time{}, false
	}
	for _, slots := range t.heartbeat.Running {
		running += len(slots)
	}
	return running, t.heartbeatAt, true
}

// ApplyHeartbeat applies a heartbeat of a target. It ignores targets of other owners and
// heartbeats that are not newer than the last one.
func (o *Owner) ApplyHeartbeat(now time.Time, b Heartbeat) {
	t := o.targets[b.Key]
	if t == nil || b.Sequence <= t.heartbeat.Sequence {
		return
	}
	t.heartbeat, t.heartbeatAt = b, now
	t.reconcile(now)
}

// reconcile replaces unknown and outdated bounds by the slots that the heartbeat lists. It uses
// the list for a holder only if no request of that holder can have been on its way when the
// target made the list.
func (t *ownedTarget) reconcile(now time.Time) {
	settled := func(since time.Time) bool { return !now.Before(since.Add(SettleTime)) }
	for m, h := range t.holders {
		lastStart := h.until
		if h.removedAt.After(lastStart) {
			lastStart = h.removedAt
		}
		if settled(lastStart) {
			h.bound = len(t.heartbeat.Running[m])
			h.inUse = h.bound
		}
		if h.bound == 0 && !h.removedAt.IsZero() {
			delete(t.holders, m)
		}
	}
	if now.Before(t.waitUntil) {
		return
	}
	addListed := func(m Member, removedAt time.Time) {
		if n := len(t.heartbeat.Running[m]); n > 0 && t.holders[m] == nil {
			t.holders[m] = &holderState{bound: n, inUse: n, removedAt: removedAt}
		}
	}
	if settled(compare.Later(t.ownedSince, t.waitUntil)) {
		for m := range t.pending {
			addListed(m, time.Time{})
			delete(t.pending, m)
		}
	}
	if !t.unknownSince.IsZero() && settled(compare.Later(t.unknownSince, t.waitUntil)) {
		for m := range t.heartbeat.Running {
			addListed(m, now)
		}
		t.unknownSince = time.Time{}
	}
}
