package credit

import (
	"fmt"
	"iter"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query/ownership"
)

// simulation is a set of entry instances that share targets, run in ticks of virtual time with
// a seeded random source. It models what the protocol relies on: a log of views, leases,
// messages that are lost or delayed, and targets that list the requests that they run.
type simulation struct {
	rnd       *rand.Rand
	now       time.Time
	faults    bool
	breakRule func(*Owner) // disables a rule of the owner; called after each change of an owner's view
	view      View
	index     int // of the view; incremented by each change
	entries   map[model.EntryID]*entryProcess
	renewedAt map[model.EntryID]time.Time
	messages  []message
	targets   map[TargetIncarnation]*simTarget
	lastEpoch uint64
	maxDemand int
}

// entryProcess is one process. Its state survives a partition but not a crash.
type entryProcess struct {
	self        Member
	owner       *Owner
	holder      *Holder
	partitioned bool
	index       int // of the view that it has applied
	lastRequest int
	flight      map[string]TargetIncarnation
}

type message struct {
	at time.Time
	do func()
}

// simTarget counts the requests that it runs; more than its slots is the fault that the test
// looks for.
type simTarget struct {
	slots, peak int
	running     map[string]Member
	sequence    uint64
}

const tick = 10 * time.Millisecond

func newSimulation(seed int64, entries, targets int) *simulation {
	s := &simulation{
		rnd: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0), faults: true,
		entries: map[model.EntryID]*entryProcess{}, renewedAt: map[model.EntryID]time.Time{}, targets: map[TargetIncarnation]*simTarget{}, maxDemand: 20,
	}
	s.view.Slots = map[TargetIncarnation]int{}
	for i := range entries {
		s.start(model.EntryID(fmt.Sprintf("e%d", i)))
	}
	for i := range targets {
		s.addTarget(TargetIncarnation{model.TargetID(fmt.Sprintf("t%d", i)), 1})
	}
	return s
}

// sorted iterates over a map in a fixed order, so that a seed always gives the same scenario.
func sorted[K comparable, V any](m map[K]V, name func(K) string) iter.Seq2[K, V] {
	keys := slices.SortedFunc(maps.Keys(m), func(a, b K) int { return strings.Compare(name(a), name(b)) })
	return func(yield func(K, V) bool) {
		for _, k := range keys {
			if !yield(k, m[k]) {
				return
			}
		}
	}
}

func (s *simulation) addTarget(k TargetIncarnation) {
	s.targets[k] = &simTarget{slots: 8, running: map[string]Member{}}
	slots := map[TargetIncarnation]int{k: 8}
	for other, n := range s.view.Slots {
		slots[other] = n
	}
	s.commit(s.view.Members, slots)
}

func (s *simulation) commit(m ownership.Members, slots map[TargetIncarnation]int) {
	s.index++
	s.view = View{Members: m, Slots: slots}
}

// start begins a new incarnation of an entry instance.
func (s *simulation) start(id model.EntryID) {
	s.lastEpoch++
	e := &entryProcess{self: Member{id, s.lastEpoch}, owner: NewOwner(), holder: NewHolder(), flight: map[string]TargetIncarnation{}}
	s.entries[id] = e
	s.commit(s.view.Members.Set(id, model.EntryMember{ID: id, Epoch: s.lastEpoch}), s.view.Slots)
	e.holder.SetIdentity(e.self)
	s.renewedAt[id] = s.now
}

// deliverLater delivers a message after a random delay, unless the message is lost.
func (s *simulation) deliverLater(maxDelay time.Duration, do func()) {
	if s.faults && s.rnd.Intn(20) == 0 {
		return
	}
	if s.faults && s.rnd.Intn(20) == 0 {
		maxDelay = 2 * time.Second
	}
	s.messages = append(s.messages, message{s.now.Add(time.Duration(s.rnd.Int63n(int64(maxDelay)))), do})
}

func (s *simulation) run(d time.Duration) error {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tick)
		s.deliver()
		s.leaderStep()
		for i := range 12 {
			if e := s.entries[model.EntryID(fmt.Sprintf("e%d", i))]; e != nil {
				s.entryStep(e)
			}
		}
		s.sendHeartbeats()
		for key, target := range s.targets {
			if target.peak > target.slots {
				return fmt.Errorf("target %v runs %d requests with %d slots", key, target.peak, target.slots)
			}
		}
	}
	return nil
}

func (s *simulation) deliver() {
	due := s.messages
	s.messages = nil
	for _, m := range due {
		if m.at.After(s.now) {
			s.messages = append(s.messages, m)
			continue
		}
		m.do()
	}
}

// leaderStep acts as the leader: it renews the leases of instances that have the newest view,
// and removes members whose lease has expired.
func (s *simulation) leaderStep() {
	for i := range 12 {
		id := model.EntryID(fmt.Sprintf("e%d", i))
		e, at := s.entries[id], s.renewedAt[id]
		if at.IsZero() {
			continue
		}
		if s.now.Sub(at) > MaxLease {
			delete(s.renewedAt, id)
			s.commit(s.view.Members.Delete(id), s.view.Slots)
			continue
		}
		m, _ := s.view.Members.Get(id)
		if e == nil || e.partitioned || m.Epoch != e.self.Epoch || s.now.Sub(at) < 500*time.Millisecond {
			continue
		}
		s.renewedAt[id] = s.now
		until, index := s.now.Add(MaxLease), s.index
		if e.index >= index {
			e.owner.Renew(e.self, until)
			e.holder.Renew(until)
		}
	}
}

