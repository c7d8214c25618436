package client

import (
	"context"
	"time"

	"connectrpc.com/connect"

	workloadv1 "lacewingturn.example/api/gen/lacewingturn/workload/v1"
	"lacewingturn.example/api/gen/lacewingturn/workload/v1/workloadv1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Found is the answer to a query about one workload.
type Found struct {
	QueueKnown    bool
	WorkloadKnown bool
	Phase         model.WorkloadPhase
}

var errNoCatalog = result.New(result.NoCatalog, "no catalog of queues is published yet")

// Find returns what the leader knows of the workload at the address. With an
// empty host it only tests whether a leader answers.
func (c *Client) Find(ctx context.Context, host, path string) (Found, error) {
	req := &workloadv1.FindRequest{Host: host, Path: path}
	resp, err := ask(ctx, c, workloadv1connect.WorkloadQueryServiceClient.Find, req)
	if err != nil {
		return Found{}, err
	}
	if !resp.CatalogKnown && host != "" {
		return Found{}, errNoCatalog
	}
	return Found{resp.QueueKnown, resp.WorkloadKnown, model.WorkloadPhase(resp.Phase)}, nil
}

// Leader returns the address of the replica that leads.
func (c *Client) Leader(ctx context.Context) (string, error) {
	if _, err := c.Find(ctx, "", ""); err != nil {
		return "", err
	}
	return *c.leader.Load(), nil
}

// CountPending returns the number of workloads that have not started in the
// queue at the address; false if there is no such queue.
func (c *Client) CountPending(ctx context.Context, host, path string) (int, bool, error) {
	req := &workloadv1.CountPendingRequest{Host: host, Path: path}
	resp, err := ask(ctx, c, workloadv1connect.WorkloadQueryServiceClient.CountPending, req)
	if err != nil {
		return 0, false, err
	}
	if !resp.CatalogKnown {
		return 0, false, errNoCatalog
	}
	return int(resp.Pending), resp.QueueKnown, nil
}

// ledResponse is a response of type R that tells who leads.
type ledResponse[R any] interface {
	*R
	GetLeadership() *workloadv1.Leadership
}

// leaderQuery is a method of the service that only the leader answers.
type leaderQuery[Q, R any] func(workloadv1connect.WorkloadQueryServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[R], error)

// queryTimeout bounds one attempt of a query.
const queryTimeout = 400 * time.Millisecond

// ask asks the replicas in turn until the leader answers or ctx ends.
func ask[Q, R any, P ledResponse[R]](ctx context.Context, c *Client, method leaderQuery[Q, R], req *Q) (P, error) {
	var found P
	c.search(ctx, func(address string) reply {
		resp, err := attemptQuery(ctx, c, address, method, req)
		if err != nil {
			return reply{silent: true}
		}
		lead := P(resp).GetLeadership()
		c.learn(lead.GetReplicas())
		if lead.GetNotLeader() {
			return reply{leader: lead.GetLeaderAddress()}
		}
		c.leader.Store(&address)
		found = resp
		return reply{final: true}
	})
	if found == nil {
		return nil, result.New(result.NoQuorum, "no leader of the control replicas was found before the deadline")
	}
	return found, nil
}

func attemptQuery[Q, R any](ctx context.Context, c *Client, address string, method leaderQuery[Q, R], req *Q) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	resp, err := method(workloadv1connect.NewWorkloadQueryServiceClient(c.http, "http://"+address), ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// learn adopts the addresses of the present members, so that replicas that were
// replaced do not have to be in the settings.
func (c *Client) learn(members []string) {
	if len(members) > 0 {
		c.members.Store(&members)
	}
}
