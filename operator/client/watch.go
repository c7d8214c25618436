package client

import (
	"context"

	"connectrpc.com/connect"

	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/api/gen/lacewingturn/operator/v1/operatorv1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Progress says which entry instances have a configuration revision in force.
type Progress struct {
	Members int      // entry instances in the control state
	Waiting []string // IDs of live entry instances that do not have the revision in force yet
}

// Watch calls report at each change of the progress until every live entry instance
// has the revision in force, and then returns nil. After a failover it continues
// with the new leader. When ctx ends, it returns a result.Result with the code
// Deadline that lists the entry instances still waiting.
func (c *Client) Watch(ctx context.Context, revision model.Revision, report func(Progress)) error {
	var last *Progress
	done := false
	c.tryReplicas(ctx, func(address string) bool {
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
		return result.New(result.Deadline, "no leader reported which entry instances have revision %d in force", revision)
	}
	return result.New(result.Deadline, "%d of %d entry instances do not have revision %d in force: %v", len(last.Waiting), last.Members, revision, last.Waiting)
}

// watch follows the progress at one replica. It returns true if that replica leads
// and every live entry instance has the revision in force.
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
