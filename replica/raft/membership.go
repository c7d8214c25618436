package raft

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"lacewingturn.example/core/model"
)

// step applies a membership change requested by an operator.
func (c ChangeMembership) step(m *machine) {
	result := Proposed{Refusal: RefusedNotLeader}
	if m.role == Leader {
		result = m.change(c)
	}
	m.out.Proposed = &result
}

// canChangeMembership reports whether a membership change may be appended: the
// previous change and an entry of the current term must be committed. Without the
// second condition, two leaders could use memberships whose quorums do not
// overlap.
func (m *machine) canChangeMembership() bool {
	if m.rules.overlappingChanges {
		return m.role == Leader
	}
	term, ok := m.log.Term(m.commit)
	return m.role == Leader && ok && term == m.hard.Term && m.memberships[len(m.memberships)-1].index <= m.commit
}

func (m *machine) change(c ChangeMembership) Proposed {
	next, ok := m.Members().with(c)
	if !ok || !m.canChangeMembership() || !m.hasReachableQuorum(next) {
		return Proposed{Refusal: RefusedChange}
	}
	m.appendAsLeader(Entry{Kind: KindMembership, Value: next})
	m.syncPeers()
	return Proposed{First: m.log.Last(), Term: m.hard.Term}
}

// hasReachableQuorum reports whether a quorum of members has answered within
// ElectionMin. A change to a membership without a reachable quorum could neither
// be committed nor reverted.
func (m *machine) hasReachableQuorum(members Membership) bool {
	n := 0
	for _, member := range members {
		p := m.peer(member.ID)
		if member.Voter && (member.ID == m.cfg.ID || p != nil && !p.refused && m.now.Sub(p.contact) < m.cfg.ElectionMin) {
			n++
		}
	}
	return n >= members.Quorum()
}

