package raft

import (
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

// peer is the replication progress of another member, as tracked by the leader.
type peer struct {
	id    model.ReplicaID
	match model.Index // highest index acknowledged as durable
	next  model.Index // next entry to send
	// probing is set until an acknowledgement shows where the logs match. Until
	// then only one message is in flight at a time.
	probing   bool
	probeSent bool // a probe is in flight
	snapshot  bool // a snapshot is being sent
	refused   bool // its log has lost acknowledged entries; nothing is sent to it
	// contact is the time at which the latest answered message was sent.
	contact time.Time
	// supersededAt is when another incarnation with its name was found at its address; zero if
	// none was.
	supersededAt time.Time
	// matchAt is when match last increased.
	matchAt time.Time
	commit  model.Index // last commit index sent
}

// superseded reports whether another incarnation serves at the address of the peer. A later
// answer of the peer shows that it is back.
func (p *peer) superseded() bool { return p.supersededAt.After(p.contact) }

func (p *peer) probe(next model.Index) { p.next, p.probing, p.probeSent = next, true, false }

func (m *machine) peer(id model.ReplicaID) *peer {
	for i := range m.peers {
		if m.peers[i].id == id {
			return &m.peers[i]
		}
	}
	return nil
}

func (m *machine) becomeLeader() {
	m.role, m.leader, m.leaderSince, m.transfer = Leader, m.cfg.ID, m.now, false
	m.heartbeatAt = m.now
	m.peers = nil
	m.syncPeers()
	for i := range m.peers {
		m.peers[i].contact = m.lastContact(m.peers[i].id)
	}
	m.notice(BecameLeader, "")
	m.appendAsLeader(Entry{Kind: KindNoop})
}

// lastContact returns when a member may last have been in contact, as far as a replica that
// becomes leader knows. The previous leader was in contact when its last message arrived, unless
// it has voted since; of the others nothing is known from before the election.
func (m *machine) lastContact(id model.ReplicaID) time.Time {
	if id == m.lastLeader && !slices.Contains(m.granted, id) {
		return m.leaderContact
	}
	return m.campaignAt
}

// syncPeers updates the list of peers to the current membership. It keeps the
// progress of members that remain.
func (m *machine) syncPeers() {
	old := m.peers
	m.peers = nil
	for _, member := range m.Members() {
		if member.ID == m.cfg.ID {
			continue
		}
		i := slices.IndexFunc(old, func(p peer) bool { return p.id == member.ID })
		if i >= 0 {
			m.peers = append(m.peers, old[i])
			continue
		}
		m.peers = append(m.peers, peer{id: member.ID, next: m.log.Last() + 1, probing: true, contact: m.now})
	}
}

// appendAsLeader appends new entries to the log after setting their index, term
// and time.
func (m *machine) appendAsLeader(entries ...Entry) {
	m.clock = max(m.clock, model.TimestampOf(m.now))
	for i := range entries {
		entries[i].Index = m.log.Last() + model.Index(i) + 1
		entries[i].Term = m.hard.Term
		entries[i].Time = m.clock
	}
	m.log = m.log.append(entries...)
	for _, e := range entries {
		m.track(e)
	}
	m.write(Write{Entries: entries})
}

func (m *machine) leaderTick() {
	if m.now.Before(m.heartbeatAt) {
		return
	}
	if m.now.Sub(m.quorumContact()) > m.cfg.ElectionMin {
		m.notice(LostQuorum, "")
		m.leader = ""
		m.becomeFollower(m.hard.Term)
		return
	}
	m.heartbeatAt = m.now.Add(max(m.cfg.Heartbeat, time.Duration(len(m.peers))*m.cfg.HeartbeatPerPeer))
	for i := range m.peers {
		p := &m.peers[i]
		p.probeSent = false
		m.heartbeat(p)
	}
	m.maintainMembers()
}

// heartbeat sends an Append without entries. While a snapshot is being sent, the
// Append refers to index 0, which matches any log.
func (m *machine) heartbeat(p *peer) {
	if p.refused {
		return
	}
	at := p.next - 1
	if p.snapshot || at < m.log.Base() {
		at = 0
	}
	m.sendAppend(p, at, nil)
}

func (m *machine) sendAppend(p *peer, at model.Index, entries []Entry) {
	term, _ := m.log.Term(at)
	p.commit = m.commit
	m.send(Message{
		Type: Append, To: p.id, Term: m.hard.Term, Index: at, LogTerm: term, Commit: m.commit,
		Context: uint64(m.now.Sub(m.started)), Entries: entries,
	}, 0)
}

// replicate sends each peer the entries that it lacks, or requests a snapshot
// transfer if they are no longer in the log.
func (m *machine) replicate() {
	for i := range m.peers {
		p := &m.peers[i]
		if p.refused || p.snapshot || p.probing && p.probeSent {
			continue
		}
		if p.next <= m.log.Base() {
			p.snapshot = true
			m.out.SendSnapshots = append(m.out.SendSnapshots, p.id)
			continue
		}
		m.replicateTo(p)
	}
}

func (m *machine) replicateTo(p *peer) {
	for p.next <= m.log.Last() && p.next <= p.match+m.cfg.MaxInflight || p.probing {
		entries := m.log.Slice(p.next-1, m.log.Last(), m.cfg.MaxAppendBytes)
		m.sendAppend(p, p.next-1, entries)
		if p.probing {
			p.probeSent = true
			return
		}
		p.next += model.Index(len(entries))
	}
	if p.commit < m.commit {
		m.sendAppend(p, p.next-1, nil)
	}
}

func (m *machine) onAppendReply(msg Message) {
	p := m.peer(msg.From)
	if m.role != Leader || msg.Term != m.hard.Term || p == nil || p.refused {
		return
	}
	sent := m.started.Add(time.Duration(msg.Context))
	if sent.After(p.contact) {
		p.contact = sent
	}
	if msg.Reject {
		m.onAppendRejected(p, msg, sent)
		return
	}
	p.probeSent = false
	if msg.Index > p.match {
		p.match, p.matchAt = msg.Index, m.now
		m.advanceCommit()
	}
	if !p.snapshot && (p.probing || p.next <= p.match) && msg.Index == p.match {
		p.next, p.probing = max(p.next, p.match+1), false
	}
}

// onAppendRejected moves next back to where the logs may match. If the rejected message
// was sent after the follower had acknowledged a higher index than its log now
// has, the follower has lost durable entries. Counting it towards a quorum could
// lose committed entries, so the leader refuses it.
func (m *machine) onAppendRejected(p *peer, msg Message, sent time.Time) {
	if msg.Commit < p.match && sent.After(p.matchAt) {
		p.refused = true
		m.notice(PeerLostEntries, p.id)
		m.send(Message{Type: RejectFollower, To: p.id, Term: m.hard.Term}, 0)
		return
	}
	if msg.Index <= p.match || p.snapshot || msg.Index >= p.next {
		return // a stale reply
	}
	p.probe(max(p.match, min(msg.Hint, msg.Index-1)) + 1)
}

// advanceCommit commits the entries that a quorum holds durably. Only an entry of
// the current term is committed by counting replicas; earlier entries are
// committed along with it.
func (m *machine) advanceCommit() {
	if m.role != Leader {
		return
	}
	index := m.quorumMatch()
	term, ok := m.log.Term(index)
	if !ok || index <= m.commit || term != m.hard.Term && !m.rules.commitAnyTerm {
		return
	}
	m.commitTo(index)
	m.afterCommit()
}

// quorumMatch returns the highest index that is durable on a quorum of voters.
func (m *machine) quorumMatch() model.Index {
	var matches []model.Index
	for _, member := range m.Members() {
		if !member.Voter {
			continue
		}
		if member.ID == m.cfg.ID {
			matches = append(matches, m.writes.durable)
		} else if p := m.peer(member.ID); p != nil {
			matches = append(matches, p.match)
		}
	}
	if len(matches) == 0 {
		return 0
	}
	slices.Sort(matches)
	return matches[len(matches)-m.Members().Quorum()]
}

// quorumContact returns the latest time at which a quorum of voters is known to
// have followed this leader.
func (m *machine) quorumContact() time.Time {
	var contacts []time.Time
	for _, member := range m.Members() {
		if !member.Voter {
			continue
		}
		if member.ID == m.cfg.ID {
			contacts = append(contacts, m.now)
		} else if p := m.peer(member.ID); p != nil {
			contacts = append(contacts, p.contact)
		}
	}
	if len(contacts) == 0 {
		return m.now
	}
	slices.SortFunc(contacts, time.Time.Compare)
	return contacts[len(contacts)-m.Members().Quorum()]
}

// step tells the voter with the highest acknowledged index to start an election,
// and steps down. This replica sets its own election timeout to ElectionMax.
func (TransferLeadership) step(m *machine) {
	if m.role != Leader {
		return
	}
	var best *peer
	for i := range m.peers {
		p := &m.peers[i]
		if m.Members().Voter(p.id) && !p.refused && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if best != nil {
		m.send(Message{Type: TimeoutNow, To: best.id, Term: m.hard.Term}, 0)
	}
	m.leader = ""
	m.becomeFollower(m.hard.Term)
	m.electionAt = m.now.Add(m.cfg.ElectionMax)
}
