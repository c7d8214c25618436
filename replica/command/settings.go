// Package command runs a control replica: a state machine for the control loop
// that drives the replication decisions, a goroutine that owns the data folder,
// a goroutine for each peer, and the handlers of the command services.
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

// Peer is a replica that a new site is formed of.
type Peer struct {
	Name    string
	Address string // host:port
}

// Input is a committed command and the state that it is applied to.
type Input struct {
	Before   model.State
	Index    model.Index
	Term     model.Term
	Envelope model.Envelope
}

// Settings of a replica.
type Settings struct {
	// Name survives the loss of the disk; the ID is the name and an incarnation.
	Name string
	// Address is where the other replicas reach this one, host:port.
	Address string
	Domain  model.Domain
	// DataFolder is created if it does not exist.
	DataFolder string
	// Peers are the replicas of the site, with or without this one. They are
	// used to form a new site and to ask for admission; after that the
	// membership in the log counts.
	Peers []Peer
	// JoinOnly keeps an empty replica from forming a new site with its peers: the
	// site exists already, even if all peers have lost their disks.
	JoinOnly bool
	Logger   *zap.Logger
	// Metrics may be nil.
	Metrics *Metrics

	Heartbeat   time.Duration // 150 ms if zero
	ElectionMin time.Duration // 500 ms if zero
	ElectionMax time.Duration // 900 ms if zero
	// ReplaceAfter is how long a replica must be unreachable before a new
	// incarnation of it is admitted; 3 s if zero.
	ReplaceAfter time.Duration
	// TargetVoters is the number of voters up to which replicas with new names
	// are admitted without an operator; 0 admits none.
	TargetVoters int
	// SnapshotEvery is the number of log entries between snapshots; 8192 if zero.
	SnapshotEvery int
	// KeepEntries is the number of entries kept before a snapshot, so that a
	// follower that is a little behind needs no snapshot; 2048 if zero.
	KeepEntries int
	// Dial opens connections to other replicas; a net.Dialer if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// FilesRenumbered is set where the platform brings a disk back with other file
	// numbers, so that a copied folder cannot be told from the original.
	FilesRenumbered bool
	// FS replaces the data folder in tests.
	FS storage.FS
	// Applied is called by the control loop before each committed command is
	// applied; nil for none. It must not block.
	Applied func(Input)
	// Seed decides the random election timeouts; drawn at start if zero.
	Seed uint64
}

const (
	defaultSnapshotEvery = 8192
	defaultKeepEntries   = 2048
	// snapshotBytes starts a snapshot before SnapshotEvery entries when they are
	// long. It bounds the log in memory, which holds entries encoded and decoded,
	// to a small part of the 256 MB of a node.
	snapshotBytes = 8 << 20
)

// check fills in defaults and reports what is missing.
func (s *Settings) check() error {
	if s.Name == "" || s.Address == "" || s.DataFolder == "" && s.FS == nil {
		return trace.BadParameter("a replica needs a name, an address and a data folder")
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
	cfg := raft.Defaults(id)
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
