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
	// refreshInterval is the time between two refreshes of the members.
	refreshInterval = 2 * time.Second
	// refreshTimeout is the timeout of one refresh.
	refreshTimeout = time.Second
)

// Directory lets an instance without a replica serve as a seed: it tells clients
// the addresses of the replicas and of the leader. It responds to Join, Propose, Find
// and CountPending as a follower does. All other methods return the code
// Unimplemented; for Identify, this tells replicas that bootstrap a site to leave the
// instance out.
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

// NewDirectory returns a directory of the replicas that the client has discovered.
func NewDirectory(c *Client) *Directory { return &Directory{client: c} }

// Route passes the path and handler of each of its services to handle.
func (d *Directory) Route(handle func(path string, handler http.Handler)) {
	handle(replicav1connect.NewReplicationServiceHandler(d))
	handle(replicav1connect.NewReplicaCommandServiceHandler(d))
	handle(workloadv1connect.NewWorkloadQueryServiceHandler(d))
}

// Run refreshes the members and the leader every 2 s until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	for {
		_, _ = d.refresh(ctx) // on failure the members known before are kept
		if wait.Sleep(ctx, refreshInterval) != nil {
			return
		}
	}
}

// refresh looks up the leader, which also updates the members that the client knows.
func (d *Directory) refresh(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	return d.client.Leader(ctx)
}

// Join adds the replica to the known members and returns the leader's address,
// empty if none is known. After a restart of all instances, the calling replica may
// be the first one that this instance knows.
func (d *Directory) Join(_ context.Context, req *connect.Request[replicav1.JoinRequest]) (*connect.Response[replicav1.JoinResponse], error) {
	d.client.addMember(req.Msg.GetReplica().GetAddress())
	return connect.NewResponse(&replicav1.JoinResponse{LeaderAddress: d.client.knownLeader()}), nil
}

// Propose appends nothing and returns the leader's address, empty if none is known.
func (d *Directory) Propose(context.Context, *connect.Request[replicav1.ProposeRequest]) (*connect.Response[replicav1.ProposeResponse], error) {
	return connect.NewResponse(&replicav1.ProposeResponse{NotLeader: true, LeaderAddress: d.client.knownLeader()}), nil
}

// Find returns the addresses of the members and the leader instead of a workload.
func (d *Directory) Find(context.Context, *connect.Request[workloadv1.FindRequest]) (*connect.Response[workloadv1.FindResponse], error) {
	return connect.NewResponse(&workloadv1.FindResponse{Leadership: d.leadership()}), nil
}

// CountPending returns the addresses of the members and the leader instead of a count.
func (d *Directory) CountPending(context.Context, *connect.Request[workloadv1.CountPendingRequest]) (*connect.Response[workloadv1.CountPendingResponse], error) {
	return connect.NewResponse(&workloadv1.CountPendingResponse{Leadership: d.leadership()}), nil
}

func (d *Directory) leadership() *workloadv1.Leadership {
	return &workloadv1.Leadership{NotLeader: true, LeaderAddress: d.client.knownLeader(), Replicas: *d.client.members.Load()}
}

// knownLeader returns the address of the last known leader; empty if none is known.
func (c *Client) knownLeader() string {
	if leader := c.leader.Load(); leader != nil {
		return *leader
	}
	return ""
}

// forgetLeader removes the address as that of the last known leader.
func (c *Client) forgetLeader(address string) {
	if leader := c.leader.Load(); leader != nil && *leader == address {
		c.leader.CompareAndSwap(leader, nil)
	}
}

// addMember adds a replica that has announced itself to the known members.
func (c *Client) addMember(address string) {
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
