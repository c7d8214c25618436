package liveness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

var start = time.Unix(1000, 0)

// Guards against the removal of an entry instance that still holds a lease granted
// by the previous leader, and against an entry instance that is never removed.
func TestLeaseOfEarlierLeaderExpiresFirst(t *testing.T) {
	members := []model.EntryMember{{ID: "e1", Epoch: 3}}
	tr := NewTracker()
	_, next := tr.Expired(start, members)
	assert.Equal(t, next, start.Add(Lease+DriftMargin))
	gone, _ := tr.Expired(start.Add(Lease), members)
	assert.Equal(t, len(gone), 0)
	gone, _ = tr.Expired(next, members)
	assert.Equal(t, len(gone), 1)
}

// Guards against a deposed leader that grants leases beyond the time at which its
// successor may remove the entry instance. A lease counted from the renewal instead
// of the last quorum contact would do so.
func TestRenewalCountsFromQuorumContact(t *testing.T) {
	tr := NewTracker()
	now := start.Add(10 * time.Second)
	assert.Equal(t, tr.Renew(now, now.Add(-time.Second), Renewal{ID: "e1"}), Lease-time.Second)
	assert.Equal(t, tr.Renew(now, now.Add(-Lease), Renewal{ID: "e1"}), time.Duration(0))
}

// Guards against a delayed renewal of an earlier incarnation that extends the lease
// of its successor.
func TestRenewalOfEarlierIncarnationDoesNotCount(t *testing.T) {
	tr := NewTracker()
	now := start.Add(time.Minute)
	later := []model.EntryMember{{ID: "e1", Epoch: 9}}
	tr.Expired(now, later)
	now = now.Add(Lease + DriftMargin)
	tr.Renew(now, now, Renewal{ID: "e1", Epoch: 3})
	gone, _ := tr.Expired(now, later)
	assert.Equal(t, len(gone), 1)
}

// Guards against the removal of a new entry instance before its first renewal. A lease
// that counts from the election has expired already for an instance that joins long
// after it, so the instance would join and be removed again without end.
func TestNewMemberHasOneLeaseForItsFirstRenewal(t *testing.T) {
	tr := NewTracker()
	now := start.Add(time.Hour)
	joined := []model.EntryMember{{ID: "e1", Epoch: 3}}
	gone, next := tr.Expired(now, joined)
	assert.Equal(t, len(gone), 0)
	assert.Equal(t, next, now.Add(Lease+DriftMargin))
	tr.Renew(now.Add(time.Second), now.Add(time.Second), Renewal{ID: "e1", Epoch: 3})
	gone, _ = tr.Expired(next, joined)
	assert.Equal(t, len(gone), 0)
	rejoined := []model.EntryMember{{ID: "e1", Epoch: 5}}
	gone, _ = tr.Expired(now.Add(time.Hour), rejoined)
	assert.Equal(t, len(gone), 0)
}
