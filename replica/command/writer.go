package command

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/node/wait"
	"lacewingturn.example/replica/raft"
	"lacewingturn.example/replica/storage"
)

// writeBatch is one unit of work of the storage goroutine: log writes, followed by
// the activation of a prepared snapshot.
type writeBatch struct {
	writes   []raft.Write
	activate *raft.Snapshot // nil if no snapshot is to be activated
}

func (b writeBatch) empty() bool { return len(b.writes) == 0 && b.activate == nil }

// writer owns the data folder while the replica runs.
type writer struct {
	store   *storage.Store
	metrics *Metrics
	log     *zap.Logger
	batches chan writeBatch // capacity 1; the machine sends a batch after the previous one is completed
	stopped chan struct{}
}

func newWriter(store *storage.Store, m *Metrics, log *zap.Logger) *writer {
	return &writer{store: store, metrics: m, log: log, batches: make(chan writeBatch, 1), stopped: make(chan struct{})}
}

// ErrRestart is returned by Run when a failed disk accepts writes again. The
// replica must be opened again, because only recovery can tell which writes the
// disk holds.
var ErrRestart = errors.New("disk accepts writes again; the replica must be restarted")

// probeInterval is the time between two probes of a failed disk.
const probeInterval = 500 * time.Millisecond

// run writes batches until ctx ends. After a failure it waits until the disk
// accepts writes again and returns ErrRestart.
func (w *writer) run(ctx context.Context, port loop.Port) error {
	defer close(w.stopped)
	for {
		select {
		case <-ctx.Done():
			return nil
		case b := <-w.batches:
			done := w.write(b)
			if port.Send(ctx, done) != nil {
				return nil
			}
			if done.err != nil {
				return w.awaitDisk(ctx)
			}
		}
	}
}

func (w *writer) awaitDisk(ctx context.Context) error {
	for wait.Sleep(ctx, probeInterval) == nil {
		err := w.store.Probe()
		if err == nil {
			return ErrRestart
		}
		event.StorageStillFails.Log(w.log, zap.Error(err))
	}
	return nil
}

func (w *writer) write(b writeBatch) written {
	done := written{}
	if len(b.writes) > 0 {
		done.seq = b.writes[len(b.writes)-1].Seq
		start := time.Now()
		done.err = w.store.Apply(b.writes)
		w.metrics.observeWrite(time.Since(start), b.writes)
	}
	if done.err == nil && b.activate != nil {
		done.err = w.store.ActivateSnapshot(*b.activate)
		done.activated = b.activate
	}
	return done
}

// startWrite sends the queued writes to the storage goroutine unless a write is in
// flight.
func (m *machine) startWrite() {
	if m.writing || m.queue.empty() {
		return
	}
	m.writing = true
	m.r.writer.batches <- m.queue // never blocks: the previous batch is completed
	m.queue = writeBatch{}
}

func (m *machine) handleWritten(now time.Time, done written) {
	m.writing = false
	if done.err != nil {
		event.StorageFailed.Log(m.r.log, zap.Error(done.err))
		m.queue = writeBatch{}
		m.step(now, raft.StorageFailed{})
		m.failPending()
		return
	}
	if done.seq > 0 {
		m.step(now, raft.Persisted{Seq: done.seq})
	}
	if done.activated != nil {
		m.handleActivated(now, *done.activated)
	}
}
