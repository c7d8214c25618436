package raft

import "lacewingturn.example/core/model"

// durability tracks which storage writes have been synced.
type durability struct {
	seq     uint64 // number of the last write issued
	synced  uint64 // number of the last write known to be durable
	termSeq uint64 // number of the write that contains the current term and vote
	// durable is the highest log index known to be durable.
	durable model.Index
	pending []pendingWrite
}

// pendingWrite is a write that has not been synced yet.
type pendingWrite struct {
	seq  uint64
	last model.Index // last index of the log after the write
}

// deferredMessage is a message that is sent once write afterSeq is durable.
type deferredMessage struct {
	afterSeq uint64
	message  Message
}

// write numbers w and adds it to the effects. The log must already contain the
// entries of w.
func (m *machine) write(w Write) {
	m.writes.seq++
	w.Seq = m.writes.seq
	if w.Hard != nil {
		m.writes.termSeq = w.Seq
	}
	m.writes.pending = append(m.writes.pending, pendingWrite{w.Seq, m.log.Last()})
	m.out.Writes = append(m.out.Writes, w)
}

func (m *machine) writeHard() {
	hard := m.hard
	m.write(Write{Hard: &hard})
}

// truncate records that the entry at index from and all later ones were removed.
// Without it, a pending write of the removed entries would make the entries that replace
// them count as durable.
func (d *durability) truncate(from model.Index) {
	d.durable = min(d.durable, from-1)
	pending := make([]pendingWrite, len(d.pending))
	for i, p := range d.pending {
		pending[i] = pendingWrite{p.seq, min(p.last, from-1)}
	}
	d.pending = pending
}

// step marks all writes up to Seq as durable and sends the messages deferred
// until then.
func (p Persisted) step(m *machine) {
	m.writes.synced = max(m.writes.synced, p.Seq)
	for len(m.writes.pending) > 0 && m.writes.pending[0].seq <= p.Seq {
		m.writes.durable = max(m.writes.durable, m.writes.pending[0].last)
		m.writes.pending = m.writes.pending[1:]
	}
	n := 0
	for n < len(m.deferred) && m.deferred[n].afterSeq <= p.Seq {
		m.out.Messages = append(m.out.Messages, m.deferred[n].message)
		n++
	}
	m.deferred = m.deferred[n:]
	switch m.role {
	case Candidate:
		m.tally()
	case Leader:
		m.advanceCommit()
	}
}

// step ends leadership. A replica whose storage failed takes no part in the protocol
// until it is restarted, because it cannot know which writes reached the disk.
func (StorageFailed) step(m *machine) {
	if m.role == Leader {
		m.notice(LeaderLost, "")
	}
	m.role, m.leader, m.failed = Follower, "", true
	m.peers, m.deferred = nil, nil
}

// send sends msg once the write with number afterSeq and the write of the current
// term are durable.
func (m *machine) send(msg Message, afterSeq uint64) {
	msg.From = m.cfg.ID
	afterSeq = max(afterSeq, m.writes.termSeq)
	if afterSeq <= m.writes.synced || m.rules.replyBeforeSync {
		m.out.Messages = append(m.out.Messages, msg)
		return
	}
	// m.deferred is sorted by afterSeq. New messages usually go to the end, because
	// write numbers increase; a message that depends only on the write of the
	// term is inserted before those that wait for later writes.
	at := len(m.deferred)
	for at > 0 && m.deferred[at-1].afterSeq > afterSeq {
		at--
	}
	deferred := make([]deferredMessage, 0, len(m.deferred)+1)
	deferred = append(append(deferred, m.deferred[:at]...), deferredMessage{afterSeq, msg})
	m.deferred = append(deferred, m.deferred[at:]...)
}
