// Package command serves the commands of the operator interface, which change the
// control state. Every command carries a request ID, so that a client can safely
// resend it when the answer is lost.
package command

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"lacewingturn.example/api/codec"
	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/api/gen/lacewingturn/operator/v1/operatorv1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/event"
)

// MaxMessage is the size of the largest accepted request in bytes. A configuration
// of 720 instances takes 163 KB, and one of 10 000, the most that an answers file may
// declare, takes 2.3 MB.
const MaxMessage = 8 << 20

// DefaultTimeout bounds a command whose sender set no deadline. It covers a
// failover, which takes 2 s, and a resend.
const DefaultTimeout = 10 * time.Second

// Proposer commits commands through the leader and returns one result for each.
// An error leaves open whether the commands were appended to the log. The Propose
// method of entry.Control has the same contract.
type Proposer interface {
	Propose(ctx context.Context, commands []model.Envelope) ([]result.Result, error)
}

// Handler serves the OperatorCommandService on one control replica.
type Handler struct {
	proposer Proposer
	log      *zap.Logger
}

var _ operatorv1connect.OperatorCommandServiceHandler = (*Handler)(nil)

// New returns the handler of a replica. It commits commands through p.
func New(p Proposer, log *zap.Logger) *Handler { return &Handler{proposer: p, log: log} }

// Route returns the path and the handler to register on the listener of the operator
// interface.
func (h *Handler) Route(options ...connect.HandlerOption) (string, http.Handler) {
	options = append([]connect.HandlerOption{connect.WithReadMaxBytes(MaxMessage)}, options...)
	path, handler := operatorv1connect.NewOperatorCommandServiceHandler(h, options...)
	return path, withIdentity(handler)
}

// Submit commits one command and answers with its result. It returns an error only if
// the result cannot be encoded; a rejected command is a result.
func (h *Handler) Submit(ctx context.Context, req *connect.Request[operatorv1.SubmitRequest]) (*connect.Response[operatorv1.SubmitResponse], error) {
	r := h.submit(ctx, req.Msg.Envelope)
	data, err := codec.EncodeResult(r)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&operatorv1.SubmitResponse{Result: data}), nil
}

func (h *Handler) submit(ctx context.Context, data []byte) result.Result {
	id := identityFrom(ctx)
	if !id.trusted {
		event.OperatorForbidden.Log(h.log, zap.String("address", id.address))
		return result.New(result.Forbidden, "changes from %s need a client certificate of the operator authority", id.address)
	}
	env, err := codec.DecodeEnvelope(data)
	if err != nil {
		return result.New(result.InvalidInput, "%v", err)
	}
	if env.RequestID == "" {
		return result.New(result.InvalidInput, "an operator's command needs a request ID")
	}
	if r := checkAllowed(env.Command); !r.Code.OK() {
		return r
	}
	env.Actor, env.Time = id.actor(env.Actor), 0
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	r := singleResult(h.proposer.Propose(ctx, []model.Envelope{env}))
	h.logResult(env, r)
	return r
}

// singleResult returns the only result, or Unknown after an error, which leaves open
// whether the command was appended to the log.
func singleResult(results []result.Result, err error) result.Result {
	if err != nil {
		return result.New(result.Unknown, "%v", err)
	}
	if len(results) != 1 {
		return result.New(result.Unknown, "the leader returned %d results for one command", len(results))
	}
	return results[0]
}

func (h *Handler) logResult(env model.Envelope, r result.Result) {
	e := event.OperatorChange
	if r.Code == result.Unknown || r.Code == result.NoQuorum || r.Code == result.NotLeader {
		e = event.OperatorUndecided
	}
	e.Log(h.log, zap.String("actor", env.Actor), zap.String("command", fmt.Sprintf("%T", env.Command)),
		zap.String("request", string(env.RequestID)), zap.Int("code", int(r.Code)), zap.String("detail", r.Detail))
}
