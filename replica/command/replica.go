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

// Open recovers the replica from its data folder and registers its state machine
// with the loop, which must not have been started. Run starts the goroutines.
//
// It fails if the settings are incomplete or if the data folder is locked, a
// copy, corrupt, unreadable or that of another replica; a failure of the data
// folder is also logged under its own event.
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
	r.senders = newSenders(r.log, recovery.ID, settings.Dial, func(msg loop.Message) { r.port.TrySend(msg) })
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
	if settings.InodesChange {
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
	case errors.Is(err, storage.ErrWrongReplica):
		kind = event.FolderOfAnotherReplica
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

// SetPeers replaces the configured peers, which this replica uses to bootstrap a
// site, to request admission and to look up the address of a replica that is not a
// member. It may be called while the replica runs.
func (r *Replica) SetPeers(peers []Peer) { r.peers.Store(&peers) }

// otherPeers returns the peers except this replica.
func (r *Replica) otherPeers() []Peer {
	var list []Peer
	for _, p := range *r.peers.Load() {
		if p.Name != r.settings.Name {
			list = append(list, p)
		}
	}
	return list
}

// isPeer reports whether the configured peers include this replica.
func (r *Replica) isPeer() bool {
	return slices.ContainsFunc(*r.peers.Load(), func(p Peer) bool { return p.Name == r.settings.Name })
}

// Run runs the replica until ctx ends and returns after the data folder is
// closed. The loop must keep running until then. Run returns ErrRestart when the
// disk has failed and accepts writes again.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	var writerErr error
	wg.Go(func() {
		writerErr = r.writer.run(ctx, r.port)
		cancel()
	})
	wg.Go(func() { r.senders.run(ctx) })
	wg.Go(func() { r.enroll(ctx) })
	wg.Go(func() { r.tasks.run(ctx, func(ctx context.Context, m any) error { return r.port.Send(ctx, m) }) })
	wg.Wait()
	return trace.NewAggregate(writerErr, r.store.Close())
}

// TransferLeadership transfers leadership before a planned shutdown and waits until
// another leader is known; it returns the error of ctx if that ends first. On a
// follower or the only voter it returns nil at once.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	if !r.View().IsLeader || r.Status().Members.Voters() < 2 {
		return nil
	}
	if err := r.port.Send(ctx, transferLeadership{}); err != nil {
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

// ID returns the ID of the replica: its name and its incarnation, which is generated
// when the data folder is created.
func (r *Replica) ID() model.ReplicaID { return r.id }

// View returns the latest view of the applied state and the leadership. It never
// blocks; View.Next is closed when a newer view exists.
func (r *Replica) View() *replica.View { return r.view.Load() }

// Status returns the replication status that was published with the latest view.
func (r *Replica) Status() raft.Status { return *r.status.Load() }
