package client

import (
	"context"

	"connectrpc.com/connect"

	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/api/gen/lacewingturn/operator/v1/operatorv1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Progress is how far a configuration has come.
type Progress struct {
	Members int      // entry instances in the control state
	Waiting []string // those that do not have the revision in force yet
}

// Watch calls report at each change until every live entry instance has the
// revision in force, and returns nil then. It changes over to the new leader
// after a failover. When ctx ends it returns Deadline with who is missing.
func (c *Client) Watch(ctx context.Context, revision model.Revision, report func(Progress)) error {
	var last *Progress
	done := false
	c.rounds(ctx, func(address string) bool {
		done = c.watch(ctx, address, revision, func(p Progress) {
			last = &p
			report(p)
		})
		return done
	})
	switch {
	case done:
		return nil
	case last == nil:
		return result.New(result.Deadline, "no leader told which entry instances have revision %d in force", revision)
	}
	return result.New(result.Deadline, "%d of %d entry instances do not have revision %d in force: %v", len(last.Waiting), last.Members, revision, last.Waiting)
}

// watch reports whether the leader at the address saw the revision in force everywhere.
func (c *Client) watch(ctx context.Context, address string, revision model.Revision, report func(Progress)) bool {
	service := operatorv1connect.NewOperatorQueryServiceClient(c.http, "http://"+address)
	stream, err := service.Watch(ctx, connect.NewRequest(&operatorv1.WatchRequest{Revision: uint64(revision)}))
	if err != nil {
		return false
	}
	defer stream.Close()
	for stream.Receive() {
		if stream.Msg().NotLeader {
			return false
		}
		report(Progress{Members: int(stream.Msg().Members), Waiting: stream.Msg().Waiting})
		if len(stream.Msg().Waiting) == 0 {
			return true
		}
	}
	return false
}
