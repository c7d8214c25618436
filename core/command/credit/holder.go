package credit

import (
	"time"

	"lacewingturn.example/core/query/ownership"
)

// Intervals of a holder's reports to an owner.
const (
	// RenewInterval is the time between reports while credits are held or used.
	RenewInterval = 300 * time.Millisecond
	// DemandInterval is the time between reports while demand is not met.
	DemandInterval = 50 * time.Millisecond
	// ReportTimeout is the time after which the answer to a report counts as lost and a new
	// report is due.
	ReportTimeout = 300 * time.Millisecond
)

// Holder is the state of an entry instance in its role as user of slots.
type Holder struct {
	self     Member
	lease    time.Time // credits end with it; zero before the first renewal
	sequence uint64
	targets  map[TargetIncarnation]*account
	owners   map[Member]*peer
}

// account is the state of one target at its holder.
type account struct {
	owner         Member
	peer          *peer     // exchange with the owner; nil before the first view
	granted       int       // slots of the credit
	until         time.Time // when the credit expires
	inUse         int
	peak          int                  // highest use since trimmedAt
	trimmedAt     time.Time            // when the credit was last trimmed to its use, or raised
	wanted        int                  // further slots for which there are requests
	ownerMayCount bool                 // the owner may count slots as held, used or wanted
	abandoned     map[string]time.Time // by slot, when its request was abandoned
}

// peer is the state of a holder's exchange with one owner.
type peer struct {
	sequence        uint64 // of the newest report
	sent            time.Time
	unanswered      bool                         // the newest report is not answered yet
	sentDemand      bool                         // the newest report had demand
	listed          map[TargetIncarnation]Demand // demands of the newest report
	needsFullReport bool                         // the owner has not yet received a report of all its targets
	hasDemand       bool                         // some target of the owner has demand
	hasSlots        bool                         // some target of the owner has slots held or in use, or the owner may count some
	fullReport      bool                         // the newest report lists all targets of the owner
}

// NewHolder returns a holder without targets and without an identity; see SetIdentity and
// ApplyView.
func NewHolder() *Holder {
	return &Holder{targets: map[TargetIncarnation]*account{}, owners: map[Member]*peer{}}
}

// SetIdentity sets the identity of the holder, at the start and after each new join. Slots in
// use remain counted: their requests may still run, although the owners count them for the
// previous incarnation.
func (h *Holder) SetIdentity(self Member) {
	if self == h.self {
		return
	}
	h.self, h.lease = self, time.Time{}
	h.owners = map[Member]*peer{}
	for _, t := range h.targets {
		t.granted, t.until, t.ownerMayCount = 0, time.Time{}, false
		t.owner, t.peer = Member{}, nil
	}
}

// Renew extends the lease of the holder. A holder that is partitioned from the control state
// may still reach owners, so it must start nothing after its lease has expired.
func (h *Holder) Renew(until time.Time) {
	if until.After(h.lease) {
		h.lease = until
	}
}

// ApplyView applies a new view: it finds the owner of each target and drops targets that are no
// longer announced once none of their slots is in use.
func (h *Holder) ApplyView(v View) {
	for key := range v.Slots {
		m, ok := ownership.Owner(v.Members, key.Target, "")
		if !ok {
			continue
		}
		owner := Member{m.ID, m.Epoch}
		t := h.targets[key]
		if t == nil {
			t = &account{}
			h.targets[key] = t
		}
		if t.owner != owner {
			t.owner, t.ownerMayCount, t.peer = owner, false, h.peer(owner)
			t.peer.needsFullReport = true
		}
	}
	for key, t := range h.targets {
		if _, listed := v.Slots[key]; !listed && t.inUse == 0 {
			delete(h.targets, key)
		}
	}
	for m := range h.owners {
		if e, ok := v.Members.Get(m.Entry); !ok || e.Epoch != m.Epoch {
			delete(h.owners, m)
		}
	}
}

// peer returns the state of the exchange with an owner and creates it if necessary.
func (h *Holder) peer(m Member) *peer {
	p := h.owners[m]
	if p == nil {
		p = &peer{}
		h.owners[m] = p
	}
	return p
}

// Account is the state of one target at its holder. It stays valid while the target is
// announced.
type Account = account

// Account returns the account of a target, or nil if the target is not announced.
func (h *Holder) Account(key TargetIncarnation) *Account { return h.targets[key] }

// Usable returns how many further requests may be started on the target now.
func (t *account) Usable(now time.Time) int {
	if !now.Before(t.until) {
		return 0
	}
	return max(t.granted-t.inUse, 0)
}

// Granted returns the credit that is valid now, in slots.
func (t *account) Granted(now time.Time) int {
	if !now.Before(t.until) {
		return 0
	}
	return t.granted
}

// Until returns when the credit expires.
func (t *account) Until() time.Time { return t.until }

// InUse returns the slots in use, including those of abandoned requests.
func (t *account) InUse() int { return t.inUse }

// Use takes one slot. The caller must have checked Usable.
func (t *account) Use() {
	t.inUse++
	t.peak = max(t.peak, t.inUse)
}

// Free releases one slot after the target has ended its request.
func (t *account) Free() {
	if t.inUse > 0 {
		t.inUse--
	}
}

// Abandon marks the slot of a request that the holder no longer waits for. The slot remains
// counted, because the target may still run the request, until a heartbeat shows that the
// target does not.
func (t *account) Abandon(now time.Time, slot string) {
	if t.abandoned == nil {
		t.abandoned = map[string]time.Time{}
	}
	t.abandoned[slot] = now
}

// SpreadDemand replaces the demand of the given accounts: it spreads a demand for need further
// slots evenly over them, starting with the account at index first. slots is the number of slots
// of each target and bounds its slots in use plus its demand.
func SpreadDemand(accounts []*Account, slots, need, first int) {
	for _, t := range accounts {
		t.wanted = 0
	}
	for spread := true; spread && need > 0; {
		spread = false
		for i := range accounts {
			t := accounts[(i+first)%len(accounts)]
			if need <= 0 || t.inUse+t.wanted >= slots {
				continue
			}
			t.wanted++
			need--
			spread = true
		}
	}
}
