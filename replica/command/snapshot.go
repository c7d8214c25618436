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

// receivedState is the state in a snapshot received from the leader. The
// goroutine that received it keeps the encoded form for the disk and decodes it.
type receivedState struct {
	encoded []byte
	state   model.State
}

var _ storage.EncodedSnapshot = receivedState{}

// EncodedState implements storage.EncodedSnapshot.
func (s receivedState) EncodedState() []byte { return s.encoded }

// restore replaces the applied state with the state in a snapshot and discards the
// backlog.
func (m *machine) restore(snap raft.Snapshot) {
	m.state, m.backlog = snap.Data.(receivedState).state, nil
	m.snapshotIndex = snap.Index
	event.SnapshotInstalled.Log(m.r.log, zap.Uint64("index", uint64(snap.Index)))
}

// startSnapshot starts saving the applied state once enough entries or bytes have
// been applied since the last snapshot. Encoding and writing run on a separate
// goroutine, which is safe because the state is immutable.
func (m *machine) startSnapshot() {
	due := m.state.Index >= m.snapshotIndex+model.Index(m.r.settings.SnapshotEvery) || m.appliedBytes >= snapshotBytes
	if m.snapshotting || !due {
		return
	}
	snap, ok := m.raft.SnapshotMetadata(m.state.Index, m.state.Clock)
	if !ok {
		return
	}
	m.snapshotting, m.appliedBytes = true, 0
	state := m.state
	m.r.tasks.start(func() any {
		encoded, err := codec.EncodeState(state)
		if err == nil {
			m.r.settings.Metrics.setSnapshotSize(len(encoded))
			err = m.r.store.PrepareSnapshot(snap, encoded)
		}
		return prepared{snap, err}
	})
}

// handlePrepared queues the activation of a prepared snapshot after the writes
// that are already queued.
func (m *machine) handlePrepared(p prepared) {
	if p.err != nil {
		m.snapshotting = false
		m.snapshotIndex = m.state.Index // retry after SnapshotEvery more entries
		event.SnapshotFailed.Log(m.r.log, zap.Error(p.err))
		return
	}
	m.queue.activate = &p.snapshot
}

// handleActivated compacts the log entries that a durable snapshot covers, except
// for the last KeepEntries or keepBytes.
func (m *machine) handleActivated(now time.Time, snap raft.Snapshot) {
	m.snapshotting = false
	m.snapshotIndex = max(m.snapshotIndex, snap.Index)
	event.SnapshotSaved.Log(m.r.log, zap.Uint64("index", uint64(snap.Index)))
	m.step(now, raft.Compact{Index: m.raft.KeepBefore(snap.Index, m.r.settings.KeepEntries, keepBytes)})
}

// sendSnapshot starts transferring the applied state to a follower unless a
// transfer to it is in progress.
func (m *machine) sendSnapshot(now time.Time, peer model.ReplicaID) {
	if m.transferring[peer] {
		return
	}
	status := m.raft.Status(now)
	snap, ok := m.raft.SnapshotMetadata(m.state.Index, m.state.Clock)
	if !ok {
		return
	}
	m.transferring[peer] = true
	state, address := m.state, m.address(peer)
	m.r.tasks.start(func() any {
		if err := m.r.senders.sendSnapshot(address, peer, status.Term, snap, state); err != nil {
			event.SnapshotFailed.Log(m.r.log, zap.String("peer", string(peer)), zap.Error(err))
		} else {
			event.SnapshotSent.Log(m.r.log, zap.String("peer", string(peer)), zap.Uint64("index", uint64(snap.Index)))
		}
		return snapshotSent{peer}
	})
}
