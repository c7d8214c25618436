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

// seedWithoutReplica is an instance without a replica; it notes who asks it for admission.
type seedWithoutReplica struct {
	replicav1connect.UnimplementedReplicationServiceHandler
	met chan string
}

func (s seedWithoutReplica) Join(_ context.Context, r *connect.Request[replicav1.JoinRequest]) (*connect.Response[replicav1.JoinResponse], error) {
	select {
	case s.met <- r.Msg.GetReplica().GetAddress():
	default:
	}
	return connect.NewResponse(&replicav1.JoinResponse{}), nil
}

// Guards against a site that no entry instance finds after all instances were
// started anew with seeds that keep no replica.
func TestLeaderAnnouncesItselfToSeedsWithoutReplica(t *testing.T) {
	settings := siteSettings(t, 2)
	listener, err := net.Listen("tcp", settings[0].Address)
	assert.NilError(t, err)
	seed := seedWithoutReplica{met: make(chan string, 1)}
	_, handler := replicav1connect.NewReplicationServiceHandler(seed)
	diskless := server(handler)
	go func() { _ = diskless.Serve(listener) }()
	t.Cleanup(func() { _ = diskless.Close() })
	start(t, settings[1])
	assert.Equal(t, <-seed.met, settings[1].Address)
}
