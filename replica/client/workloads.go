package client

import (
	"context"

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
	resp, err := ask(ctx, c, func(ctx context.Context, q workloadv1connect.WorkloadQueryServiceClient) (*workloadv1.FindResponse, error) {
		r, err := q.Find(ctx, connect.NewRequest(req))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	})
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
	resp, err := ask(ctx, c, func(ctx context.Context, q workloadv1connect.WorkloadQueryServiceClient) (*workloadv1.CountPendingResponse, error) {
		r, err := q.CountPending(ctx, connect.NewRequest(req))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	})
	if err != nil {
		return 0, false, err
	}
	if !resp.CatalogKnown {
		return 0, false, errNoCatalog
	}
	return int(resp.Pending), resp.QueueKnown, nil
}

// ledResponse is a response that tells who leads.
type ledResponse interface {
	GetLeadership() *workloadv1.Leadership
}

// ask asks the replicas in turn until the leader answers or ctx ends.
func ask[R ledResponse](ctx context.Context, c *Client, call func(context.Context, workloadv1connect.WorkloadQueryServiceClient) (R, error)) (R, error) {
	var none R
	silent := map[string]bool{}
	for backoff := minBackoff; ; backoff = min(backoff*2, maxBackoff) {
		for _, address := range c.candidates(silent) {
			resp, err := attemptQuery(ctx, c, address, call)
			silent[address] = err != nil
			if ctx.Err() != nil {
				return none, result.New(result.NoQuorum, "no leader of the control replicas was found before the deadline")
			}
			if err != nil {
				continue
			}
			lead := resp.GetLeadership()
			c.learn(lead.GetReplicas())
			if !lead.GetNotLeader() {
				c.leader.Store(&address)
				return resp, nil
			}
			if leader := lead.GetLeaderAddress(); leader != "" && leader != address && !silent[leader] {
				c.leader.Store(&leader)
				break
			}
		}
		if !pause(ctx, backoff) {
			return none, result.New(result.NoQuorum, "no leader of the control replicas was found before the deadline")
		}
	}
}

// queryTimeout bounds one attempt of a query.
const queryTimeout = minBackoff * 20

func attemptQuery[R any](ctx context.Context, c *Client, address string, call func(context.Context, workloadv1connect.WorkloadQueryServiceClient) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return call(ctx, workloadv1connect.NewWorkloadQueryServiceClient(c.http, "http://"+address))
}

// learn adopts the addresses of the present members, so that replicas that were
// replaced do not have to be in the settings.
func (c *Client) learn(members []string) {
	if len(members) > 0 {
		c.members.Store(&members)
	}
}
