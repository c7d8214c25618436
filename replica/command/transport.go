package command

import (
	"context"
	"fmt"
	"hash/crc32"
	"net"
	"net/http"
	"time"

	"lacewingturn.example/api/codec"
	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/replica/raft"
	"lacewingturn.example/replica/storage"
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// chunkSize is the length in bytes of a part of a snapshot.
	chunkSize = 256 << 10
	// MaxSnapshot is the longest encoded state in bytes that is received; it
	// leaves most of the 256 MB of a node to the decoded states.
	MaxSnapshot = 64 << 20
	// snapshotTimeout bounds the transfer of a snapshot.
	snapshotTimeout = 60 * time.Second
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// newHTTPClient returns a client for HTTP/2 without TLS that replaces
// connections which have gone silent.
func newHTTPClient(dial dialFunc) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, Protocols: protocols,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}

// ServerHTTP2 returns the HTTP/2 settings for servers of the replica's
// services. They end streams whose connection has gone silent.
func ServerHTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: 10 * time.Second, PingTimeout: 5 * time.Second}
}

// sendSnapshot encodes the state and sends it in chunks over a connection of
// its own, so that heartbeats do not wait behind it.
func (s *senders) sendSnapshot(address string, to model.ReplicaID, term model.Term, snap raft.Snapshot, state model.State) error {
	encoded, err := codec.EncodeState(state)
	if err != nil {
		return err
	}
	members, err := storage.EncodeMembership(snap.Members)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	client := newHTTPClient(s.dial)
	defer client.CloseIdleConnections()
	stream := replicav1connect.NewReplicationServiceClient(client, "http://"+address).InstallSnapshot(ctx)
	req := &replicav1.InstallSnapshotRequest{
		From: string(s.from), To: string(to), Term: uint64(term), Index: uint64(snap.Index), LogTerm: uint64(snap.Term),
		Size: uint64(len(encoded)), Crc32C: crc32.Checksum(encoded, castagnoli), Membership: members, Clock: int64(snap.Clock),
	}
	for first := true; first || len(encoded) > 0; first = false {
		n := min(chunkSize, len(encoded))
		req.Chunk, encoded = encoded[:n], encoded[n:]
		if err := stream.Send(req); err != nil {
			break // CloseAndReceive returns the reason
		}
		req = &replicav1.InstallSnapshotRequest{}
	}
	_, err = stream.CloseAndReceive()
	return err
}

// assemble collects the chunks of a snapshot.
type assemble struct {
	head *replicav1.InstallSnapshotRequest
	data []byte
}

func (a *assemble) add(req *replicav1.InstallSnapshotRequest) error {
	if a.head == nil {
		if req.Size > MaxSnapshot {
			return fmt.Errorf("a snapshot of %d bytes exceeds the limit of %d", req.Size, MaxSnapshot)
		}
		a.head, a.data = req, make([]byte, 0, req.Size)
	}
	if uint64(len(a.data)+len(req.Chunk)) > a.head.Size {
		return fmt.Errorf("a snapshot is longer than the announced %d bytes", a.head.Size)
	}
	a.data = append(a.data, req.Chunk...)
	return nil
}

// input checks and decodes the whole snapshot.
func (a *assemble) input() (raft.SnapshotReceived, error) {
	var none raft.SnapshotReceived
	if a.head == nil || uint64(len(a.data)) != a.head.Size || crc32.Checksum(a.data, castagnoli) != a.head.Crc32C {
		return none, fmt.Errorf("a snapshot is incomplete or damaged")
	}
	state, err := codec.DecodeState(a.data)
	if err != nil {
		return none, err
	}
	members, err := storage.DecodeMembership(a.head.Membership)
	if err != nil {
		return none, err
	}
	if state.Index != model.Index(a.head.Index) {
		return none, fmt.Errorf("a snapshot of index %d holds a state of index %d", a.head.Index, state.Index)
	}
	return raft.SnapshotReceived{
		From: model.ReplicaID(a.head.From), Term: model.Term(a.head.Term),
		Snapshot: raft.Snapshot{
			Index: state.Index, Term: model.Term(a.head.LogTerm), Clock: model.Timestamp(a.head.Clock), Members: members,
			Data: receivedState{encoded: a.data, state: state},
		},
	}, nil
}
