package client

import (
	"context"
	"errors"
	"net"

	"connectrpc.com/connect"

	"lacewingturn.example/api/codec"
	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/api/gen/lacewingturn/operator/v1/operatorv1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Submit sends a command and returns its result. It resends under the same ID until
// the result is known or ctx ends. When ctx ends, the code is Unknown if the command
// may have been applied, else the code of the last attempt. The replicas keep the
// result of an ID for one hour; within it, another call with the same ID returns
// the first result.
func (c *Client) Submit(ctx context.Context, id model.RequestID, command model.Command) result.Result {
	data, err := codec.EncodeEnvelope(model.Envelope{RequestID: id, Actor: c.settings.Actor, Command: command})
	if err != nil {
		return result.New(result.InvalidInput, "%v", err)
	}
	last := result.New(result.NoQuorum, "no control replica was tried before the deadline")
	maybeApplied := false
	c.tryReplicas(ctx, func(address string) bool {
		r, applied := c.attempt(ctx, address, data)
		maybeApplied = maybeApplied || applied
		last = r
		return final(r.Code)
	})
	if maybeApplied && !final(last.Code) {
		return result.New(result.Unknown, "the answer was lost; resend with --request-id %s to learn the result: %s", id, last.Detail)
	}
	return last
}

// final reports whether a retry cannot change the result.
func final(c result.Code) bool {
	switch c {
	case result.NotLeader, result.NoQuorum, result.Unknown, result.Overloaded, result.Stopping:
		return false
	}
	return true
}

// attempt sends the command to one replica and returns the result. maybeApplied is
// set if the command may have been applied although the result does not say so.
func (c *Client) attempt(ctx context.Context, address string, data []byte) (r result.Result, maybeApplied bool) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	service := operatorv1connect.NewOperatorCommandServiceClient(c.http, "http://"+address)
	resp, err := service.Submit(ctx, connect.NewRequest(&operatorv1.SubmitRequest{Envelope: data}))
	if err != nil {
		return unreachable(address, err), !notSent(err)
	}
	r, err = codec.DecodeResult(resp.Msg.Result)
	if err != nil {
		return result.New(result.Unknown, "the result from control replica %s cannot be decoded: %v", address, err), true
	}
	return r, r.Code == result.Unknown
}

func unreachable(address string, err error) result.Result {
	return result.New(result.NoQuorum, "the request to control replica %s failed: %v", address, err)
}

// notSent reports whether the request was certainly not processed by a replica: the
// connection failed, or the request was rejected before its handler.
func notSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	code := connect.CodeOf(err)
	return code == connect.CodeInvalidArgument || code == connect.CodeUnimplemented || code == connect.CodeResourceExhausted
}
