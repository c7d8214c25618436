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

// ViewResponse is a view, together with the index and revision of the state that it
// was built from.
type ViewResponse struct {
	// Index and Revision are the log index and the configuration revision of the
	// state.
	Index    model.Index
	Revision model.Revision
	// FromLeader is set if the leader answered. Otherwise the view may be out of date.
	FromLeader bool
	// Body is the view as JSON.
	Body []byte
}

// Read requests a view from all replicas and decodes it into view. It uses the
// answer of the leader, or the answer with the highest index if the leader does not
// answer within 3 s. Which object the subject selects depends on the view. The error
// is a result.Result, with the code NoQuorum if no replica answered.
func (c *Client) Read(ctx context.Context, name operatorv1.View, subject string, view any) (ViewResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	type reply struct {
		response ViewResponse
		err      error
	}
	replies := make(chan reply, len(c.settings.Addresses))
	for _, address := range c.settings.Addresses {
		go func() {
			resp, err := c.read(ctx, address, name, subject)
			replies <- reply{resp, err}
		}()
	}
	var best *ViewResponse
	var failure error
	for range c.settings.Addresses {
		r := <-replies
		switch {
		case r.err != nil:
			failure = moreSpecific(failure, r.err)
			continue
		case best == nil || r.response.FromLeader || r.response.Index > best.Index:
			best = &r.response
		}
		if best.FromLeader {
			break
		}
	}
	if best == nil {
		return ViewResponse{}, failure
	}
	if err := json.Unmarshal(best.Body, view); err != nil {
		return *best, result.New(result.Internal, "view %s: %v", name, err)
	}
	return *best, nil
}

func (c *Client) read(ctx context.Context, address string, name operatorv1.View, subject string) (ViewResponse, error) {
	service := operatorv1connect.NewOperatorQueryServiceClient(c.http, "http://"+address)
	resp, err := service.Read(ctx, connect.NewRequest(&operatorv1.ReadRequest{View: name, Subject: subject}))
	if err != nil {
		return ViewResponse{}, errorResult(address, err)
	}
	return ViewResponse{
		Index: model.Index(resp.Msg.Index), Revision: model.Revision(resp.Msg.Revision), FromLeader: resp.Msg.Leads, Body: resp.Msg.Body,
	}, nil
}

// errorResult converts an error to a result. An error about the request itself is
// kept; every other error means that the replica cannot be reached.
func errorResult(address string, err error) result.Result {
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

// moreSpecific returns a if it is an error about the request itself, else b.
func moreSpecific(a, b error) error {
	var r result.Result
	if errors.As(a, &r) && r.Code != result.NoQuorum {
		return a
	}
	return b
}
