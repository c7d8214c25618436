package credit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query/ownership"
)

// Guards against requests started after the holder's lease: a holder that is partitioned from
// the control state still reaches an owner, whose credits outlast the lease.
func TestCreditsEndWithHolderLease(t *testing.T) {
	now := time.Unix(1000, 0)
	key, owner, self := TargetIncarnation{"t", 1}, Member{"a", 1}, Member{"b", 2}
	var members ownership.Members
	members = members.Set("a", model.EntryMember{ID: "a", Epoch: 1})
	h := NewHolder()
	h.SetIdentity(self)
	h.Renew(now.Add(400 * time.Millisecond))
	h.ApplyView(View{Members: members, Slots: map[TargetIncarnation]int{key: 8}})
	SpreadDemand([]*Account{h.Account(key)}, 8, 3, 0)
	reports := h.Reports(now.Add(time.Millisecond))
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0].To, owner)
	h.ApplyGrants(now.Add(2*time.Millisecond), reports[0], []Grant{{Key: key, Granted: 3, ValidFor: CreditTTL}})
	assert.Equal(t, h.Account(key).Usable(now.Add(399*time.Millisecond)), 3)
	assert.Equal(t, h.Account(key).Usable(now.Add(400*time.Millisecond)), 0)
}
