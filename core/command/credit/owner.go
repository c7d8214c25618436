package credit

import (
	"time"

	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/query/ownership"
)

// Owner is the state of an entry instance as owner of targets.
type Owner struct {
	self    Member
	lease   time.Time
	members ownership.Members
	known   map[Key]bool // targets of the last view; nil before the first
	targets map[Key]*owned
	seen    map[Member]uint64 // sequence of the last report
}

// owned is one target of an owner.
type owned struct {
	slots   int
	since   time.Time
	wait    time.Time // before this, credits of another owner may be valid
	holders map[Member]*holding
	// pending holders may use slots not known here; they have not reported yet.
	pending map[Member]bool
	// unknownSince is when holders that are gone may have started their last
	// request; zero if the slots of all such holders are known.
	unknownSince time.Time
	beat         Heartbeat
	beatAt       time.Time
}

// holding is what an owner knows about one holder of one target.
type holding struct {
	bound    int       // no more slots than this are in use or can be taken
	granted  int       // last grant
	until    time.Time // end of the last grant
	inUse    int
	wanted   int
	reported time.Time // zero if known from a handover or heartbeat only
	hungry   time.Time // since when it has demand and no slot
	held     time.Time // since when it has a slot
	gone     time.Time // when it ceased to be a member
}

// NewOwner returns an owner of nothing.
func NewOwner() *Owner {
	return &Owner{targets: map[Key]*owned{}, seen: map[Member]uint64{}}
}

// Renew extends the lease of the owner. A new epoch is a new life that knows nothing.
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
	// Slots of every announced target.
	Slots map[Key]int
}

// Change follows a new view. It returns a handover, with its recipient, for
// each target that has another live owner now.
func (o *Owner) Change(now time.Time, v View) map[Member][]Handover {
	if m, ok := v.Members.Get(o.self.Entry); !ok || o.self.Epoch == 0 || m.Epoch != o.self.Epoch {
		clear(o.targets)
		o.known = nil
		return nil
	}
	out := map[Member][]Handover{}
	for key, t := range o.targets {
		m, _ := ownership.Of(v.Members, key.Target, "")
		if _, listed := v.Slots[key]; listed && m.ID == o.self.Entry {
			continue
		}
		if _, listed := v.Slots[key]; listed {
			to := Member{m.ID, m.Epoch}
			out[to] = append(out[to], o.handover(now, key, t))
		}
		delete(o.targets, key)
	}
	o.gain(now, v)
	o.retire(now, v.Members)
	o.members = v.Members
	o.known = make(map[Key]bool, len(v.Slots))
	for key := range v.Slots {
		o.known[key] = true
	}
	return out
}

// gain takes over the targets that the view gives to this owner.
func (o *Owner) gain(now time.Time, v View) {
	for key, slots := range v.Slots {
		if t := o.targets[key]; t != nil {
			t.slots = slots
			continue
		}
		if m, _ := ownership.Of(v.Members, key.Target, ""); m.ID != o.self.Entry {
			continue
		}
		t := &owned{slots: slots, since: now, holders: map[Member]*holding{}, pending: map[Member]bool{}}
		if !o.isNew(now, key) {
			t.unknownSince = now
			for id, m := range v.Members.All() {
				t.pending[Member{id, m.Epoch}] = true
			}
		}
		// A member that gains a target without a new member was given it by a
		// removal, which is committed only after the lease of the removed owner
		// has expired, and credits end with the lease.
		if o.known == nil {
			t.wait = now.Add(Lease + Margin)
		}
		o.targets[key] = t
	}
}

// isNew reports whether nobody else can have granted slots of the target: it is
// in no earlier view, this instance would have owned it in the last view, and
// its lease has not lapsed, so that no owner came and went between the views.
func (o *Owner) isNew(now time.Time, key Key) bool {
	if o.known == nil || o.known[key] || !now.Before(o.lease) {
		return false
	}
	m, ok := ownership.Of(o.members, key.Target, "")
	return ok && m.ID == o.self.Entry
}

// retire notes which holders are members no longer.
func (o *Owner) retire(now time.Time, members ownership.Members) {
	live := func(m Member) bool {
		e, ok := members.Get(m.Entry)
		return ok && e.Epoch == m.Epoch
	}
	for _, t := range o.targets {
		for m, h := range t.holders {
			if h.gone.IsZero() && !live(m) {
				h.gone, h.wanted = now, 0
			}
		}
		for m := range t.pending {
			if !live(m) {
				delete(t.pending, m)
				t.unknownSince = now
			}
		}
	}
	for m := range o.seen {
		if !live(m) {
			delete(o.seen, m)
		}
	}
}

// Quit ends the lease of an owner that shuts down, and returns when the last
// credit that it granted ends.
func (o *Owner) Quit(now time.Time) time.Time {
	end := now
	for _, t := range o.targets {
		for _, h := range t.holders {
			end = compare.Later(end, h.until)
		}
	}
	o.lease = now
	return end
}

// Silent returns the targets that have sent no heartbeat for longer than bound.
func (o *Owner) Silent(now time.Time, bound time.Duration) []Key {
	var out []Key
	for key, t := range o.targets {
		if now.Sub(compare.Later(t.since, t.beatAt)) > bound {
			out = append(out, key)
		}
	}
	return out
}

// Heard returns how many requests the latest heartbeat of a target listed and
// when it came; the zero time if none has come since this owner has the target.
// It reports false if the target has another owner.
func (o *Owner) Heard(key Key) (running int, at time.Time, owned bool) {
	t := o.targets[key]
	if t == nil {
		return 0, time.Time{}, false
	}
	for _, slots := range t.beat.Running {
		running += len(slots)
	}
	return running, t.beatAt, true
}

// Beat takes the heartbeat of a target.
func (o *Owner) Beat(now time.Time, b Heartbeat) {
	t := o.targets[b.Key]
	if t == nil || b.Sequence <= t.beat.Sequence {
		return
	}
	t.beat, t.beatAt = b, now
	t.reconcile(now)
}

// reconcile replaces unknown and outdated bounds by what the heartbeat lists.
// It uses the list for a holder only if nothing that the holder sent can have
// been on its way when the target made the list.
func (t *owned) reconcile(now time.Time) {
	settled := func(since time.Time) bool { return !now.Before(since.Add(Settle)) }
	for m, h := range t.holders {
		started := h.until
		if h.gone.After(started) {
			started = h.gone
		}
		if settled(started) {
			h.bound = len(t.beat.Running[m])
			h.inUse = h.bound
		}
		if h.bound == 0 && !h.gone.IsZero() {
			delete(t.holders, m)
		}
	}
	if now.Before(t.wait) {
		return
	}
	listed := func(m Member, gone time.Time) {
		if n := len(t.beat.Running[m]); n > 0 && t.holders[m] == nil {
			t.holders[m] = &holding{bound: n, inUse: n, gone: gone}
		}
	}
	if settled(compare.Later(t.since, t.wait)) {
		for m := range t.pending {
			listed(m, time.Time{})
			delete(t.pending, m)
		}
	}
	if !t.unknownSince.IsZero() && settled(compare.Later(t.unknownSince, t.wait)) {
		for m := range t.beat.Running {
			listed(m, now)
		}
		t.unknownSince = time.Time{}
	}
}
