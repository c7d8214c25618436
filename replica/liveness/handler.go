package liveness

import (
	"context"

	"connectrpc.com/connect"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/core/command/liveness"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// RenewEntry renews the membership lease of an entry instance. The response holds
// the validity of the lease in ms, or sets NotLeader or UnknownEntry. If the mailbox
// of the control loop is full, RenewEntry returns CodeResourceExhausted.
func (m *Machine) RenewEntry(ctx context.Context, req *connect.Request[replicav1.RenewEntryRequest]) (*connect.Response[replicav1.RenewEntryResponse], error) {
	msg := renewal{
		request: liveness.Renewal{ID: model.EntryID(req.Msg.EntryId), Epoch: req.Msg.Epoch, Revision: model.Revision(req.Msg.Revision)},
		reply:   make(chan reply, 1),
	}
	if !m.port.TrySend(msg) {
		return nil, connect.NewError(connect.CodeResourceExhausted, result.New(result.Overloaded, "the mailbox of the control loop is full"))
	}
	select {
	case r := <-msg.reply:
		return connect.NewResponse(&replicav1.RenewEntryResponse{
			ValidMs: uint32(r.validFor.Milliseconds()), Index: uint64(r.index), Term: uint64(r.term),
			UnknownEntry: r.unknown, NotLeader: !r.leader, LeaderAddress: r.address,
		}), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
