package liveness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

var start = time.Unix(1000, 0)

// Guards against the removal of an entry instance that still acts on a lease
// granted by the leader before, and against one that is never removed.
func TestLeaseOfEarlierLeaderRunsOutFirst(t *testing.T) {
	members := []model.EntryMember{{ID: "e1", Epoch: 3}}
	tr := NewTracker()
	_, next := tr.Expired(start, members)
	assert.Equal(t, next, start.Add(Lease+DriftMargin))
	gone, _ := tr.Expired(start.Add(Lease), members)
	assert.Equal(t, len(gone), 0)
	gone, _ = tr.Expired(next, members)
	assert.Equal(t, len(gone), 1)
}

// Guards against a deposed leader that grants leases past the point at which
// its successor may remove the entry instance.
func TestRenewalCountsFromQuorumContact(t *testing.T) {
	tr := NewTracker()
	now := start.Add(10 * time.Second)
	assert.Equal(t, tr.Renew(now, now.Add(-time.Second), Entry{ID: "e1"}), Lease-time.Second)
	assert.Equal(t, tr.Renew(now, now.Add(-Lease), Entry{ID: "e1"}), time.Duration(0))
}

// Guards against a renewal of an earlier life that keeps a later one alive.
func TestRenewalOfEarlierLifeDoesNotCount(t *testing.T) {
	tr := NewTracker()
	now := start.Add(time.Minute)
	later := []model.EntryMember{{ID: "e1", Epoch: 9}}
	tr.Expired(now, later)
	now = now.Add(Lease + DriftMargin)
	tr.Renew(now, now, Entry{ID: "e1", Epoch: 3})
	gone, _ := tr.Expired(now, later)
	assert.Equal(t, len(gone), 1)
}

// Guards against an entry instance that joins long after the election and is
// removed before its first renewal, and then joins again for ever.
func TestNewMemberHasOneLeaseForItsFirstRenewal(t *testing.T) {
	tr := NewTracker()
	now := start.Add(time.Hour)
	joined := []model.EntryMember{{ID: "e1", Epoch: 3}}
	gone, next := tr.Expired(now, joined)
	assert.Equal(t, len(gone), 0)
	assert.Equal(t, next, now.Add(Lease+DriftMargin))
	tr.Renew(now.Add(time.Second), now.Add(time.Second), Entry{ID: "e1", Epoch: 3})
	gone, _ = tr.Expired(next, joined)
	assert.Equal(t, len(gone), 0)
	rejoined := []model.EntryMember{{ID: "e1", Epoch: 5}}
	gone, _ = tr.Expired(now.Add(time.Hour), rejoined)
	assert.Equal(t, len(gone), 0)
}
