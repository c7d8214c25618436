package raft

import "lacewingturn.example/core/model"

// durability tracks which writes have been synced.
type durability struct {
	seq     uint64 // last write issued
	synced  uint64 // last write known to be durable
	termSeq uint64 // the write that holds the current term and vote
	// durable is the last index of the log known to be durable.
	durable model.Index
	pending []pendingWrite
}

// pendingWrite is a write that has not been synced and the last index after it.
type pendingWrite struct {
	seq  uint64
	last model.Index
}

// heldMessage waits for a write to become durable.
type deferredMessage struct {
	afterSeq uint64
	message  Message
}

// write issues w. The log must already include its entries.
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

// forget records that entries from index on were dropped, so that a write still
// in flight does not count as holding their replacements.
func (d *durability) truncate(from model.Index) {
	d.durable = min(d.durable, from-1)
	pending := make([]pendingWrite, len(d.pending))
	for i, p := range d.pending {
		pending[i] = pendingWrite{p.seq, min(p.last, from-1)}
	}
	d.pending = pending
}

// step marks all writes up to Seq as durable and sends what waited for them.
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

// step gives up leadership. A replica whose storage failed takes no further
// part until it is restarted, because it cannot know what reached the disk.
func (StorageFailed) step(m *machine) {
	if m.role == Leader {
		m.notice(LostLeadership, "")
	}
	m.role, m.leader, m.failed = Follower, "", true
	m.peers, m.deferred = nil, nil
}

// send sends the message once the write with number needs and the current term
// are durable.
func (m *machine) send(msg Message, afterSeq uint64) {
	msg.From = m.cfg.ID
	afterSeq = max(afterSeq, m.writes.termSeq)
	if afterSeq <= m.writes.synced || m.rules.replyBeforeSync {
		m.out.Messages = append(m.out.Messages, msg)
		return
	}
	// held is kept in the order of needs because writes are numbered upwards,
	// except for messages that need only the term; those go before later writes.
	at := len(m.deferred)
	for at > 0 && m.deferred[at-1].afterSeq > afterSeq {
		at--
	}
	deferred := make([]deferredMessage, 0, len(m.deferred)+1)
	deferred = append(append(deferred, m.deferred[:at]...), deferredMessage{afterSeq, msg})
	m.deferred = append(deferred, m.deferred[at:]...)
}
