package credit

import (
	"time"

	"lacewingturn.example/core/query/ownership"
)

func (o *Owner) handover(now time.Time, key Key, t *owned) Handover {
	h := Handover{From: o.self, Key: key, Wait: max(t.wait.Sub(now), 0), Unknown: !t.unknownSince.IsZero()}
	for m, x := range t.holders {
		if !x.gone.IsZero() {
			h.Unknown = true
			continue
		}
		h.Holders = append(h.Holders, HandoverHolder{Member: m, Bound: x.bound, Valid: max(x.until.Sub(now), 0)})
	}
	for m := range t.pending {
		h.Pending = append(h.Pending, m)
	}
	return h
}

// Receive takes a handover from the owner before. It ends the wait for the
// credits of that owner. It reports false if it cannot be used now.
func (o *Owner) Receive(now time.Time, h Handover) bool {
	t := o.targets[h.Key]
	if t == nil || !now.Before(t.wait) {
		return false
	}
	before, ok := ownership.Of(o.members, h.Key.Target, o.self.Entry)
	if !ok || before.ID != h.From.Entry || before.Epoch != h.From.Epoch {
		return false
	}
	t.wait = now.Add(h.Wait)
	if h.Wait == 0 {
		t.wait = time.Time{}
	}
	o.merge(now, t, h)
	return true
}

// merge takes the holders of a handover, but for those that have reported here.
func (o *Owner) merge(now time.Time, t *owned, h Handover) {
	unknown := h.Unknown
	pending := make(map[Member]bool, len(h.Pending))
	for _, m := range h.Pending {
		pending[m] = t.pending[m]
		unknown = unknown || !o.isMember(m)
	}
	for _, x := range h.Holders {
		if t.holders[x.Member] != nil {
			continue
		}
		n := &holding{bound: x.Bound, inUse: x.Bound, until: now.Add(x.Valid)}
		if !o.isMember(x.Member) {
			n.gone = now
		}
		t.holders[x.Member] = n
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
