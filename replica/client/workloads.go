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

// WorkloadStatus is the result of a query for one workload.
type WorkloadStatus struct {
	QueueKnown    bool                // a queue of the catalog matches the host and path
	WorkloadKnown bool                // the workload was submitted and is still recorded
	Phase         model.WorkloadPhase // meaningful only if WorkloadKnown
}

var errNoCatalog = result.New(result.NoCatalog, "no catalog of queues is published yet")

// errRefused returns the error for the refusal that a response states; nil if it is 0.
func errRefused(code uint32) error {
	if code == 0 {
		return nil
	}
	return result.New(result.Code(code), "the key of the call does not allow it")
}

// keyBytes returns the form of a key in requests.
func keyBytes(key *model.KeyDigest) []byte {
	if key == nil {
		return nil
	}
	return key[:]
}

// Find returns the leader's record of the workload at the host and path to a caller with
// the key, which is nil if none. With an empty host it only checks that a leader responds.
// The error is a result.Result: NoCatalog if no catalog is published, UnknownKey or
// WrongAccount if the key does not allow the query, NoQuorum if no leader was found before
// ctx ended.
func (c *Client) Find(ctx context.Context, host, path string, key *model.KeyDigest) (WorkloadStatus, error) {
	req := &workloadv1.FindRequest{Host: host, Path: path, Key: keyBytes(key)}
	resp, _, err := queryLeader(ctx, c, workloadv1connect.WorkloadQueryServiceClient.Find, req)
	if err != nil {
		return WorkloadStatus{}, err
	}
	if !resp.CatalogKnown && host != "" {
		return WorkloadStatus{}, errNoCatalog
	}
	if err := errRefused(resp.Refusal); err != nil {
		return WorkloadStatus{}, err
	}
	return WorkloadStatus{resp.QueueKnown, resp.WorkloadKnown, model.WorkloadPhase(resp.Phase)}, nil
}

// Leader returns the address of the leader. The error is that of Find.
func (c *Client) Leader(ctx context.Context) (string, error) {
	_, address, err := queryLeader(ctx, c, workloadv1connect.WorkloadQueryServiceClient.Find, &workloadv1.FindRequest{})
	return address, err
}

// CountPending returns the number of workloads in the queue at the host and path
// that have not started, and false if there is no such queue. The error is that of
// Find.
func (c *Client) CountPending(ctx context.Context, host, path string, key *model.KeyDigest) (int, bool, error) {
	req := &workloadv1.CountPendingRequest{Host: host, Path: path, Key: keyBytes(key)}
	resp, _, err := queryLeader(ctx, c, workloadv1connect.WorkloadQueryServiceClient.CountPending, req)
	if err != nil {
		return 0, false, err
	}
	if !resp.CatalogKnown {
		return 0, false, errNoCatalog
	}
	if err := errRefused(resp.Refusal); err != nil {
		return 0, false, err
	}
	return int(resp.Pending), resp.QueueKnown, nil
}

// leadershipResponse is a response of type R that names the leader.
type leadershipResponse[R any] interface {
	*R
	GetLeadership() *workloadv1.Leadership
}

// leaderQuery is a method of the WorkloadQueryService that only the leader can
// complete.
type leaderQuery[Q, R any] func(workloadv1connect.WorkloadQueryServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[R], error)

// queryTimeout is the timeout of one attempt of a query.
const queryTimeout = 400 * time.Millisecond

// queryLeader returns the response and the address of the leader. It tries the replicas
// until the leader responds or ctx ends.
func queryLeader[Q, R any, P leadershipResponse[R]](ctx context.Context, c *Client, method leaderQuery[Q, R], req *Q) (P, string, error) {
	var found P
	var leader string
	c.search(ctx, func(l presumedLeader) reply {
		resp, err := attemptQuery(ctx, c, l.address, method, req)
		if err != nil {
			return reply{silent: true}
		}
		leadership := P(resp).GetLeadership()
		c.setMembers(leadership.GetReplicas())
		if leadership.GetNotLeader() {
			return reply{}
		}
		c.leader.Store(&l.address)
		found, leader = resp, l.address
		return reply{final: true}
	})
	if found == nil {
		return nil, "", result.New(result.NoQuorum, "no leader of the control replicas was found before the deadline")
	}
	return found, leader, nil
}

func attemptQuery[Q, R any](ctx context.Context, c *Client, address string, method leaderQuery[Q, R], req *Q) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	resp, err := method(workloadv1connect.NewWorkloadQueryServiceClient(c.http, "http://"+address), ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	if limits := resp.Header().Values(LimitsHeader); len(limits) > 0 {
		c.limits.Store(&limits[0]) // empty if the catalog sets none
	}
	return resp.Msg, nil
}

// LimitsHeader is the header of the leader's response to Find without a workload, which holds
// the limits of callers' requests in the catalog as text.
const LimitsHeader = "Lacewingturn-Limits"

// Limits returns the limits of callers' requests that the leader stated last; empty if none.
func (c *Client) Limits() string {
	if text := c.limits.Load(); text != nil {
		return *text
	}
	return ""
}

// setMembers replaces the known members by the current ones, so that the settings
// need not name the replacements of replicas. It ignores an empty list.
func (c *Client) setMembers(members []string) {
	if len(members) > 0 {
		c.members.Store(&members)
	}
}