// with returns the membership after the change of a single member. It returns
// false if the change is not valid.
func (m Membership) with(c ChangeMembership) (Membership, bool) {
	next := slices.Clone(m)
	i := slices.IndexFunc(m, func(o Member) bool { return o.ID == c.Member.ID })
	switch c.Kind {
	case AddLearner:
		if i >= 0 || c.Member.ID == "" {
			return m, false
		}
		c.Member.Voter = false
		next = append(next, c.Member)
		slices.SortFunc(next, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
		return next, true
	case Promote:
		if i < 0 || m[i].Voter {
			return m, false
		}
		next[i].Voter, next[i].Replaces = true, ""
		return next, true
	case Remove:
		if i < 0 || m[i].Voter && m.Voters() == 1 {
			return m, false
		}
		return slices.Delete(next, i, i+1), true
	case Update:
		if i < 0 || m[i].Address == c.Member.Address && m[i].Domain == c.Member.Domain {
			return m, false
		}
		next[i].Address, next[i].Domain = c.Member.Address, c.Member.Domain
		return next, true
	}
	return m, false
}

// afterCommit steps down if the committed membership no longer includes this
// leader as a voter. Otherwise it continues a replacement without waiting for the
// next heartbeat, because fault tolerance is reduced between its steps.
func (m *machine) afterCommit() {
	last := m.memberships[len(m.memberships)-1]
	if last.index <= m.commit && !last.members.Voter(m.cfg.ID) {
		TransferLeadership{}.step(m)
		return
	}
	m.maintainMembers()
}

// silence returns how long a member has not answered; 0 for this replica.
func (m *machine) silence(id model.ReplicaID) time.Duration {
	if p := m.peer(id); p != nil {
		return m.now.Sub(p.contact)
	}
	return 0
}

// unreachable reports whether a member has not answered for ReplaceAfter.
func (m *machine) unreachable(id model.ReplicaID) bool { return m.silence(id) > m.cfg.ReplaceAfter }

// superseded reports whether another incarnation serves at the address of a member.
func (m *machine) superseded(id model.ReplicaID) bool {
	p := m.peer(id)
	return p != nil && p.superseded()
}

// lost reports whether a member may be replaced by another incarnation with its name: its disk
// is known to be lost, or it is unreachable.
func (m *machine) lost(id model.ReplicaID) bool { return m.superseded(id) || m.unreachable(id) }

// step records that the disk of a member is lost, and admits the incarnation that has taken its
// place. A new incarnation is drawn only for an empty data folder, and one process at a time
// serves at an address, so that no time needs to pass before the member is replaced. A connection
// of an earlier time proves nothing once the member has answered a later message.
func (s Superseded) step(m *machine) {
	old, ok := m.Members().Get(s.ID)
	if m.role != Leader || !ok || s.ID == m.cfg.ID || !s.By.replaces(old) {
		return
	}
	p := m.peer(s.ID)
	before := p.superseded()
	if s.AskedAt.After(p.supersededAt) {
		p.supersededAt = s.AskedAt
	}
	if !p.superseded() {
		return
	}
	if !before {
		m.notice(MemberSuperseded, s.ID)
	}
	Join{Member: s.By}.step(m)
}

// replaces reports whether the member is another incarnation of the replica old at the same address.
func (o Member) replaces(old Member) bool {
	return o.ID != old.ID && ReplicaName(o.ID) == ReplicaName(old.ID) && o.Address == old.Address
}

// caughtUp reports whether a learner is reachable and holds all committed entries.
func (m *machine) caughtUp(id model.ReplicaID) bool {
	p := m.peer(id)
	return p != nil && !p.refused && !p.probing && p.match >= m.commit && m.now.Sub(p.contact) < m.cfg.ElectionMin
}

// step admits a new incarnation of a lost member or a replica with a new
// name, or updates the address of a member. A lost learner that replaces nobody is only removed;
// its new incarnation is admitted by a later Join.
func (j Join) step(m *machine) {
	if !m.canChangeMembership() {
		return
	}
	if _, ok := m.Members().Get(j.Member.ID); ok {
		m.change(ChangeMembership{Kind: Update, Member: j.Member})
		return
	}
	for _, old := range m.Members() {
		if ReplicaName(old.ID) != ReplicaName(j.Member.ID) || !m.lost(old.ID) {
			continue
		}
		if !old.Voter && old.Replaces == "" {
			m.change(ChangeMembership{Kind: Remove, Member: old})
			return
		}
		learner := j.Member
		learner.Replaces = cmp.Or(old.Replaces, old.ID)
		m.change(ChangeMembership{Kind: AddLearner, Member: learner})
		return
	}
	if m.cfg.TargetVoters == 0 || slices.ContainsFunc(m.Members(), func(o Member) bool { return ReplicaName(o.ID) == ReplicaName(j.Member.ID) }) {
		return
	}
	if len(m.Members()) < m.cfg.TargetVoters+maxLearners {
		m.change(ChangeMembership{Kind: AddLearner, Member: j.Member})
		return
	}
	// A later Join is admitted to the place of a lost learner.
	m.removeLostLearner(m.cfg.ReplaceAfter)
}

// maxLearners is the number of members admitted in addition to TargetVoters.
const maxLearners = 8

// removeLostLearner removes a learner whose disk is lost, or else the one that has not answered
// for the longest time, if that is longer than the given one. Voters are never removed for that alone.
func (m *machine) removeLostLearner(after time.Duration) {
	var lost Member
	longest := after
	for _, member := range m.Members() {
		if member.Voter || m.holdsVoterSlot(member) {
			continue
		}
		if m.superseded(member.ID) {
			m.change(ChangeMembership{Kind: Remove, Member: member})
			return
		}
		if silence := m.silence(member.ID); silence > longest {
			lost, longest = member, silence
		}
	}
	if longest > after {
		m.change(ChangeMembership{Kind: Remove, Member: lost})
	}
}

// holdsVoterSlot reports whether only the learner records that a voter is missing: the voter that it
// replaces has been removed already, and no other learner replaces it.
func (m *machine) holdsVoterSlot(learner Member) bool {
	if _, waits := m.Members().Get(learner.Replaces); learner.Replaces == "" || waits || m.hasTargetVoters() {
		return false
	}
	return !slices.ContainsFunc(m.Members(), func(o Member) bool { return o.ID != learner.ID && o.Replaces == learner.Replaces })
}

// hasTargetVoters reports whether there are as many voters as there are to be; false if operators
// decide that.
func (m *machine) hasTargetVoters() bool {
	return m.cfg.TargetVoters > 0 && m.Members().Voters() >= m.cfg.TargetVoters
}

// maintainMembers takes the next step of a replacement: a learner that has caught
// up replaces the lost incarnation. The lost incarnation is removed before the
// learner is promoted; otherwise the quorum would be larger while the lost
// incarnation cannot vote. If there is no replacement to do, it removes a learner that
// has not answered for RemoveLearnerAfter.
func (m *machine) maintainMembers() {
	if !m.canChangeMembership() {
		return
	}
	for _, learner := range m.Members() {
		if learner.Voter || !m.caughtUp(learner.ID) {
			continue
		}
		if m.advanceLearner(learner) {
			return
		}
	}
	m.removeLostLearner(m.cfg.RemoveLearnerAfter)
}

// advanceLearner takes the next step for a learner that has caught up, and reports whether a
// change was appended.
func (m *machine) advanceLearner(learner Member) bool {
	if learner.Replaces == "" {
		return m.promoteLearner(learner)
	}
	old, ok := m.Members().Get(learner.Replaces)
	if !ok && m.hasTargetVoters() {
		return m.promoteLearner(learner) // another replica has taken the place
	}
	if !ok {
		return m.change(ChangeMembership{Kind: Promote, Member: learner}).Refusal == Appended
	}
	return m.lost(old.ID) && m.Members().Voters() > 1 && m.change(ChangeMembership{Kind: Remove, Member: old}).Refusal == Appended
}

// promoteLearner takes the next step for a learner that does not replace an
// incarnation of its own name. The learner is promoted while there are fewer than
// TargetVoters voters; otherwise an unreachable voter is removed to make room for
// it. It reports whether a change was appended.
func (m *machine) promoteLearner(learner Member) bool {
	if m.cfg.TargetVoters == 0 {
		return false
	}
	if m.Members().Voters() < m.cfg.TargetVoters {
		return m.change(ChangeMembership{Kind: Promote, Member: learner}).Refusal == Appended
	}
	for _, old := range m.Members() {
		if old.Voter && old.ID != m.cfg.ID && m.unreachable(old.ID) {
			return m.change(ChangeMembership{Kind: Remove, Member: old}).Refusal == Appended
		}
	}
	return false
}