func (s *simulation) entryStep(e *entryProcess) {
	if s.entries[e.self.Entry] != e {
		return
	}
	if !e.partitioned && e.index != s.index && s.rnd.Intn(4) == 0 {
		s.applyView(e)
	}
	var keys []TargetIncarnation
	var accounts []*Account
	for i := range 12 {
		for g := range 3 {
			if k := (TargetIncarnation{model.TargetID(fmt.Sprintf("t%d", i)), uint64(g)}); s.targets[k] != nil && e.holder.Account(k) != nil {
				keys = append(keys, k)
				accounts = append(accounts, e.holder.Account(k))
			}
		}
	}
	need := s.rnd.Intn(s.maxDemand + 1)
	for _, k := range keys {
		for need > 0 && e.holder.Account(k).Usable(s.now) > 0 {
			s.dispatch(e, k)
			need--
		}
	}
	SpreadDemand(accounts, 8, need, s.rnd.Intn(100))
	for _, r := range e.holder.Reports(s.now) {
		s.send(e, r)
	}
}

// applyView applies the newest view; a member that was removed joins again.
func (s *simulation) applyView(e *entryProcess) {
	m, ok := s.view.Members.Get(e.self.Entry)
	if !ok || m.Epoch != e.self.Epoch {
		s.lastEpoch++
		e.self.Epoch = s.lastEpoch
		s.commit(s.view.Members.Set(e.self.Entry, model.EntryMember{ID: e.self.Entry, Epoch: e.self.Epoch}), s.view.Slots)
		s.renewedAt[e.self.Entry] = s.now
		e.holder.SetIdentity(e.self)
	}
	e.index = s.index
	if e.owner.self != e.self {
		e.owner.Renew(e.self, s.now)
	}
	for to, list := range sorted(e.owner.ApplyView(s.now, s.view), func(m Member) string { return string(m.Entry) }) {
		slices.SortFunc(list, func(a, b Handover) int { return strings.Compare(string(a.Key.Target), string(b.Key.Target)) })
		for _, h := range list {
			s.deliverLater(50*time.Millisecond, func() {
				if o := s.entries[to.Entry]; o != nil && o.self == to {
					o.owner.ApplyHandover(s.now, h)
				}
			})
		}
	}
	if s.breakRule != nil {
		s.breakRule(e.owner)
	}
	e.holder.ApplyView(s.view)
}

func (s *simulation) send(e *entryProcess, r Report) {
	s.deliverLater(50*time.Millisecond, func() {
		o := s.entries[r.To.Entry]
		if o == nil || o.partitioned || e.partitioned {
			return
		}
		grants, ok := o.owner.ApplyReport(s.now, r)
		s.deliverLater(50*time.Millisecond, func() {
			if s.entries[e.self.Entry] != e {
				return
			}
			if ok {
				e.holder.ApplyGrants(s.now, r, grants)
			} else {
				e.holder.ReportFailed(r)
			}
		})
	})
}

// dispatch sends a request. Under faults the holder abandons some requests before they end.
func (s *simulation) dispatch(e *entryProcess, k TargetIncarnation) {
	account := e.holder.Account(k)
	account.Use()
	e.lastRequest++
	slot := fmt.Sprintf("%s.%d.%d", e.self.Entry, e.self.Epoch, e.lastRequest)
	target, self := s.targets[k], e.self
	arrive := s.now.Add(time.Duration(s.rnd.Int63n(int64(50 * time.Millisecond))))
	if s.faults && s.rnd.Intn(50) == 0 {
		arrive = s.now.Add(600 * time.Millisecond)
	}
	run := time.Duration(s.rnd.Int63n(int64(400 * time.Millisecond)))
	if s.rnd.Intn(30) == 0 {
		run = 6 * time.Second
	}
	abandon := s.faults && s.rnd.Intn(30) == 0
	if abandon {
		s.messages = append(s.messages, message{s.now.Add(100 * time.Millisecond), func() { account.Abandon(s.now, slot) }})
	}
	s.messages = append(s.messages, message{arrive, func() {
		target.running[slot] = self
		target.peak = max(target.peak, len(target.running))
		s.messages = append(s.messages, message{s.now.Add(run), func() {
			delete(target.running, slot)
			if !abandon {
				s.messages = append(s.messages, message{s.now.Add(10 * time.Millisecond), func() { account.Free() }})
			}
		}})
	}})
}

func (s *simulation) sendHeartbeats() {
	if s.now.UnixMilli()%500 != 0 {
		return
	}
	for key, target := range sorted(s.targets, func(k TargetIncarnation) string { return string(k.Target) }) {
		target.sequence++
		heartbeat := Heartbeat{Key: key, Sequence: target.sequence, Running: map[Member][]string{}}
		for slot, m := range target.running {
			heartbeat.Running[m] = append(heartbeat.Running[m], slot)
		}
		m, ok := ownership.Owner(s.view.Members, key.Target, "")
		if !ok {
			continue
		}
		s.deliverLater(100*time.Millisecond, func() {
			if o := s.entries[m.ID]; o != nil && !o.partitioned {
				o.owner.ApplyHeartbeat(s.now, heartbeat)
			}
		})
	}
}
