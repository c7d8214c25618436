// Package query answers questions about workloads on the replica that leads.
package query

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	workloadv1 "lacewingturn.example/api/gen/lacewingturn/workload/v1"
	"lacewingturn.example/api/gen/lacewingturn/workload/v1/workloadv1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/node/clock"
	"lacewingturn.example/replica"
)

// Reader reads the state of a replica that certainly leads.
type Reader struct {
	replica replica.Replica
	guard   *clock.Guard
}

var _ workloadv1connect.WorkloadQueryServiceHandler = (*Reader)(nil)

// New returns a reader.
func New(r replica.Replica, guard *clock.Guard) *Reader { return &Reader{r, guard} }

// Route returns the path and handler of the WorkloadQueryService.
func (r *Reader) Route() (string, http.Handler) {
	return workloadv1connect.NewWorkloadQueryServiceHandler(r)
}

// State returns the present state; false if this replica may not be the leader.
func (r *Reader) State() (model.State, bool) {
	v := r.replica.View()
	return v.State, replica.Leads(v, r.guard, time.Now())
}

// freshLeader is how old the last message of a leader may be that callers are
// sent to. Where the leader of many replicas sends less often, callers wait for
// its next message.
const freshLeader = 250 * time.Millisecond

// LeaderAddress waits until ctx ends for a leader that this replica has heard of
// lately, so that nobody is sent to one that is gone, and returns where it serves
// other processes; empty if there is none. A leader that has lost touch with its
// quorum knows of no other one and does not wait.
func (r *Reader) LeaderAddress(ctx context.Context) string {
	for {
		v := r.replica.View()
		if v.IsLeader {
			return ""
		}
		if v.LeaderAddress != "" && v.Leader != v.ID && time.Since(v.LeaderContact) < freshLeader {
			return v.LeaderAddress
		}
		select {
		case <-v.Next:
		case <-ctx.Done():
			return ""
		}
	}
}

// LeaderLost reports whether this replica has lost the leader.
func (r *Reader) LeaderLost() bool { return r.replica.View().LeaderLost(time.Now()) }

// knownLeader returns the address of the leader that this replica follows; empty if unknown.
func (r *Reader) knownLeader() string {
	if v := r.replica.View(); !v.IsLeader {
		return v.LeaderAddress
	}
	return ""
}

// Find implements the handler.
func (r *Reader) Find(_ context.Context, req *connect.Request[workloadv1.FindRequest]) (*connect.Response[workloadv1.FindResponse], error) {
	s, lead := r.read()
	resp := &workloadv1.FindResponse{Leadership: lead}
	if !lead.NotLeader {
		resp.CatalogKnown = s.Catalog != nil
		phase, known, queue := query.WorkloadAt(s, req.Msg.Host, req.Msg.Path)
		resp.Phase, resp.WorkloadKnown, resp.QueueKnown = uint32(phase), known, queue
	}
	return connect.NewResponse(resp), nil
}

// CountPending implements the handler.
func (r *Reader) CountPending(_ context.Context, req *connect.Request[workloadv1.CountPendingRequest]) (*connect.Response[workloadv1.CountPendingResponse], error) {
	s, lead := r.read()
	resp := &workloadv1.CountPendingResponse{Leadership: lead}
	if !lead.NotLeader {
		resp.CatalogKnown = s.Catalog != nil
		n, queue := query.PendingAt(s, req.Msg.Host, req.Msg.Path)
		resp.Pending, resp.QueueKnown = uint32(n), queue
	}
	return connect.NewResponse(resp), nil
}

func (r *Reader) read() (model.State, *workloadv1.Leadership) {
	s, ok := r.State()
	lead := &workloadv1.Leadership{NotLeader: !ok, LeaderAddress: r.knownLeader()}
	for _, member := range r.replica.View().State.Replicas.All() {
		lead.Replicas = append(lead.Replicas, member.Address)
	}
	return s, lead
}
