// Package command runs a control replica. It consists of a state machine, run by
// the control loop, that carries out the replication protocol; a goroutine that
// owns the data folder; a goroutine for each peer; and the handlers of the
// command services.
package command

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/replica/raft"
	"lacewingturn.example/replica/storage"
)

// Peer is one of the replicas that bootstrap a new site.
type Peer struct {
	Name    string
	Address string // host:port
}

// AppliedCommand is a committed command together with the state to which it is applied.
type AppliedCommand struct {
	Before   model.State
	Index    model.Index
	Term     model.Term
	Envelope model.Envelope
}

// Settings configures a replica. Name, Address and either DataFolder or FS are required.
type Settings struct {
	// Name stays the same when the disk is lost. The ID consists of the name and an
	// incarnation, which changes then.
	Name string
	// Address is the host:port at which the other replicas connect to this one.
	Address string
	Domain  model.Domain
	// DataFolder is created if it does not exist.
	DataFolder string
	// Peers are the replicas of the site; they may include this one. They are used
	// to bootstrap a new site and to request admission. Afterwards the membership
	// recorded in the log applies.
	Peers []Peer
	// JoinOnly prevents an empty replica from bootstrapping a new site with its
	// peers. It is set when the site exists already, even if all peers have lost
	// their disks.
	JoinOnly bool
	// Logger may be nil, which disables logging.
	Logger *zap.Logger
	// Metrics may be nil, which disables them.
	Metrics *Metrics

	Heartbeat   time.Duration // 150 ms if zero
	ElectionMin time.Duration // 500 ms if zero
	ElectionMax time.Duration // 900 ms if zero
	// ReplaceAfter is the time for which a replica must be unreachable before a new
	// incarnation of it is admitted; 3 s if zero.
	ReplaceAfter time.Duration
	// TargetVoters is the number of voters up to which replicas with new names are
	// admitted without an operator's command; 0 admits none.
	TargetVoters int
	// WorkloadBudget is the memory that all workloads may take on a replica, in bytes, while this
	// replica leads; 0 means no limit.
	WorkloadBudget int64
	// SnapshotEvery is the number of log entries between snapshots; 8192 if zero.
	SnapshotEvery int
	// KeepEntries is the number of log entries kept before the index of a snapshot,
	// so that a follower with a small lag needs no snapshot; 2048 if zero.
	KeepEntries int
	// Dial opens connections to other replicas; a net.Dialer if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// InodesChange is set on platforms that reattach a disk with different inode
	// numbers. It disables the detection of copied data folders, which relies on them.
	InodesChange bool
	// FS replaces DataFolder if it is not nil; used by tests.
	FS storage.FS
	// BeforeApply, if not nil, is called on the control loop before each committed
	// command is applied. It must not block.
	BeforeApply func(AppliedCommand)
	// Seed seeds the random election timeouts; a random seed is used if zero.
	Seed uint64
}

const (
	defaultSnapshotEvery = 8192
	defaultKeepEntries   = 2048
	// snapshotBytes is the size of the applied commands, in bytes, that triggers a
	// snapshot before SnapshotEvery entries. It limits the log in memory, which
	// holds entries both encoded and decoded, to a small part of a node's 256 MB.
	snapshotBytes = 8 << 20
	// keepBytes is the size of the entries kept before a snapshot, in bytes, if KeepEntries are
	// larger: entries of submissions may have as many bytes as a body.
	keepBytes = 4 << 20
)

// check validates the required settings and sets the defaults of the others.
func (s *Settings) check() error {
	if s.Name == "" || s.Address == "" || s.DataFolder == "" && s.FS == nil {
		return trace.BadParameter("replica settings are incomplete: name, address and data folder are required")
	}
	if s.Logger == nil {
		s.Logger = zap.NewNop()
	}
	if s.SnapshotEvery == 0 {
		s.SnapshotEvery = defaultSnapshotEvery
	}
	if s.KeepEntries == 0 {
		s.KeepEntries = defaultKeepEntries
	}
	if s.Dial == nil {
		s.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return nil
}

func (s *Settings) raftConfig(id model.ReplicaID) raft.Config {
	cfg := raft.DefaultConfig(id)
	override := func(to *time.Duration, value time.Duration) {
		if value > 0 {
			*to = value
		}
	}
	override(&cfg.Heartbeat, s.Heartbeat)
	override(&cfg.ElectionMin, s.ElectionMin)
	override(&cfg.ElectionMax, s.ElectionMax)
	override(&cfg.ReplaceAfter, s.ReplaceAfter)
	cfg.TargetVoters = s.TargetVoters
	return cfg
}
