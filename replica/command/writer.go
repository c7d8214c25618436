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

// job is one turn of the storage goroutine: writes, then a snapshot that was
// prepared and comes into force.
type job struct {
	writes []raft.Write
	adopt  *raft.Snapshot
}

func (j job) empty() bool { return len(j.writes) == 0 && j.adopt == nil }

// writer owns the data folder while the replica runs.
type writer struct {
	store   *storage.Store
	metrics *Metrics
	log     *zap.Logger
	jobs    chan job // holds one job; the machine sends the next after the answer
	stopped chan struct{}
}

func newWriter(store *storage.Store, m *Metrics, log *zap.Logger) *writer {
	return &writer{store: store, metrics: m, log: log, jobs: make(chan job, 1), stopped: make(chan struct{})}
}

// ErrRestart is returned by Run once a disk that had failed takes writes again.
// What it holds is known only after a new start.
var ErrRestart = errors.New("the disk takes writes again; the replica must be started anew")

// probeInterval is the time between two tests of a disk that has failed.
const probeInterval = 500 * time.Millisecond

// run carries out jobs until ctx ends. After a failure it waits until the disk
// takes writes again and returns ErrRestart.
func (w *writer) run(ctx context.Context, port loop.Port) error {
	defer close(w.stopped)
	for {
		select {
		case <-ctx.Done():
			return nil
		case j := <-w.jobs:
			done := w.do(j)
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
	for wait.For(ctx, probeInterval) == nil {
		err := w.store.Probe()
		if err == nil {
			return ErrRestart
		}
		event.StorageStillFails.Log(w.log, zap.Error(err))
	}
	return nil
}

func (w *writer) do(j job) written {
	done := written{}
	if len(j.writes) > 0 {
		done.seq = j.writes[len(j.writes)-1].Seq
		began := time.Now()
		done.err = w.store.Apply(j.writes)
		w.metrics.written(time.Since(began), j.writes)
	}
	if done.err == nil && j.adopt != nil {
		done.err = w.store.AdoptSnapshot(*j.adopt)
		done.adopted = j.adopt
	}
	return done
}

// startWrite gives the storage goroutine what has accumulated.
func (m *machine) startWrite() {
	if m.writing || m.queue.empty() {
		return
	}
	m.writing = true
	m.r.writer.jobs <- m.queue // never waits: the one before was answered
	m.queue = job{}
}

func (m *machine) written(now time.Time, done written) {
	m.writing = false
	if done.err != nil {
		event.StorageFailed.Log(m.r.log, zap.Error(done.err))
		m.queue = job{}
		m.step(now, raft.StorageFailed{})
		m.abandon()
		return
	}
	if done.seq > 0 {
		m.step(now, raft.Persisted{Seq: done.seq})
	}
	if done.adopted != nil {
		m.adopted(now, *done.adopted)
	}
}
