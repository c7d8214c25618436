package raft

import (
	"slices"

	"lacewingturn.example/core/model"
)

// transferContext marks a vote request of an election that the previous leader
// started by a leadership transfer.
const transferContext = 1

func (m *machine) tick() {
	if m.role == Leader {
		m.leaderTick()
		return
	}
	if m.now.Before(m.electionAt) {
		return
	}
	m.resetElection()
	if m.leader != "" {
		m.leader = ""
		m.notice(LeaderLost, "")
	}
	if m.mayCampaign() {
		m.campaign(PreCandidate)
	}
}

// mayCampaign reports whether this replica is a voter in the committed membership
// or in a later one. A replica whose removal is not known to be committed must be
// able to campaign, because its log may be the only one that is up to date.
func (m *machine) mayCampaign() bool {
	for i := len(m.memberships) - 1; i >= 0; i-- {
		if m.memberships[i].members.Voter(m.cfg.ID) {
			return true
		}
		if m.memberships[i].index <= m.commit {
			return false
		}
	}
	return false
}

// campaign starts a pre-vote (role PreCandidate) or an election (role Candidate).
// The pre-vote prevents a replica that was partitioned from raising the term and
// thereby deposing a working leader.
func (m *machine) campaign(role Role) {
	m.role, m.leader = role, ""
	m.granted = nil
	msg := Message{Type: PreVote, Term: m.hard.Term + 1, Index: m.log.Last(), LogTerm: m.log.LastTerm()}
	if role == Candidate {
		m.hard = HardState{Term: m.hard.Term + 1, Vote: m.cfg.ID}
		m.campaignAt = m.now
		m.writeHard()
		msg.Type = Vote
		if m.transfer {
			msg.Context = transferContext
		}
	}
	for _, member := range m.Members() {
		if member.Voter && member.ID != m.cfg.ID {
			msg.To = member.ID
			m.send(msg, 0)
		}
	}
	m.tally()
}

// tally counts the votes. With a quorum, a pre-candidate starts an election and a
// candidate becomes the leader. The replica's own vote in an election counts only
// once it is durable.
func (m *machine) tally() {
	votes := 0
	members := m.Members()
	own := m.role == PreCandidate || m.writes.termSeq <= m.writes.synced || m.rules.replyBeforeSync
	if own && members.Voter(m.cfg.ID) {
		votes++
	}
	for _, id := range m.granted {
		if members.Voter(id) {
			votes++
		}
	}
	if votes < members.Quorum() {
		return
	}
	if m.role == PreCandidate {
		m.campaign(Candidate)
		return
	}
	m.becomeLeader()
}

// becomeFollower makes this replica a follower in term. The vote of an earlier term
// is cleared, because it does not count in the new one.
func (m *machine) becomeFollower(term model.Term) {
	if m.role == Leader {
		m.notice(LeaderLost, "")
	}
	if m.role != Follower {
		m.resetElection()
	}
	m.role, m.peers, m.transfer = Follower, nil, false
	if term > m.hard.Term {
		m.hard = HardState{Term: term}
		m.leader = ""
		m.writeHard()
	}
}

// follow records contact with the leader of the current term.
func (m *machine) follow(leader model.ReplicaID) {
	if m.role != Follower {
		m.becomeFollower(m.hard.Term)
	}
	if m.leader != leader {
		m.leader = leader
		m.notice(LeaderDiscovered, leader)
	}
	m.lastLeader, m.leaderContact = leader, m.now
	m.resetElection()
}

// hasActiveLeader reports whether this replica leads or has heard from a leader
// within ElectionMin. This replica then votes for no other candidate, unless the
// leader transfers its leadership to that candidate.
func (m *machine) hasActiveLeader() bool {
	return m.role == Leader || m.leader != "" && m.now.Sub(m.leaderContact) < m.cfg.ElectionMin
}

// upToDate reports whether the log of the candidate that sent msg is at least as up
// to date as the log of this replica.
func (m *machine) upToDate(msg Message) bool {
	last := m.log.LastTerm()
	return m.rules.voteForStaleLog || msg.LogTerm > last || msg.LogTerm == last && msg.Index >= m.log.Last()
}

func (m *machine) onPreVote(msg Message) {
	grant := msg.Term > m.hard.Term && m.upToDate(msg) && !m.hasActiveLeader()
	reply := Message{Type: PreVoteReply, To: msg.From, Term: msg.Term, Reject: !grant}
	if !grant {
		reply.Term = m.hard.Term
	}
	m.send(reply, 0)
}

func (m *machine) onPreVoteReply(msg Message) {
	if msg.Reject || m.role != PreCandidate || msg.Term != m.hard.Term+1 {
		return
	}
	m.recordVote(msg.From)
}

func (m *machine) onVote(msg Message) {
	grant := msg.Term == m.hard.Term && (m.hard.Vote == "" || m.hard.Vote == msg.From) &&
		m.role == Follower && m.upToDate(msg)
	if grant && m.hard.Vote == "" {
		m.hard.Vote = msg.From
		m.writeHard()
	}
	if grant {
		m.resetElection()
	}
	m.send(Message{Type: VoteReply, To: msg.From, Term: m.hard.Term, Reject: !grant}, m.writes.termSeq)
}

func (m *machine) onVoteReply(msg Message) {
	if msg.Reject || m.role != Candidate || msg.Term != m.hard.Term {
		return
	}
	m.recordVote(msg.From)
}

// recordVote counts a vote or pre-vote that replica from granted to this replica.
func (m *machine) recordVote(from model.ReplicaID) {
	if !slices.Contains(m.granted, from) {
		m.granted = append(slices.Clone(m.granted), from)
	}
	m.tally()
}

// receive dispatches a message. A message with a newer term makes this replica a
// follower in that term first, except for pre-votes, which do not change the term.
// A vote request that is not part of a leadership transfer is dropped while there is
// an active leader, so that it cannot depose that leader.
func (m *machine) receive(msg Message) {
	if msg.To != m.cfg.ID {
		return // addressed to another incarnation that used this network address
	}
	if msg.Type == Vote && msg.Context != transferContext && msg.Term > m.hard.Term && m.hasActiveLeader() {
		return
	}
	preVote := msg.Type == PreVote || msg.Type == PreVoteReply && !msg.Reject
	if msg.Term > m.hard.Term && !preVote {
		m.becomeFollower(msg.Term)
	}
	switch msg.Type {
	case PreVote:
		m.onPreVote(msg)
	case PreVoteReply:
		m.onPreVoteReply(msg)
	case Vote:
		m.onVote(msg)
	case VoteReply:
		m.onVoteReply(msg)
	case Append:
		m.onAppend(msg)
	case AppendReply:
		m.onAppendReply(msg)
	case TimeoutNow:
		m.onTimeoutNow(msg)
	case RejectFollower:
		m.onRejectFollower(msg)
	}
}

func (m *machine) onTimeoutNow(msg Message) {
	if msg.Term == m.hard.Term && m.role == Follower && m.mayCampaign() {
		m.transfer = true
		m.campaign(Candidate)
	}
}

// onRejectFollower halts this replica, because its log has lost acknowledged entries.
func (m *machine) onRejectFollower(msg Message) {
	if msg.Term != m.hard.Term {
		return
	}
	m.notice(RefusedByPeer, msg.From)
	m.role, m.leader, m.halted = Follower, "", true
	m.deferred = nil
}
