package credit

import "time"

// ApplyReport applies a report and returns the grants for it. It reports false if the report is
// addressed to another incarnation of the owner, does not come from a current member, or is not
// newer than the last report of that member.
func (o *Owner) ApplyReport(now time.Time, r Report) ([]Grant, bool) {
	if r.To != o.self || r.Sequence <= o.lastSequence[r.From] || !o.isMember(r.From) {
		return nil, false
	}
	o.lastSequence[r.From] = r.Sequence
	for _, d := range r.Demands {
		if t := o.targets[d.Key]; t != nil {
			t.applyDemand(now, r.From, d)
		}
	}
	var out []Grant
	for _, d := range r.Demands {
		if t := o.targets[d.Key]; t != nil {
			out = append(out, o.grant(now, t, r.From, d))
		}
	}
	return out, true
}

func (o *Owner) isMember(m Member) bool {
	e, ok := o.members.Get(m.Entry)
	return ok && e.Epoch == m.Epoch
}

// applyDemand replaces what the owner knows about a holder by its report.
func (t *ownedTarget) applyDemand(now time.Time, from Member, d Demand) {
	delete(t.pending, from)
	h := t.holders[from]
	if h == nil {
		h = &holderState{}
		t.holders[from] = h
	}
	h.bound = max(d.Held, d.InUse)
	switch {
	case d.Held == 0:
		h.granted, h.until = 0, now // the holder started nothing after the report
	case h.until.IsZero():
		h.until = now.Add(CreditTTL) // a credit from the previous owner
	}
	h.inUse, h.wanted, h.reported = d.InUse, d.Wanted, now
	switch {
	case d.Held == 0 && d.InUse == 0 && d.Wanted > 0:
		h.slotSince = time.Time{}
		if h.starvedSince.IsZero() {
			h.starvedSince = now
		}
	case h.slotSince.IsZero():
		h.slotSince, h.starvedSince = now, time.Time{}
	}
}

// grant answers one demand. Until the owner has counted all slots in use, and after its lease
// has expired, it grants none; the holder keeps its present credit until that expires.
func (o *Owner) grant(now time.Time, t *ownedTarget, from Member, d Demand) Grant {
	h := t.holders[from]
	g := Grant{Key: d.Key}
	if d.Abandoned > 0 && !t.heartbeatAt.IsZero() {
		g.HasHeartbeat, g.Running, g.HeartbeatAge = true, t.heartbeat.Running[from], now.Sub(t.heartbeatAt)
	}
	if !t.allCounted(now) || !now.Before(o.lease) {
		return g
	}
	n := t.share(now, from, min(d.InUse+d.Wanted, t.slots))
	g.Granted, g.ValidFor = n, min(CreditTTL, o.lease.Sub(now))
	h.granted, h.until = n, now.Add(g.ValidFor)
	h.bound = max(h.bound, n)
	return g
}

// allCounted reports whether the owner knows every slot in use.
func (t *ownedTarget) allCounted(now time.Time) bool {
	return !now.Before(t.waitUntil) && len(t.pending) == 0 && t.unknownSince.IsZero()
}

// share returns how many of the wanted slots a holder gets. Holders below an equal share have
// priority.
func (t *ownedTarget) share(now time.Time, from Member, want int) int {
	free := t.slots
	active, deficit, ahead := 1, 0, 0
	self := t.holders[from]
	for m, h := range t.holders {
		if m == from {
			continue
		}
		free -= h.bound
		if h.hasDemand(now) {
			active++
		}
		if h.starved(now) && (self.starvedSince.IsZero() || h.starvedSince.Before(self.starvedSince)) {
			ahead++
		}
	}
	free = max(free, 0)
	fairShare := t.slots / active
	if fairShare == 0 {
		return t.rotate(now, self, min(want, free, 1), free-ahead)
	}
	for m, h := range t.holders {
		if m != from && h.hasDemand(now) {
			deficit += max(min(fairShare, h.inUse+h.wanted)-h.bound, 0)
		}
	}
	return min(want, max(min(fairShare, free), free-deficit))
}

// rotate grants single slots in turn when there are more holders than slots: a holder loses its
// last slot after RotateAfter if holders without a slot need it. remaining is the number of free
// slots less the holders that have waited longer for one.
func (t *ownedTarget) rotate(now time.Time, self *holderState, want, remaining int) int {
	if self.starvedSince.IsZero() && remaining <= 0 && now.Sub(self.slotSince) >= RotateAfter {
		return 0
	}
	if !self.starvedSince.IsZero() && remaining <= 0 {
		return 0
	}
	return want
}

// hasDemand reports whether the holder is a member and its report is recent and shows slots in
// use or wanted.
func (h *holderState) hasDemand(now time.Time) bool {
	return h.removedAt.IsZero() && h.wanted+h.inUse > 0 && now.Sub(h.reported) < MaxDemandAge
}

// starved reports whether the holder has demand but no slot.
func (h *holderState) starved(now time.Time) bool {
	return h.hasDemand(now) && !h.starvedSince.IsZero() && h.bound == 0
}
