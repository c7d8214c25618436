// Package query serves the queries of the operator interface, which read the control
// state of a replica. The views are built by core/query.
package query

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/api/gen/lacewingturn/operator/v1/operatorv1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/event"
	"lacewingturn.example/replica"
)

// Handler serves the OperatorQueryService on one control replica.
type Handler struct {
	replica  replica.Replica
	liveness replica.Liveness
	fleet    ObservationSource
	log      *zap.Logger
}

// ObservationSource provides the fleet observations of the leader. They are empty on replicas
// that do not lead.
type ObservationSource interface{ Observations() model.Observations }

var _ operatorv1connect.OperatorQueryServiceHandler = (*Handler)(nil)

// New returns the handler of a replica. The liveness of entry instances comes from l
// and the observations of the fleet from fleet.
func New(r replica.Replica, l replica.Liveness, fleet ObservationSource, log *zap.Logger) *Handler {
	return &Handler{replica: r, liveness: l, fleet: fleet, log: log}
}

// Route returns the path and the handler to register on the listener of the operator
// interface.
func (h *Handler) Route(options ...connect.HandlerOption) (string, http.Handler) {
	return operatorv1connect.NewOperatorQueryServiceHandler(h, options...)
}

// Read answers with one view of the state of this replica as JSON. The error has the
// code NotFound if the subject does not exist, and InvalidArgument if the request is
// invalid.
func (h *Handler) Read(_ context.Context, req *connect.Request[operatorv1.ReadRequest]) (*connect.Response[operatorv1.ReadResponse], error) {
	build, ok := views[req.Msg.View]
	if !ok {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("there is no view %s", req.Msg.View))
	}
	v, now := h.replica.View(), time.Now()
	view, r := build(viewInput{state: v.State, now: model.TimestampOf(now), local: h.localStatus(v, now), observations: h.fleet.Observations()}, req.Msg.Subject)
	if !r.Code.OK() {
		return nil, connect.NewError(connectCode(r), errors.New(r.Detail))
	}
	body, err := json.Marshal(view)
	if err != nil {
		event.OperatorQueryFailed.Log(h.log, zap.Stringer("view", req.Msg.View), zap.Error(err))
		return nil, connect.NewError(connect.CodeInternal, result.New(result.Internal, "%v", err))
	}
	return connect.NewResponse(&operatorv1.ReadResponse{
		Index: uint64(v.State.Index), Revision: uint64(v.State.Revision), Body: body, Leads: leads(v, now),
	}), nil
}

// maxQuorumAge limits the time since the last contact with a quorum; a leader whose
// last contact is older is not reported as the leader. A process that was frozen still
// considers itself the leader when it resumes, and steps down after at most 0.9 s.
const maxQuorumAge = time.Second

func leads(v *replica.View, now time.Time) bool {
	return v.IsLeader && now.Sub(v.QuorumContact) <= maxQuorumAge
}

// localStatus returns the status of this replica. It gives the time since the latest
// contacts instead of their times, because core/query has no clock.
func (h *Handler) localStatus(v *replica.View, now time.Time) query.LocalStatus {
	c := query.LocalStatus{Replica: v.ID, Term: v.Term, Leader: v.Leader, IsLeader: leads(v, now), SinceLeaderContact: now.Sub(v.LeaderContact)}
	if v.LeaderContact.IsZero() {
		c.SinceLeaderContact = 0
	}
	for _, e := range h.liveness.Entries() {
		k := query.EntryContact{ID: e.ID, Epoch: e.Epoch, Revision: e.Revision, Renewed: !e.RenewedAt.IsZero()}
		if k.Renewed {
			k.SinceRenewal = now.Sub(e.RenewedAt)
		}
		c.Entries = append(c.Entries, k)
	}
	return c
}

func connectCode(r result.Result) connect.Code {
	if r.Code == result.NotFound {
		return connect.CodeNotFound
	}
	return connect.CodeInvalidArgument
}

// viewInput holds the state, the time and the observations that a view is built from.
type viewInput struct {
	state model.State
	now   model.Timestamp
	local query.LocalStatus

	observations model.Observations
}
