package client

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	workloadv1 "lacewingturn.example/api/gen/lacewingturn/workload/v1"
	"lacewingturn.example/api/gen/lacewingturn/workload/v1/workloadv1connect"
	"lacewingturn.example/node/wait"
)

const (
	// directoryInterval is the time between two looks at the members.
	directoryInterval = 2 * time.Second
	// directoryTimeout bounds one look.
	directoryTimeout = time.Second
)

// Directory makes an instance without a replica usable as a seed: it names the
// replicas and the leader to processes that look for them. It answers every call
// as a replica that does not lead, and Identify with the code Unimplemented.
type Directory struct {
	replicav1connect.UnimplementedReplicationServiceHandler
	replicav1connect.UnimplementedReplicaCommandServiceHandler
	client *Client
}

var (
	_ replicav1connect.ReplicationServiceHandler    = (*Directory)(nil)
	_ replicav1connect.ReplicaCommandServiceHandler = (*Directory)(nil)
	_ workloadv1connect.WorkloadQueryServiceHandler = (*Directory)(nil)
)

// NewDirectory returns a directory of the replicas that the client knows.
func NewDirectory(c *Client) *Directory { return &Directory{client: c} }

// Route adds its services.
func (d *Directory) Route(handle func(path string, handler http.Handler)) {
	handle(replicav1connect.NewReplicationServiceHandler(d))
	handle(replicav1connect.NewReplicaCommandServiceHandler(d))
	handle(workloadv1connect.NewWorkloadQueryServiceHandler(d))
}

// Run keeps the members up to date until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	for {
		_, _ = d.look(ctx) // without an answer the members known before are named
		if wait.For(ctx, directoryInterval) != nil {
			return
		}
	}
}

func (d *Directory) look(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	return d.client.Leader(ctx)
}

// Join notes the replica, which may be the first that this instance hears of, and names the leader.
func (d *Directory) Join(_ context.Context, req *connect.Request[replicav1.JoinRequest]) (*connect.Response[replicav1.JoinResponse], error) {
	d.client.meet(req.Msg.GetReplica().GetAddress())
	return connect.NewResponse(&replicav1.JoinResponse{LeaderAddress: d.client.knownLeader()}), nil
}

// Propose names the leader.
func (d *Directory) Propose(context.Context, *connect.Request[replicav1.ProposeRequest]) (*connect.Response[replicav1.ProposeResponse], error) {
	return connect.NewResponse(&replicav1.ProposeResponse{NotLeader: true, LeaderAddress: d.client.knownLeader()}), nil
}

// Find names the members and the leader.
func (d *Directory) Find(context.Context, *connect.Request[workloadv1.FindRequest]) (*connect.Response[workloadv1.FindResponse], error) {
	return connect.NewResponse(&workloadv1.FindResponse{Leadership: d.leadership()}), nil
}

// CountPending names the members and the leader.
func (d *Directory) CountPending(context.Context, *connect.Request[workloadv1.CountPendingRequest]) (*connect.Response[workloadv1.CountPendingResponse], error) {
	return connect.NewResponse(&workloadv1.CountPendingResponse{Leadership: d.leadership()}), nil
}

func (d *Directory) leadership() *workloadv1.Leadership {
	return &workloadv1.Leadership{NotLeader: true, LeaderAddress: d.client.knownLeader(), Replicas: *d.client.members.Load()}
}

// knownLeader returns the address of the last known leader; empty if there is none.
func (c *Client) knownLeader() string {
	if leader := c.leader.Load(); leader != nil {
		return *leader
	}
	return ""
}

// meet adds a replica that has announced itself to the members.
func (c *Client) meet(address string) {
	for {
		old := c.members.Load()
		if address == "" || slices.Contains(*old, address) {
			return
		}
		list := append(slices.Clone(*old), address)
		if c.members.CompareAndSwap(old, &list) {
			return
		}
	}
}
