package command

import (
	"context"
	"net"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
)

// seedWithoutReplica is an instance without a replica. It records the address of
// the first replica that calls Join.
type seedWithoutReplica struct {
	replicav1connect.UnimplementedReplicationServiceHandler
	joined chan string
}

func (s seedWithoutReplica) Join(_ context.Context, r *connect.Request[replicav1.JoinRequest]) (*connect.Response[replicav1.JoinResponse], error) {
	select {
	case s.joined <- r.Msg.GetReplica().GetAddress():
	default:
	}
	return connect.NewResponse(&replicav1.JoinResponse{}), nil
}

// Guards against entry instances that do not find the replicas after a restart of
// all instances because their seeds serve no replica.
func TestLeaderAnnouncesItselfToSeedsWithoutReplica(t *testing.T) {
	settings := siteSettings(t, 2)
	listener, err := net.Listen("tcp", settings[0].Address)
	assert.NilError(t, err)
	seed := seedWithoutReplica{joined: make(chan string, 1)}
	_, handler := replicav1connect.NewReplicationServiceHandler(seed)
	diskless := server(handler)
	go func() { _ = diskless.Serve(listener) }()
	t.Cleanup(func() { _ = diskless.Close() })
	start(t, settings[1])
	assert.Equal(t, <-seed.joined, settings[1].Address)
}
