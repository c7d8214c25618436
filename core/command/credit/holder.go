package credit

import (
	"time"

	"lacewingturn.example/core/query/ownership"
)

// Intervals of a holder's reports.
const (
	// RenewEvery is the time between reports while credits are held or used.
	RenewEvery = 300 * time.Millisecond
	// AskEvery is the time between reports while demand is not met.
	AskEvery = 50 * time.Millisecond
	// ReportTimeout is the time after which an answer counts as lost.
	ReportTimeout = 300 * time.Millisecond
)

// Holder is the state of an entry instance as user of slots.
type Holder struct {
	self     Member
	lease    time.Time // credits end with it; zero before the first renewal
	sequence uint64
	targets  map[Key]*held
	owners   map[Member]*peer
}

// held is one target as its holder sees it.
type held struct {
	owner     Member
	peer      *peer // exchange with the owner; nil before the first view
	granted   int
	until     time.Time
	inUse     int
	peak      int // highest use since the credit was last cut
	cut       time.Time
	wanted    int
	told      bool                 // the owner may believe that slots are held, used or wanted
	abandoned map[string]time.Time // slots of requests given up on, and when
}

// peer is what a holder knows about its exchange with one owner.
type peer struct {
	sequence uint64 // of the newest report
	sent     time.Time
	open     bool // the newest report is not answered
	asked    bool // the newest report had demand
	listed   map[Key]Demand
	tell     bool // the owner has not yet heard of all its targets from this holder
	wants    bool // some target of the owner has demand
	holds    bool // some target of the owner is held or in use, or believed to be
	full     bool // the newest report lists all targets of the owner
}

// NewHolder returns a holder of nothing.
func NewHolder() *Holder {
	return &Holder{targets: map[Key]*held{}, owners: map[Member]*peer{}}
}

// Become sets the identity of the holder. Slots in use stay counted: their
// requests may run on, although the owners know them as those of the life before.
func (h *Holder) Become(self Member) {
	if self == h.self {
		return
	}
	h.self, h.lease = self, time.Time{}
	h.owners = map[Member]*peer{}
	for _, t := range h.targets {
		t.granted, t.until, t.told = 0, time.Time{}, false
		t.owner, t.peer = Member{}, nil
	}
}

// Renew extends the lease of the holder. A holder that is cut off from the
// control state may still reach owners, and must start nothing after its lease.
func (h *Holder) Renew(until time.Time) {
	if until.After(h.lease) {
		h.lease = until
	}
}

// Change follows a new view.
func (h *Holder) Change(v View) {
	for key := range v.Slots {
		m, ok := ownership.Of(v.Members, key.Target, "")
		if !ok {
			continue
		}
		owner := Member{m.ID, m.Epoch}
		t := h.targets[key]
		if t == nil {
			t = &held{}
			h.targets[key] = t
		}
		if t.owner != owner {
			t.owner, t.told, t.peer = owner, false, h.peer(owner)
			t.peer.tell = true
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

func (h *Holder) peer(m Member) *peer {
	p := h.owners[m]
	if p == nil {
		p = &peer{}
		h.owners[m] = p
	}
	return p
}

// Account is one target as its holder sees it. It stays valid while the target
// is announced.
type Account = held

// Account returns the account of a target, or nil if it is not announced.
func (h *Holder) Account(key Key) *Account { return h.targets[key] }

// Usable returns how many further requests may be started on the target now.
func (t *held) Usable(now time.Time) int {
	if !now.Before(t.until) {
		return 0
	}
	return max(t.granted-t.inUse, 0)
}

// Granted returns the credit that is valid now.
func (t *held) Granted(now time.Time) int {
	if !now.Before(t.until) {
		return 0
	}
	return t.granted
}

// Until returns when the credit ends.
func (t *held) Until() time.Time { return t.until }

// InUse returns the slots in use, including those of abandoned requests.
func (t *held) InUse() int { return t.inUse }

// Use takes a slot that Usable has shown.
func (t *held) Use() {
	t.inUse++
	t.peak = max(t.peak, t.inUse)
}

// Free gives a slot back after the target has ended the request.
func (t *held) Free() {
	if t.inUse > 0 {
		t.inUse--
	}
}

// Abandon keeps a slot counted because the target may still run the request.
// It is freed once a heartbeat shows that the target does not.
func (t *held) Abandon(now time.Time, slot string) {
	if t.abandoned == nil {
		t.abandoned = map[string]time.Time{}
	}
	t.abandoned[slot] = now
}

// Want sets the demand for need further slots of the targets given, spread over
// them from position first on.
func Want(accounts []*Account, slots, need, first int) {
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
