package query

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

// WatchInterval is the interval at which Watch polls the renewals of entry
// instances, because no notification is sent for them. Entry instances renew every
// 500 ms, so polling at half of that adds little delay for the operator.
const WatchInterval = 250 * time.Millisecond

// Watch sends the list of live entry instances that do not have a revision in force,
// first at once and then at each change. It ends when the list is empty, or after
// reporting NotLeader if this replica does not lead or does not have the revision yet.
func (h *Handler) Watch(ctx context.Context, req *connect.Request[operatorv1.WatchRequest], out *connect.ServerStream[operatorv1.WatchResponse]) error {
	timer := time.NewTicker(WatchInterval)
	defer timer.Stop()
	var last *operatorv1.WatchResponse
	for {
		v := h.replica.View()
		msg := h.progress(v.State, model.Revision(req.Msg.Revision), h.localStatus(v, time.Now()))
		if last == nil || msg.Members != last.Members || msg.NotLeader != last.NotLeader || !slices.Equal(msg.Waiting, last.Waiting) {
			if err := out.Send(msg); err != nil {
				return err
			}
			last = msg
		}
		if msg.NotLeader || len(msg.Waiting) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
	}
}

func (h *Handler) progress(s model.State, revision model.Revision, c query.LocalStatus) *operatorv1.WatchResponse {
	if !c.IsLeader || s.Revision < revision {
		return &operatorv1.WatchResponse{NotLeader: true}
	}
	return &operatorv1.WatchResponse{Members: uint32(s.Entries.Len()), Waiting: query.EntriesWithoutRevision(s, c, revision)}
}
