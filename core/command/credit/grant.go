package credit

import "time"

// Take applies a report and returns the grants. It reports false if the report
// is not for this life of the owner or is older than one taken before.
func (o *Owner) Take(now time.Time, r Report) ([]Grant, bool) {
	if r.To != o.self || r.Sequence <= o.seen[r.From] || !o.isMember(r.From) {
		return nil, false
	}
	o.seen[r.From] = r.Sequence
	for _, d := range r.Demands {
		if t := o.targets[d.Key]; t != nil {
			t.note(now, r.From, d)
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

// note replaces what is known about a holder by its report.
func (t *owned) note(now time.Time, from Member, d Demand) {
	delete(t.pending, from)
	h := t.holders[from]
	if h == nil {
		h = &holding{}
		t.holders[from] = h
	}
	h.bound = max(d.Held, d.InUse)
	switch {
	case d.Held == 0:
		h.granted, h.until = 0, now // nothing was started after the report
	case h.until.IsZero():
		h.until = now.Add(Valid) // a credit of the owner before
	}
	h.inUse, h.wanted, h.reported = d.InUse, d.Wanted, now
	switch {
	case d.Held == 0 && d.InUse == 0 && d.Wanted > 0:
		h.held = time.Time{}
		if h.hungry.IsZero() {
			h.hungry = now
		}
	case h.held.IsZero():
		h.held, h.hungry = now, time.Time{}
	}
}

// grant answers one demand. Until this owner knows all slots in use it grants
// nothing, and the holder keeps what it has until that expires.
func (o *Owner) grant(now time.Time, t *owned, from Member, d Demand) Grant {
	h := t.holders[from]
	g := Grant{Key: d.Key}
	if d.Abandoned > 0 && !t.beatAt.IsZero() {
		g.Beaten, g.Running, g.HeartbeatAge = true, t.beat.Running[from], now.Sub(t.beatAt)
	}
	if !t.certain(now) || !now.Before(o.lease) {
		return g
	}
	n := t.share(now, from, min(d.InUse+d.Wanted, t.slots))
	g.Granted, g.Valid = n, min(Valid, o.lease.Sub(now))
	h.granted, h.until = n, now.Add(g.Valid)
	h.bound = max(h.bound, n)
	return g
}

// certain reports whether every slot in use is counted.
func (t *owned) certain(now time.Time) bool {
	return !now.Before(t.wait) && len(t.pending) == 0 && t.unknownSince.IsZero()
}

// share returns how many slots a holder gets of those it wants. Holders that
// have less than an equal part come first.
func (t *owned) share(now time.Time, from Member, want int) int {
	free := t.slots
	active, deficit, first := 1, 0, 0
	me := t.holders[from]
	for m, h := range t.holders {
		if m == from {
			continue
		}
		free -= h.bound
		if h.demands(now) {
			active++
		}
		if h.starved(now) && (me.hungry.IsZero() || h.hungry.Before(me.hungry)) {
			first++
		}
	}
	free = max(free, 0)
	part := t.slots / active
	if part == 0 {
		return t.rotate(now, me, min(want, free, 1), free-first)
	}
	for m, h := range t.holders {
		if m != from && h.demands(now) {
			deficit += max(min(part, h.inUse+h.wanted)-h.bound, 0)
		}
	}
	return min(want, max(min(part, free), free-deficit))
}

// rotate gives single slots in turn when there are more holders than slots.
func (t *owned) rotate(now time.Time, me *holding, want, left int) int {
	if me.hungry.IsZero() && left <= 0 && now.Sub(me.held) >= Rotate {
		return 0
	}
	if !me.hungry.IsZero() && left <= 0 {
		return 0
	}
	return want
}

// demands reports whether a recent report asked for slots.
func (h *holding) demands(now time.Time) bool {
	return h.gone.IsZero() && h.wanted+h.inUse > 0 && now.Sub(h.reported) < Recent
}

func (h *holding) starved(now time.Time) bool {
	return h.demands(now) && !h.hungry.IsZero() && h.bound == 0
}
