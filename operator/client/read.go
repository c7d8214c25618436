package client

import (
	"context"
	"encoding/json"
	"errors"

	"connectrpc.com/connect"

	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/api/gen/lacewingturn/operator/v1/operatorv1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Answer tells which state a view was made from.
type Answer struct {
	Index    model.Index
	Revision model.Revision
	// Leads is set if the leader answered. Otherwise the view may be out of date.
	Leads bool
	// Body is the view as JSON.
	Body []byte
}

// Read asks all replicas for a view and decodes it into view. It takes the
// answer of the leader, or that of the replica which is furthest if the leader
// does not answer. The error is a result.Result.
func (c *Client) Read(ctx context.Context, name operatorv1.View, subject string, view any) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	type reply struct {
		answer Answer
		err    error
	}
	replies := make(chan reply, len(c.settings.Addresses))
	for _, address := range c.settings.Addresses {
		go func() {
			a, err := c.read(ctx, address, name, subject)
			replies <- reply{a, err}
		}()
	}
	var best *Answer
	var failure error
	for range c.settings.Addresses {
		r := <-replies
		switch {
		case r.err != nil:
			failure = worse(failure, r.err)
			continue
		case best == nil || r.answer.Leads || r.answer.Index > best.Index:
			best = &r.answer
		}
		if best.Leads {
			break
		}
	}
	if best == nil {
		return Answer{}, failure
	}
	if err := json.Unmarshal(best.Body, view); err != nil {
		return *best, result.New(result.Internal, "view %s: %v", name, err)
	}
	return *best, nil
}

func (c *Client) read(ctx context.Context, address string, name operatorv1.View, subject string) (Answer, error) {
	service := operatorv1connect.NewOperatorQueryServiceClient(c.http, "http://"+address)
	resp, err := service.Read(ctx, connect.NewRequest(&operatorv1.ReadRequest{View: name, Subject: subject}))
	if err != nil {
		return Answer{}, refusal(address, err)
	}
	return Answer{
		Index: model.Index(resp.Msg.Index), Revision: model.Revision(resp.Msg.Revision), Leads: resp.Msg.Leads, Body: resp.Msg.Body,
	}, nil
}

// refusal turns an error into a result. What a replica said about the request
// is kept; everything else means that it cannot be reached.
func refusal(address string, err error) result.Result {
	var ce *connect.Error
	if errors.As(err, &ce) {
		switch ce.Code() {
		case connect.CodeNotFound:
			return result.New(result.NotFound, "%s", ce.Message())
		case connect.CodeInvalidArgument:
			return result.New(result.InvalidInput, "%s", ce.Message())
		}
	}
	return unreachable(address, err)
}

// worse keeps the error that tells more: what a replica said about the request.
func worse(a, b error) error {
	var r result.Result
	if errors.As(a, &r) && r.Code != result.NoQuorum {
		return a
	}
	return b
}
