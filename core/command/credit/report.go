package credit

import (
	"slices"
	"strings"
	"time"

	"lacewingturn.example/core/compare"
)

// Reports returns the reports that are due now, in the order of their owners.
func (h *Holder) Reports(now time.Time) []Report {
	if h.self.Epoch == 0 {
		return nil
	}
	var out []Report
	h.refresh(now)
	for owner, p := range h.owners {
		at := p.due()
		if at.IsZero() || at.After(now) {
			continue
		}
		out = append(out, h.report(now, owner))
	}
	slices.SortFunc(out, func(a, b Report) int { return strings.Compare(string(a.To.Entry), string(b.To.Entry)) })
	return out
}

// Deadline returns when the next report is due; the zero time means never.
func (h *Holder) Deadline(now time.Time) time.Time {
	var next time.Time
	if h.self.Epoch == 0 {
		return next
	}
	h.refresh(now)
	for _, p := range h.owners {
		next = compare.EarlierDeadline(next, p.due())
	}
	return next
}

// refresh finds out what the holder has to do with each owner.
func (h *Holder) refresh(now time.Time) {
	for _, p := range h.owners {
		p.wants, p.holds = false, false
	}
	for _, t := range h.targets {
		if p := t.peer; p != nil {
			p.wants = p.wants || t.wanted > 0
			p.holds = p.holds || t.told || t.inUse > 0 || t.granted > 0 && now.Before(t.until)
		}
	}
}

// due returns when the next report to an owner is due; zero means never.
func (p *peer) due() time.Time {
	var at time.Time
	switch {
	case p.tell && p.sent.IsZero(), p.wants && !p.asked:
		at = p.sent.Add(time.Millisecond)
	case p.wants, p.tell:
		at = p.sent.Add(AskEvery)
	case p.holds:
		at = p.sent.Add(RenewEvery)
	default:
		return time.Time{}
	}
	if answer := p.sent.Add(ReportTimeout); p.open && at.Before(answer) {
		return answer
	}
	return at
}

// report builds a report. From now on the answer to an earlier one is void.
func (h *Holder) report(now time.Time, owner Member) Report {
	h.sequence++
	r := Report{From: h.self, To: owner, Sequence: h.sequence}
	p := h.peer(owner)
	p.sequence, p.sent, p.open, p.asked, p.full = h.sequence, now, true, false, p.tell
	p.listed = map[Key]Demand{}
	for key, t := range h.targets {
		if t.owner != owner {
			continue
		}
		t.returnIdle(now)
		idle := t.granted == 0 && t.inUse == 0 && t.wanted == 0
		if idle && !t.told && !p.full {
			continue
		}
		t.told = true
		d := Demand{Key: key, Held: t.granted, InUse: t.inUse, Wanted: t.wanted, Abandoned: len(t.abandoned)}
		p.listed[key] = d
		p.asked = p.asked || t.wanted > 0
		r.Demands = append(r.Demands, d)
	}
	return r
}

// returnIdle cuts the credit to what was used in the last ReturnIdle.
func (t *held) returnIdle(now time.Time) {
	if !now.Before(t.until) {
		t.granted = 0
		return
	}
	if now.Sub(t.cut) < ReturnIdle {
		return
	}
	t.granted = min(t.granted, max(t.peak, t.inUse+t.wanted))
	t.peak, t.cut = t.inUse, now
}

// Answer takes the grants of an owner. It ignores the answer to a report that
// is not the newest, and grants for targets that have another owner now.
func (h *Holder) Answer(now time.Time, to Report, grants []Grant) {
	p := h.owners[to.To]
	if p == nil || p.sequence != to.Sequence || !p.open || to.From != h.self {
		return
	}
	p.open = false
	if p.full {
		p.tell = !h.answered(to.To, grants)
	}
	for _, g := range grants {
		t := h.targets[g.Key]
		if t == nil || t.owner != to.To || !listed(p, g.Key) {
			continue
		}
		t.release(p.sent, g)
		t.told = p.listed[g.Key].nonzero() || g.Granted > 0
		if g.Valid <= 0 {
			continue
		}
		if g.Granted > t.granted {
			t.cut, t.peak = now, t.inUse
		}
		t.granted, t.until = g.Granted, p.sent.Add(g.Valid)
		if t.until.After(h.lease) {
			t.until = h.lease
		}
	}
}

// answered reports whether an owner answered for all targets that are its own.
// It does not if it has yet to apply the view that gives them to it.
func (h *Holder) answered(owner Member, grants []Grant) bool {
	got := make(map[Key]bool, len(grants))
	for _, g := range grants {
		got[g.Key] = true
	}
	for key, t := range h.targets {
		if t.owner == owner && !got[key] {
			return false
		}
	}
	return true
}

func listed(p *peer, key Key) bool {
	_, ok := p.listed[key]
	return ok
}

func (d Demand) nonzero() bool { return d.Held+d.InUse+d.Wanted > 0 }

// Lost notes that a report was refused or could not be delivered.
func (h *Holder) Lost(to Report) {
	if p := h.owners[to.To]; p != nil && p.sequence == to.Sequence {
		p.open = false
	}
}

// release frees the abandoned slots that the target certainly does not run:
// its list was made after nothing of them can have been on its way.
func (t *held) release(sent time.Time, g Grant) {
	if !g.Beaten {
		return
	}
	running := make(map[string]bool, len(g.Running))
	for _, s := range g.Running {
		running[s] = true
	}
	listed := sent.Add(-g.HeartbeatAge)
	for slot, since := range t.abandoned {
		if !running[slot] && !listed.Before(since.Add(Settle)) {
			delete(t.abandoned, slot)
			t.inUse--
		}
	}
}
