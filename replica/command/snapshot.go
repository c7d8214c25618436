package command

import (
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
	"lacewingturn.example/replica/raft"
	"lacewingturn.example/replica/storage"
)

// receivedState is a snapshot from the leader, encoded for the disk and decoded
// by the goroutine that received it.
type receivedState struct {
	encoded []byte
	state   model.State
}

var _ storage.Encoded = receivedState{}

// EncodedState implements storage.Encoded.
func (s receivedState) EncodedState() []byte { return s.encoded }

// restore takes over the state of a snapshot.
func (m *machine) restore(snap raft.Snapshot) {
	m.state, m.backlog = snap.Data.(receivedState).state, nil
	m.snapshotIndex = snap.Index
	event.SnapshotInstalled.Log(m.r.log, zap.Uint64("index", uint64(snap.Index)))
}

// startSnapshot saves the applied state once enough entries have been applied
// since the last one. Encoding and writing run on their own goroutine; the
// state is immutable.
func (m *machine) startSnapshot() {
	due := m.state.Index >= m.snapshotIndex+model.Index(m.r.settings.SnapshotEvery) || m.appliedBytes >= snapshotBytes
	if m.snapshotting || !due {
		return
	}
	snap, ok := m.raft.SnapshotAt(m.state.Index, m.state.Clock)
	if !ok {
		return
	}
	m.snapshotting, m.appliedBytes = true, 0
	state := m.state
	m.r.tasks.start(func() any {
		encoded, err := codec.EncodeState(state)
		if err == nil {
			m.r.settings.Metrics.encoded(len(encoded))
			err = m.r.store.PrepareSnapshot(snap, encoded)
		}
		return prepared{snap, err}
	})
}

// prepared queues the last step of a snapshot behind the writes before it.
func (m *machine) prepared(p prepared) {
	if p.err != nil {
		m.snapshotting = false
		m.snapshotIndex = m.state.Index // tried again after as many entries
		event.SnapshotFailed.Log(m.r.log, zap.Error(p.err))
		return
	}
	m.queue.adopt = &p.snapshot
}

// adopted drops the log that a durable snapshot covers.
func (m *machine) adopted(now time.Time, snap raft.Snapshot) {
	m.snapshotting = false
	m.snapshotIndex = max(m.snapshotIndex, snap.Index)
	event.SnapshotSaved.Log(m.r.log, zap.Uint64("index", uint64(snap.Index)))
	if keep := model.Index(m.r.settings.KeepEntries); snap.Index > keep {
		m.step(now, raft.Compact{Index: snap.Index - keep})
	}
}

// sendSnapshot starts the transfer of the applied state to a follower.
func (m *machine) sendSnapshot(now time.Time, peer model.ReplicaID) {
	if m.sendingTo[peer] {
		return
	}
	st := m.raft.Status(now)
	snap, ok := m.raft.SnapshotAt(m.state.Index, m.state.Clock)
	if !ok {
		return
	}
	m.sendingTo[peer] = true
	state, address := m.state, m.address(peer)
	m.r.tasks.start(func() any {
		if err := m.r.senders.sendSnapshot(address, peer, st.Term, snap, state); err != nil {
			event.SnapshotFailed.Log(m.r.log, zap.String("peer", string(peer)), zap.Error(err))
		} else {
			event.SnapshotSent.Log(m.r.log, zap.String("peer", string(peer)), zap.Uint64("index", uint64(snap.Index)))
		}
		return snapshotSent{peer}
	})
}
