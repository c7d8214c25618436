package raft

import "lacewingturn.example/core/model"

// onAppend handles entries, or a heartbeat without entries, from the leader.
func (m *machine) onAppend(msg Message) {
	reply := Message{Type: AppendReply, To: msg.From, Term: m.hard.Term, Context: msg.Context}
	if msg.Term < m.hard.Term {
		reply.Reject = true
		m.send(reply, 0)
		return
	}
	if m.role == Leader {
		return // a second leader in the same term, which the election rules prevent
	}
	m.follow(msg.From)
	msg = m.trim(msg)
	if term, ok := m.log.Term(msg.Index); !ok || term != msg.LogTerm {
		reply.Reject, reply.Index, reply.Hint, reply.Commit = true, msg.Index, m.hint(msg.Index), m.log.Last()
		m.send(reply, 0)
		return
	}
	if !m.accept(msg.Entries) {
		return
	}
	matched := msg.Index + model.Index(len(msg.Entries))
	m.commitTo(min(msg.Commit, matched))
	if len(msg.Entries) == 0 {
		reply.Index = min(matched, m.writes.durable)
		m.send(reply, 0)
		return
	}
	reply.Index = matched
	m.send(reply, m.writes.seq)
}

// trim removes the entries that the snapshot of this replica already covers.
func (m *machine) trim(msg Message) Message {
	base := m.log.Base()
	for len(msg.Entries) > 0 && msg.Entries[0].Index <= base {
		msg.Index, msg.LogTerm = msg.Entries[0].Index, msg.Entries[0].Term
		msg.Entries = msg.Entries[1:]
	}
	if msg.Index < base {
		msg.Index, msg.LogTerm = base, m.log.baseTerm
	}
	return msg
}

// hint returns the highest index below rejected at which the log may match the
// leader's, given that the logs do not match at rejected. It skips all entries of
// the conflicting term to save round trips.
func (m *machine) hint(rejected model.Index) model.Index {
	last := m.log.Last()
	if rejected > last {
		return last
	}
	term, _ := m.log.Term(rejected)
	i := rejected - 1
	for i > m.commit {
		if t, _ := m.log.Term(i); t != term {
			break
		}
		i--
	}
	return max(i, m.commit)
}

// accept appends the entries that are not in the log yet and replaces a
// conflicting tail. If the conflict concerns a committed entry, it halts the
// replica and returns false.
func (m *machine) accept(entries []Entry) bool {
	for len(entries) > 0 {
		term, ok := m.log.Term(entries[0].Index)
		if !ok || term != entries[0].Term {
			break
		}
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return true
	}
	first := entries[0].Index
	if first <= m.commit {
		m.notice(LogConflict, m.leader)
		m.role, m.halted = Follower, true
		return false
	}
	if first <= m.log.Last() {
		m.truncate(first)
	}
	m.log = m.log.append(entries...)
	for _, e := range entries {
		m.track(e)
	}
	m.write(Write{Entries: entries})
	return true
}

func (m *machine) truncate(from model.Index) {
	m.log = m.log.truncate(from)
	m.writes.truncate(from)
	n := len(m.memberships)
	for n > 1 && m.memberships[n-1].index >= from {
		n--
	}
	m.memberships = m.memberships[:n:n]
}

// track updates the clock and the membership from an appended entry. A membership
// is in effect as soon as it is in the log.
func (m *machine) track(e Entry) {
	m.clock = max(m.clock, e.Time)
	if e.Kind == KindMembership {
		m.memberships = append(m.memberships, membershipAt{e.Index, e.Value.(Membership)})
		m.notice(MembershipChanged, "")
	}
}

func (m *machine) commitTo(index model.Index) { m.commit = max(m.commit, index) }

// step installs a snapshot of the leader's state. A log that matches the snapshot
// is kept, because its tail may have been acknowledged.
func (s SnapshotReceived) step(m *machine) {
	if s.Term < m.hard.Term || m.role == Leader && s.Term == m.hard.Term {
		return
	}
	if s.Term > m.hard.Term {
		m.becomeFollower(s.Term)
	}
	m.follow(s.From)
	snap := s.Snapshot
	reply := Message{Type: AppendReply, To: s.From, Term: m.hard.Term, Index: snap.Index}
	term, ok := m.log.Term(snap.Index)
	switch {
	case snap.Index <= m.commit:
		reply.Index = min(m.commit, m.writes.durable)
	case ok && term == snap.Term:
		m.commitTo(snap.Index)
	default:
		m.install(snap)
	}
	m.send(reply, m.writes.seq)
}

func (m *machine) install(snap Snapshot) {
	m.log = NewLog(snap.Index, snap.Term, nil)
	m.commit, m.applied = snap.Index, snap.Index
	m.clock = max(m.clock, snap.Clock)
	m.memberships = []membershipAt{{snap.Index, snap.Members}}
	m.writes.truncate(1)
	m.write(Write{Install: &snap})
	m.out.Restore = &snap
	m.notice(MembershipChanged, "")
}
