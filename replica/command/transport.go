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
	// chunkSize is the size of one snapshot chunk in bytes.
	chunkSize = 256 << 10
	// MaxSnapshot is the maximum size, in bytes, of the encoded state in a received
	// snapshot. It leaves most of a node's 256 MB for the decoded states.
	MaxSnapshot = 64 << 20
	// snapshotTimeout is the timeout of one snapshot transfer.
	snapshotTimeout = 60 * time.Second
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// newHTTPClient returns a client for HTTP/2 without TLS that uses pings to detect
// and replace connections on which nothing arrives.
func newHTTPClient(dial dialFunc) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, Protocols: protocols,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}}
}

// ServerHTTP2 returns the HTTP/2 settings for servers of the replica's services.
// A connection on which nothing arrives is closed after 15 s, with its streams.
func ServerHTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: 10 * time.Second, PingTimeout: 5 * time.Second}
}

// sendSnapshot encodes the state and sends it in chunks over a separate
// connection, so that it does not delay heartbeats.
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
			break // CloseAndReceive returns the cause
		}
		req = &replicav1.InstallSnapshotRequest{}
	}
	_, err = stream.CloseAndReceive()
	return err
}

// snapshotAssembler collects the chunks of a snapshot.
type snapshotAssembler struct {
	head *replicav1.InstallSnapshotRequest // the first request, with the metadata; nil before it arrives
	data []byte
}

func (a *snapshotAssembler) add(req *replicav1.InstallSnapshotRequest) error {
	if a.head == nil {
		if req.Size > MaxSnapshot {
			return fmt.Errorf("snapshot of %d bytes exceeds the limit of %d bytes", req.Size, MaxSnapshot)
		}
		a.head, a.data = req, make([]byte, 0, req.Size)
	}
	if uint64(len(a.data)+len(req.Chunk)) > a.head.Size {
		return fmt.Errorf("received snapshot is longer than the announced %d bytes", a.head.Size)
	}
	a.data = append(a.data, req.Chunk...)
	return nil
}

// input verifies the length and the checksum of the received snapshot and decodes it.
func (a *snapshotAssembler) input() (raft.SnapshotReceived, error) {
	var none raft.SnapshotReceived
	if a.head == nil || uint64(len(a.data)) != a.head.Size || crc32.Checksum(a.data, castagnoli) != a.head.Crc32C {
		return none, fmt.Errorf("received snapshot is incomplete or its CRC-32C checksum does not match")
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
		return none, fmt.Errorf("snapshot of index %d contains the state of index %d", a.head.Index, state.Index)
	}
	return raft.SnapshotReceived{
		From: model.ReplicaID(a.head.From), Term: model.Term(a.head.Term),
		Snapshot: raft.Snapshot{
			Index: state.Index, Term: model.Term(a.head.LogTerm), Clock: model.Timestamp(a.head.Clock), Members: members,
			Data: receivedState{encoded: a.data, state: state},
		},
	}, nil
}
