// Package query serves queries about workloads on the leader, and tells other
// replicas and clients where the leader is.
package query

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	workloadv1 "lacewingturn.example/api/gen/lacewingturn/workload/v1"
	"lacewingturn.example/api/gen/lacewingturn/workload/v1/workloadv1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/clock"
	"lacewingturn.example/replica"
	"lacewingturn.example/replica/client"
)

// Reader reads the replicated state while this replica certainly leads. It
// implements the WorkloadQueryService.
type Reader struct {
	replica  replica.Replica
	detector *clock.SuspendDetector
	// ExtractLimits returns the limits of callers' requests in the document of a catalog as
	// text; nil if responses do not state them. It must be set before the first query.
	ExtractLimits func(document []byte) string
	limits        atomic.Pointer[catalogLimits]
}

// catalogLimits are the limits of one version of the catalog.
type catalogLimits struct {
	version model.CatalogVersion
	text    string
}

var _ workloadv1connect.WorkloadQueryServiceHandler = (*Reader)(nil)

// New returns a reader of the replica's state. The detector reports if this process
// was suspended and may have lost the leadership meanwhile.
func New(r replica.Replica, detector *clock.SuspendDetector) *Reader {
	return &Reader{replica: r, detector: detector}
}

// Route returns the path and handler of the WorkloadQueryService.
func (r *Reader) Route() (string, http.Handler) {
	return workloadv1connect.NewWorkloadQueryServiceHandler(r)
}

// State returns the current state; false if this replica may not be the leader, in
// which case the state may be stale.
func (r *Reader) State() (model.State, bool) {
	v := r.replica.View()
	return v.State, replica.IsConfirmedLeader(v, r.detector, time.Now())
}

// maxLeaderContactAge is how old the last message from a leader may be for callers to
// be redirected to that leader. With many replicas a leader sends less often; callers
// then wait for its next message.
const maxLeaderContactAge = 250 * time.Millisecond

// LeaderAddress returns the internal address of the leader, or an empty string if
// there is none until ctx ends. It waits for a leader whose last message is at most
// maxLeaderContactAge old, so that callers are not redirected to a failed one. On a
// replica that leads without contact to its quorum it returns an empty string at
// once, because such a replica knows of no other leader.
func (r *Reader) LeaderAddress(ctx context.Context) string {
	for {
		v := r.replica.View()
		if v.IsLeader {
			return ""
		}
		if v.LeaderAddress != "" && v.Leader != v.ID && time.Since(v.LeaderContact) < maxLeaderContactAge {
			return v.LeaderAddress
		}
		select {
		case <-v.Next:
		case <-ctx.Done():
			return ""
		}
	}
}

// NoRecentLeader reports whether this replica neither leads nor has had recent
// contact with a leader.
func (r *Reader) NoRecentLeader() bool { return r.replica.View().NoRecentLeader(time.Now()) }

// knownLeader returns the address of the leader that this replica follows; empty if
// unknown or if this replica leads.
func (r *Reader) knownLeader() string {
	if v := r.replica.View(); !v.IsLeader {
		return v.LeaderAddress
	}
	return ""
}

// Find returns the phase of a workload. It implements WorkloadQueryServiceHandler; on
// a replica that does not lead the answer only names the leader.
func (r *Reader) Find(_ context.Context, req *connect.Request[workloadv1.FindRequest]) (*connect.Response[workloadv1.FindResponse], error) {
	s, lead := r.read()
	resp := &workloadv1.FindResponse{Leadership: lead}
	if !lead.NotLeader {
		resp.CatalogKnown = s.Catalog != nil
		phase, code := query.WorkloadAt(s, req.Msg.Host, req.Msg.Path, keyDigest(req.Msg.Key))
		resp.Phase, resp.WorkloadKnown, resp.QueueKnown = uint32(phase), code.OK(), code != result.NotFound
		resp.Refusal = refusal(code)
	}
	out := connect.NewResponse(resp)
	if !lead.NotLeader && req.Msg.Path == "" && s.Catalog != nil && r.ExtractLimits != nil {
		out.Header().Set(client.LimitsHeader, r.limitsOf(s.Catalog))
	}
	return out, nil
}

// limitsOf returns the limits of a catalog as text, which is extracted once for each version.
func (r *Reader) limitsOf(c *model.Catalog) string {
	known := r.limits.Load()
	if known == nil || known.version != c.Version {
		known = &catalogLimits{c.Version, r.ExtractLimits(c.Document)}
		r.limits.Store(known)
	}
	return known.text
}

// CountPending returns the number of pending workloads of a queue. It implements
// WorkloadQueryServiceHandler; on a replica that does not lead the answer only names
// the leader.
func (r *Reader) CountPending(_ context.Context, req *connect.Request[workloadv1.CountPendingRequest]) (*connect.Response[workloadv1.CountPendingResponse], error) {
	s, lead := r.read()
	resp := &workloadv1.CountPendingResponse{Leadership: lead}
	if !lead.NotLeader {
		resp.CatalogKnown = s.Catalog != nil
		n, code := query.PendingAt(s, req.Msg.Host, req.Msg.Path, keyDigest(req.Msg.Key))
		resp.Pending, resp.QueueKnown, resp.Refusal = uint32(n), code != result.NotFound, refusal(code)
	}
	return connect.NewResponse(resp), nil
}

// keyDigest returns the digest that a request carries; nil if it carries none or one of
// another length, which belongs to no account.
func keyDigest(data []byte) *model.KeyDigest {
	if len(data) != len(model.KeyDigest{}) {
		return nil
	}
	key := model.KeyDigest(data)
	return &key
}

// refusal returns the code if it says that the caller's key does not allow the query, and
// else 0.
func refusal(code result.Code) uint32 {
	if code == result.UnknownKey || code == result.WrongAccount {
		return uint32(code)
	}
	return 0
}

// read returns the state and the leadership that the response states. The state may be
// stale if this replica does not lead.
func (r *Reader) read() (model.State, *workloadv1.Leadership) {
	s, ok := r.State()
	lead := &workloadv1.Leadership{NotLeader: !ok, LeaderAddress: r.knownLeader()}
	for _, member := range r.replica.View().State.Replicas.All() {
		lead.Replicas = append(lead.Replicas, member.Address)
	}
	return s, lead
}
