package credit

import (
	"slices"
	"strings"
	"time"

	"lacewingturn.example/core/compare"
)

// Reports returns the reports that are due now, ordered by the owners' IDs. The caller must
// send them and pass each result to ApplyGrants or ReportFailed.
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

// refresh updates the flags of each owner from the accounts of its targets.
func (h *Holder) refresh(now time.Time) {
	for _, p := range h.owners {
		p.hasDemand, p.hasSlots = false, false
	}
	for _, t := range h.targets {
		if p := t.peer; p != nil {
			p.hasDemand = p.hasDemand || t.wanted > 0
			p.hasSlots = p.hasSlots || t.ownerMayCount || t.inUse > 0 || t.granted > 0 && now.Before(t.until)
		}
	}
}

// due returns when the next report to an owner is due; zero means never.
func (p *peer) due() time.Time {
	var at time.Time
	switch {
	case p.needsFullReport && p.sent.IsZero(), p.hasDemand && !p.sentDemand:
		at = p.sent.Add(time.Millisecond) // at most one report in a millisecond
	case p.hasDemand, p.needsFullReport:
		at = p.sent.Add(DemandInterval)
	case p.hasSlots:
		at = p.sent.Add(RenewInterval)
	default:
		return time.Time{}
	}
	if answer := p.sent.Add(ReportTimeout); p.unanswered && at.Before(answer) {
		return answer
	}
	return at
}

// report builds the next report to an owner. From now on the answer to an earlier report is
// ignored.
func (h *Holder) report(now time.Time, owner Member) Report {
	h.sequence++
	r := Report{From: h.self, To: owner, Sequence: h.sequence}
	p := h.peer(owner)
	p.sequence, p.sent, p.unanswered, p.sentDemand, p.fullReport = h.sequence, now, true, false, p.needsFullReport
	p.listed = map[TargetIncarnation]Demand{}
	for key, t := range h.targets {
		if t.owner != owner {
			continue
		}
		t.returnIdle(now)
		idle := t.granted == 0 && t.inUse == 0 && t.wanted == 0
		if idle && !t.ownerMayCount && !p.fullReport {
			continue
		}
		t.ownerMayCount = true
		d := Demand{Key: key, Held: t.granted, InUse: t.inUse, Wanted: t.wanted, Abandoned: len(t.abandoned)}
		p.listed[key] = d
		p.sentDemand = p.sentDemand || t.wanted > 0
		r.Demands = append(r.Demands, d)
	}
	return r
}

// returnIdle reduces the credit to the slots used in the last IdleTimeout.
func (t *account) returnIdle(now time.Time) {
	if !now.Before(t.until) {
		t.granted = 0
		return
	}
	if now.Sub(t.trimmedAt) < IdleTimeout {
		return
	}
	t.granted = min(t.granted, max(t.peak, t.inUse+t.wanted))
	t.peak, t.trimmedAt = t.inUse, now
}

// ApplyGrants applies the grants with which an owner answers the report r. It ignores answers to
// any but the newest report, and grants for targets that now have another owner.
func (h *Holder) ApplyGrants(now time.Time, r Report, grants []Grant) {
	p := h.owners[r.To]
	if p == nil || p.sequence != r.Sequence || !p.unanswered || r.From != h.self {
		return
	}
	p.unanswered = false
	if p.fullReport {
		p.needsFullReport = !h.answered(r.To, grants)
	}
	for _, g := range grants {
		t := h.targets[g.Key]
		if t == nil || t.owner != r.To || !listed(p, g.Key) {
			continue
		}
		t.freeAbandoned(p.sent, g)
		t.ownerMayCount = p.listed[g.Key].nonzero() || g.Granted > 0
		if g.ValidFor <= 0 {
			continue
		}
		if g.Granted > t.granted {
			t.trimmedAt, t.peak = now, t.inUse
		}
		t.granted, t.until = g.Granted, p.sent.Add(g.ValidFor)
		if t.until.After(h.lease) {
			t.until = h.lease
		}
	}
}

// answered reports whether an owner answered for all its targets. Grants are missing for targets
// that the owner has not acquired yet, because it has not applied the newest view.
func (h *Holder) answered(owner Member, grants []Grant) bool {
	got := make(map[TargetIncarnation]bool, len(grants))
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

func listed(p *peer, key TargetIncarnation) bool {
	_, ok := p.listed[key]
	return ok
}

func (d Demand) nonzero() bool { return d.Held+d.InUse+d.Wanted > 0 }

// ReportFailed records that the report r was refused or could not be delivered.
func (h *Holder) ReportFailed(r Report) {
	if p := h.owners[r.To]; p != nil && p.sequence == r.Sequence {
		p.unanswered = false
	}
}

// freeAbandoned frees the abandoned slots that the target certainly does not run: its list was
// made when no request of these slots could still be on its way.
func (t *account) freeAbandoned(sent time.Time, g Grant) {
	if !g.HasHeartbeat {
		return
	}
	running := make(map[string]bool, len(g.Running))
	for _, slot := range g.Running {
		running[slot] = true
	}
	listedAt := sent.Add(-g.HeartbeatAge)
	for slot, since := range t.abandoned {
		if !running[slot] && !listedAt.Before(since.Add(SettleTime)) {
			delete(t.abandoned, slot)
			t.inUse--
		}
	}
}
