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

// site is a set of entry instances that share targets, driven step by step with
// a seeded random source. It models what the protocol relies on: a log of
// views, leases, messages that are lost or late, and targets that list what
// they run.
type site struct {
	rnd     *rand.Rand
	now     time.Time
	faults  bool
	broken  func(*Owner) // applied after each change of an owner's view
	view    View
	index   int // of the view; grows with each change
	entries map[model.EntryID]*entryLife
	renewed map[model.EntryID]time.Time
	posts   []post
	targets map[Key]*backend
	epochs  uint64
	demand  int
}

// entryLife is one process. Its parts survive a partition but not a crash.
type entryLife struct {
	self   Member
	owner  *Owner
	holder *Holder
	cutOff bool
	index  int
	serial int
	flight map[string]Key
}

type post struct {
	at time.Time
	do func()
}

// backend counts what runs; the limit is its slots.
type backend struct {
	slots, most int
	running     map[string]Member
	sequence    uint64
}

const step = 10 * time.Millisecond

func newSite(seed int64, entries, targets int) *site {
	s := &site{
		rnd: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0), faults: true,
		entries: map[model.EntryID]*entryLife{}, renewed: map[model.EntryID]time.Time{}, targets: map[Key]*backend{}, demand: 20,
	}
	s.view.Slots = map[Key]int{}
	for i := range entries {
		s.start(model.EntryID(fmt.Sprintf("e%d", i)))
	}
	for i := range targets {
		s.addTarget(Key{model.TargetID(fmt.Sprintf("t%d", i)), 1})
	}
	return s
}

// sorted iterates over a map in a fixed order, so that a seed gives one scenario.
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

func (s *site) addTarget(k Key) {
	s.targets[k] = &backend{slots: 8, running: map[string]Member{}}
	slots := map[Key]int{k: 8}
	for other, n := range s.view.Slots {
		slots[other] = n
	}
	s.commit(s.view.Members, slots)
}

func (s *site) commit(m ownership.Members, slots map[Key]int) {
	s.index++
	s.view = View{Members: m, Slots: slots}
}

// start begins a new life of an entry instance.
func (s *site) start(id model.EntryID) {
	s.epochs++
	e := &entryLife{self: Member{id, s.epochs}, owner: NewOwner(), holder: NewHolder(), flight: map[string]Key{}}
	s.entries[id] = e
	s.commit(s.view.Members.Set(id, model.EntryMember{ID: id, Epoch: s.epochs}), s.view.Slots)
	e.holder.Become(e.self)
	s.renewed[id] = s.now
}

// later delivers unless the message is lost.
func (s *site) later(most time.Duration, do func()) {
	if s.faults && s.rnd.Intn(20) == 0 {
		return
	}
	if s.faults && s.rnd.Intn(20) == 0 {
		most = 2 * time.Second
	}
	s.posts = append(s.posts, post{s.now.Add(time.Duration(s.rnd.Int63n(int64(most)))), do})
}

func (s *site) run(d time.Duration) error {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		s.deliver()
		s.control()
		for i := range 12 {
			if e := s.entries[model.EntryID(fmt.Sprintf("e%d", i))]; e != nil {
				s.entryStep(e)
			}
		}
		s.beats()
		for key, b := range s.targets {
			if b.most > b.slots {
				return fmt.Errorf("target %v runs %d requests with %d slots", key, b.most, b.slots)
			}
		}
	}
	return nil
}

func (s *site) deliver() {
	due := s.posts
	s.posts = nil
	for _, p := range due {
		if p.at.After(s.now) {
			s.posts = append(s.posts, p)
			continue
		}
		p.do()
	}
}

// control is the leader: it renews leases of instances that hold the newest
// view and removes members after their lease.
func (s *site) control() {
	for i := range 12 {
		id := model.EntryID(fmt.Sprintf("e%d", i))
		e, at := s.entries[id], s.renewed[id]
		if at.IsZero() {
			continue
		}
		if s.now.Sub(at) > Lease {
			delete(s.renewed, id)
			s.commit(s.view.Members.Delete(id), s.view.Slots)
			continue
		}
		m, _ := s.view.Members.Get(id)
		if e == nil || e.cutOff || m.Epoch != e.self.Epoch || s.now.Sub(at) < 500*time.Millisecond {
			continue
		}
		s.renewed[id] = s.now
		until, index := s.now.Add(Lease), s.index
		if e.index >= index {
			e.owner.Renew(e.self, until)
			e.holder.Renew(until)
		}
	}
}

