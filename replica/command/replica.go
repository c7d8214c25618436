package command

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica"
	"lacewingturn.example/replica/raft"
	"lacewingturn.example/replica/storage"
)

// Replica is a running control replica. It implements replica.Replica.
type Replica struct {
	settings Settings
	peers    atomic.Pointer[[]Peer]
	id       model.ReplicaID
	log      *zap.Logger
	store    *storage.Store
	machine  *machine
	port     loop.Port
	view     atomic.Pointer[replica.View]
	status   atomic.Pointer[raft.Status]
	writer   *writer
	senders  *senders
	tasks    *tasks
}

var _ replica.Replica = (*Replica)(nil)

// Open reads the data folder and adds the replica's machine to the loop, which
// must not run yet. Run starts its goroutines.
func Open(settings Settings, l *loop.Loop) (*Replica, error) {
	if err := settings.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	store, recovery, err := openStore(settings)
	if err != nil {
		reportOpenError(settings.Logger, err)
		return nil, trace.Wrap(err)
	}
	state := model.State{}
	if recovery.State != nil {
		if state, err = codec.DecodeState(recovery.State); err != nil {
			store.Close()
			event.LogCorrupt.Log(settings.Logger, zap.Error(err))
			return nil, trace.Wrap(err)
		}
	}
	if settings.Seed == 0 {
		settings.Seed = randomSeed()
	}
	r := &Replica{settings: settings, id: recovery.ID, store: store}
	r.SetPeers(settings.Peers)
	r.log = settings.Logger.With(zap.String("replica", string(recovery.ID)))
	r.writer = newWriter(store, settings.Metrics, r.log)
	r.tasks = newTasks()
	r.senders = newSenders(r.log, recovery.ID, settings.Dial, func(m []raft.Message) { r.port.TrySend(received{m}) })
	now := time.Now()
	r.machine = newMachine(r, raft.New(settings.raftConfig(recovery.ID), now, settings.Seed, recovery.Recovered), state)
	r.machine.publish(now)
	r.port = l.Add(r.machine)
	reportOpened(r.log, recovery)
	return r, nil
}

func openStore(settings Settings) (*storage.Store, storage.Recovery, error) {
	fs := settings.FS
	if fs == nil {
		folder, err := storage.OpenFolder(settings.DataFolder)
		if err != nil {
			return nil, storage.Recovery{}, trace.Wrap(err)
		}
		fs = folder
	}
	if settings.FilesRenumbered {
		fs = storage.WithoutStamps(fs)
	}
	var incarnation [8]byte
	crand.Read(incarnation[:])
	return storage.Open(fs, settings.Name, hex.EncodeToString(incarnation[:]))
}

func randomSeed() uint64 {
	var b [8]byte
	crand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

func reportOpenError(log *zap.Logger, err error) {
	var corrupt *storage.CorruptError
	kind := event.FolderUnreadable
	switch {
	case errors.As(err, &corrupt):
		kind = event.LogCorrupt
	case errors.Is(err, storage.ErrLocked):
		kind = event.FolderLocked
	case errors.Is(err, storage.ErrCopied):
		kind = event.FolderCopied
	case errors.Is(err, storage.ErrForeign):
		kind = event.FolderForeign
	}
	kind.Log(log, zap.Error(err))
}

func reportOpened(log *zap.Logger, r storage.Recovery) {
	if r.New {
		event.ReplicaCreated.Log(log)
	}
	if r.Truncated > 0 {
		event.LogTailTruncated.Log(log, zap.Int64("bytes", r.Truncated))
	}
	event.ReplicaOpened.Log(log, zap.Uint64("snapshot", uint64(r.SnapshotIndex)),
		zap.Uint64("last", uint64(r.SnapshotIndex)+uint64(len(r.Entries))), zap.Uint64("term", uint64(r.Hard.Term)))
}

// SetPeers replaces the replicas that are asked for admission.
func (r *Replica) SetPeers(peers []Peer) { r.peers.Store(&peers) }

// others returns the peers without this replica.
func (r *Replica) others() []Peer {
	var list []Peer
	for _, p := range *r.peers.Load() {
		if p.Name != r.settings.Name {
			list = append(list, p)
		}
	}
	return list
}

// isPeer reports whether the peers of the site were told of this replica.
func (r *Replica) isPeer() bool {
	return slices.ContainsFunc(*r.peers.Load(), func(p Peer) bool { return p.Name == r.settings.Name })
}

// Run works until ctx ends and returns once the data folder is closed. The loop
// must run meanwhile. It returns ErrRestart after a failure of the disk that is over.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	var failed error
	wg.Go(func() {
		failed = r.writer.run(ctx, r.port)
		cancel()
	})
	wg.Go(func() { r.senders.run(ctx) })
	wg.Go(func() { r.enroll(ctx) })
	wg.Go(func() { r.tasks.run(ctx, func(ctx context.Context, m any) error { return r.port.Send(ctx, m) }) })
	wg.Wait()
	return trace.NewAggregate(failed, r.store.Close())
}

// Resign hands leadership over before a planned stop and waits until another
// leader is known or ctx ends. It does nothing on a follower or a sole replica.
func (r *Replica) Resign(ctx context.Context) error {
	if !r.View().IsLeader || r.Status().Members.Voters() < 2 {
		return nil
	}
	if err := r.port.Send(ctx, resign{}); err != nil {
		return trace.Wrap(err)
	}
	for {
		v := r.View()
		if !v.IsLeader && v.Leader != "" {
			return nil
		}
		select {
		case <-v.Next:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ID returns the name and incarnation of the replica.
func (r *Replica) ID() model.ReplicaID { return r.id }

// View returns the latest published view.
func (r *Replica) View() *replica.View { return r.view.Load() }

// Status returns the latest published state of the replication.
func (r *Replica) Status() raft.Status { return *r.status.Load() }
