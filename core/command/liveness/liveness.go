// Package liveness decides when the membership lease of an entry instance has
// certainly expired. The leader owns one Tracker for each term that it leads.
package liveness

import (
	"time"

	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
)

// Lease is how long a renewed membership lasts from the leader's last contact
// with a quorum. It outlives a failover, and it is below the 3 s within which
// a leaving target must receive nothing more from an isolated entry instance.
const Lease = 2500 * time.Millisecond

// DriftMargin covers the difference between the clock rates of two instances
// over one lease.
const DriftMargin = 100 * time.Millisecond

// Entry is what the tracker knows of one entry instance.
type Entry struct {
	ID        model.EntryID
	Epoch     uint64
	Revision  model.Revision
	RenewedAt time.Time
}

// Tracker records renewals on the leader.
type Tracker struct {
	entries map[model.EntryID]Entry
	// first is when each member was seen in the control state for the first
	// time. A member that joined a moment ago has not renewed yet.
	first map[member]time.Time
}

// member is one life of an entry instance.
type member struct {
	id    model.EntryID
	epoch uint64
}

// NewTracker starts with no renewals and no members seen.
func NewTracker() *Tracker {
	return &Tracker{entries: map[model.EntryID]Entry{}, first: map[member]time.Time{}}
}

// Renew records a renewal and returns how long it is valid from now on; 0
// means that the membership is not renewed. quorumContact is the last time at
// which a quorum is known to have followed this leader.
func (t *Tracker) Renew(now, quorumContact time.Time, e Entry) time.Duration {
	valid := Lease - now.Sub(quorumContact)
	if valid <= 0 {
		return 0
	}
	e.RenewedAt = now
	t.entries[e.ID] = e
	return valid
}

// expiry returns when the lease of the member has certainly run out.
func (t *Tracker) expiry(m model.EntryMember) time.Time {
	last := t.first[member{m.ID, m.Epoch}]
	if e, ok := t.entries[m.ID]; ok && e.Epoch == m.Epoch && e.RenewedAt.After(last) {
		last = e.RenewedAt
	}
	return last.Add(Lease + DriftMargin)
}

// notice records members that are new and forgets those that are gone. A new
// leader sees every member for the first time, so that leases granted by an
// earlier leader run out first.
func (t *Tracker) notice(now time.Time, members []model.EntryMember) {
	first := make(map[member]time.Time, len(members))
	for _, m := range members {
		key := member{m.ID, m.Epoch}
		at, known := t.first[key]
		if !known {
			at = now
		}
		first[key] = at
	}
	t.first = first
}

// Expired returns the members whose lease has run out, and when the next one
// can run out at the earliest; the zero time if there is none. It must be
// called when the members have changed.
func (t *Tracker) Expired(now time.Time, members []model.EntryMember) (gone []model.EntryMember, next time.Time) {
	t.notice(now, members)
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

// Entries returns what is known of the members, in their order.
func (t *Tracker) Entries(members []model.EntryMember) []Entry {
	out := make([]Entry, 0, len(members))
	for _, m := range members {
		e, ok := t.entries[m.ID]
		if !ok || e.Epoch != m.Epoch {
			e = Entry{ID: m.ID, Epoch: m.Epoch}
		}
		out = append(out, e)
	}
	return out
}
