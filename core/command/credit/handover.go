package credit

import (
	"time"

	"lacewingturn.example/core/query/ownership"
)

// handover returns the handover of a target to its next owner. Former members are not listed;
// they set Unknown.
func (o *Owner) handover(now time.Time, key TargetIncarnation, t *ownedTarget) Handover {
	h := Handover{From: o.self, Key: key, Wait: max(t.waitUntil.Sub(now), 0), Unknown: !t.unknownSince.IsZero()}
	for m, state := range t.holders {
		if !state.removedAt.IsZero() {
			h.Unknown = true
			continue
		}
		h.Holders = append(h.Holders, HandoverHolder{Member: m, Bound: state.bound, ValidFor: max(state.until.Sub(now), 0)})
	}
	for m := range t.pending {
		h.Pending = append(h.Pending, m)
	}
	return h
}

// ApplyHandover applies a handover from the previous owner, which ends the wait for the
// credits of that owner. It reports false if the handover is not applied: this instance does
// not own the target, is not waiting, or the sender is not the previous owner.
func (o *Owner) ApplyHandover(now time.Time, h Handover) bool {
	t := o.targets[h.Key]
	if t == nil || !now.Before(t.waitUntil) {
		return false
	}
	previous, ok := ownership.Owner(o.members, h.Key.Target, o.self.Entry)
	if !ok || previous.ID != h.From.Entry || previous.Epoch != h.From.Epoch {
		return false
	}
	t.waitUntil = now.Add(h.Wait)
	if h.Wait == 0 {
		t.waitUntil = time.Time{}
	}
	o.merge(now, t, h)
	return true
}

// merge takes over the holders of a handover, except those that have already reported to this
// owner. Only members that are pending here and in the handover remain pending.
func (o *Owner) merge(now time.Time, t *ownedTarget, h Handover) {
	unknown := h.Unknown
	pending := make(map[Member]bool, len(h.Pending))
	for _, m := range h.Pending {
		pending[m] = t.pending[m]
		unknown = unknown || !o.isMember(m)
	}
	for _, holder := range h.Holders {
		if t.holders[holder.Member] != nil {
			continue
		}
		state := &holderState{bound: holder.Bound, inUse: holder.Bound, until: now.Add(holder.ValidFor)}
		if !o.isMember(holder.Member) {
			state.removedAt = now
		}
		t.holders[holder.Member] = state
	}
	for m := range t.pending {
		if !pending[m] {
			delete(t.pending, m)
		}
	}
	t.unknownSince = time.Time{}
	if unknown {
		t.unknownSince = now
	}
}