func (s *site) entryStep(e *entryLife) {
	if s.entries[e.self.Entry] != e {
		return
	}
	if !e.cutOff && e.index != s.index && s.rnd.Intn(4) == 0 {
		s.follow(e)
	}
	var keys []Key
	var accounts []*Account
	for i := range 12 {
		for g := range 3 {
			if k := (Key{model.TargetID(fmt.Sprintf("t%d", i)), uint64(g)}); s.targets[k] != nil && e.holder.Account(k) != nil {
				keys = append(keys, k)
				accounts = append(accounts, e.holder.Account(k))
			}
		}
	}
	need := s.rnd.Intn(s.demand + 1)
	for _, k := range keys {
		for need > 0 && e.holder.Account(k).Usable(s.now) > 0 {
			s.dispatch(e, k)
			need--
		}
	}
	Want(accounts, 8, need, s.rnd.Intn(100))
	for _, r := range e.holder.Reports(s.now) {
		s.send(e, r)
	}
}

// follow applies the newest view; a member that was removed joins again.
func (s *site) follow(e *entryLife) {
	m, ok := s.view.Members.Get(e.self.Entry)
	if !ok || m.Epoch != e.self.Epoch {
		s.epochs++
		e.self.Epoch = s.epochs
		s.commit(s.view.Members.Set(e.self.Entry, model.EntryMember{ID: e.self.Entry, Epoch: e.self.Epoch}), s.view.Slots)
		s.renewed[e.self.Entry] = s.now
		e.holder.Become(e.self)
	}
	e.index = s.index
	if e.owner.self != e.self {
		e.owner.Renew(e.self, s.now)
	}
	for to, list := range sorted(e.owner.Change(s.now, s.view), func(m Member) string { return string(m.Entry) }) {
		slices.SortFunc(list, func(a, b Handover) int { return strings.Compare(string(a.Key.Target), string(b.Key.Target)) })
		for _, h := range list {
			s.later(50*time.Millisecond, func() {
				if o := s.entries[to.Entry]; o != nil && o.self == to {
					o.owner.Receive(s.now, h)
				}
			})
		}
	}
	if s.broken != nil {
		s.broken(e.owner)
	}
	e.holder.Change(s.view)
}

func (s *site) send(e *entryLife, r Report) {
	s.later(50*time.Millisecond, func() {
		o := s.entries[r.To.Entry]
		if o == nil || o.cutOff || e.cutOff {
			return
		}
		grants, ok := o.owner.Take(s.now, r)
		s.later(50*time.Millisecond, func() {
			if s.entries[e.self.Entry] != e {
				return
			}
			if ok {
				e.holder.Answer(s.now, r, grants)
			} else {
				e.holder.Lost(r)
			}
		})
	})
}

// dispatch sends a request that may be given up on before it ends.
func (s *site) dispatch(e *entryLife, k Key) {
	account := e.holder.Account(k)
	account.Use()
	e.serial++
	slot := fmt.Sprintf("%s.%d.%d", e.self.Entry, e.self.Epoch, e.serial)
	b, self := s.targets[k], e.self
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
		s.posts = append(s.posts, post{s.now.Add(100 * time.Millisecond), func() { account.Abandon(s.now, slot) }})
	}
	s.posts = append(s.posts, post{arrive, func() {
		b.running[slot] = self
		b.most = max(b.most, len(b.running))
		s.posts = append(s.posts, post{s.now.Add(run), func() {
			delete(b.running, slot)
			if !abandon {
				s.posts = append(s.posts, post{s.now.Add(10 * time.Millisecond), func() { account.Free() }})
			}
		}})
	}})
}

func (s *site) beats() {
	if s.now.UnixMilli()%500 != 0 {
		return
	}
	for key, b := range sorted(s.targets, func(k Key) string { return string(k.Target) }) {
		b.sequence++
		beat := Heartbeat{Key: key, Sequence: b.sequence, Running: map[Member][]string{}}
		for slot, m := range b.running {
			beat.Running[m] = append(beat.Running[m], slot)
		}
		m, ok := ownership.Of(s.view.Members, key.Target, "")
		if !ok {
			continue
		}
		s.later(100*time.Millisecond, func() {
			if o := s.entries[m.ID]; o != nil && !o.cutOff {
				o.owner.Beat(s.now, beat)
			}
		})
	}
}
