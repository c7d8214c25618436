// Package liveness decides when the membership lease of an entry instance has
// expired for certain, that is by the leader's clock and by the clock of the
// instance. The leader creates one Tracker for each term that it leads.
package liveness

import (
	"time"

	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
)

// Lease is the duration of a membership lease, counted from the leader's last
// contact with a quorum. It is longer than a failover takes, and shorter than the
// 3 s after which a leaving target must not receive requests from an isolated
// entry instance.
const Lease = 2500 * time.Millisecond

// DriftMargin bounds the drift between the clocks of two instances over one lease.
const DriftMargin = 100 * time.Millisecond

// Renewal is the last renewal of one entry instance. Revision is the configuration
// revision that the renewal reported. RenewedAt is zero if the instance has not
// renewed its lease with this leader.
type Renewal struct {
	ID        model.EntryID
	Epoch     uint64
	Revision  model.Revision
	RenewedAt time.Time
}

// Tracker records lease renewals on the leader.
type Tracker struct {
	renewals map[model.EntryID]Renewal
	// firstSeen is the time at which this leader first found each member in the
	// control state. A new member's lease counts from then until its first renewal.
	firstSeen map[incarnation]time.Time
}

// incarnation identifies an entry instance and one of its joins. Each join has a new
// epoch.
type incarnation struct {
	id    model.EntryID
	epoch uint64
}

// NewTracker returns a tracker without renewals or members, for a leader whose
// term begins.
func NewTracker() *Tracker {
	return &Tracker{renewals: map[model.EntryID]Renewal{}, firstSeen: map[incarnation]time.Time{}}
}

// Renew records a renewal and returns the remaining duration of the lease. It
// returns 0, and records nothing, if the lease would have expired already.
// quorumContact is the last time at which a quorum is known to have followed this
// leader.
func (t *Tracker) Renew(now, quorumContact time.Time, r Renewal) time.Duration {
	valid := Lease - now.Sub(quorumContact)
	if valid <= 0 {
		return 0
	}
	r.RenewedAt = now
	t.renewals[r.ID] = r
	return valid
}

// expiry returns the time at which the lease of the member has expired for certain.
// DriftMargin covers the difference to the clock of the instance.
func (t *Tracker) expiry(m model.EntryMember) time.Time {
	last := t.firstSeen[incarnation{m.ID, m.Epoch}]
	if r, ok := t.renewals[m.ID]; ok && r.Epoch == m.Epoch && r.RenewedAt.After(last) {
		last = r.RenewedAt
	}
	return last.Add(Lease + DriftMargin)
}

// trackMembers starts tracking new members and drops those that were removed. All
// members are new to a new leader, so it waits for one full lease before it removes
// any of them; leases granted by an earlier leader have expired by then.
func (t *Tracker) trackMembers(now time.Time, members []model.EntryMember) {
	firstSeen := make(map[incarnation]time.Time, len(members))
	for _, m := range members {
		key := incarnation{m.ID, m.Epoch}
		at, known := t.firstSeen[key]
		if !known {
			at = now
		}
		firstSeen[key] = at
	}
	t.firstSeen = firstSeen
}

// Expired returns the members whose lease has expired and the earliest time at
// which another lease can expire, or the zero time if there is no other lease. The
// caller must call it after every change of the members.
func (t *Tracker) Expired(now time.Time, members []model.EntryMember) (gone []model.EntryMember, next time.Time) {
	t.trackMembers(now, members)
	for _, m := range members {
		at := t.expiry(m)
		if !at.After(now) {
			gone = append(gone, m)
			continue
		}
		next = compare.EarlierDeadline(next, at)
	}
	return gone, next
}

// Renewals returns the last renewal of each member, in the order of members.
func (t *Tracker) Renewals(members []model.EntryMember) []Renewal {
	out := make([]Renewal, 0, len(members))
	for _, m := range members {
		r, ok := t.renewals[m.ID]
		if !ok || r.Epoch != m.Epoch {
			r = Renewal{ID: m.ID, Epoch: m.Epoch}
		}
		out = append(out, r)
	}
	return out
}
