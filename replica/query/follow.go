// Package query serves read-only requests on the control state of one replica.
package query

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"lacewingturn.example/api/codec"
	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/core/query"
	"lacewingturn.example/node/wait"
	"lacewingturn.example/replica"
)

// KeepAliveInterval is the interval between messages on a Follow stream without
// changes. An entry instance treats its view as current for 2.5 s after a message, so
// three messages may be lost.
const KeepAliveInterval = 600 * time.Millisecond

// MinDeltaInterval is the minimum time between two deltas on a stream. Changes
// within it are sent as one delta.
const MinDeltaInterval = 10 * time.Millisecond

// Handler implements the query service of a replica. Every replica serves it, also
// when it is not the leader.
type Handler struct{ replica replica.Replica }

// New returns the handler for r.
func New(r replica.Replica) *Handler { return &Handler{replica: r} }

// Status returns the ID, term, state index and known leader of this replica.
func (h *Handler) Status(context.Context, *connect.Request[replicav1.StatusRequest]) (*connect.Response[replicav1.StatusResponse], error) {
	v := h.replica.View()
	return connect.NewResponse(&replicav1.StatusResponse{
		ReplicaId: string(v.ID), Term: uint64(v.Term), Index: uint64(v.State.Index),
		LeaderId: string(v.Leader), LeaderAddress: v.LeaderAddress, Leader: v.IsLeader,
	}), nil
}

// Follow streams a snapshot of the traffic view and then its changes. A client that
// reconnects receives a new snapshot, so no change can be missed; the view is
// small enough for that.
func (h *Handler) Follow(ctx context.Context, _ *connect.Request[replicav1.FollowRequest], out *connect.ServerStream[replicav1.FollowResponse]) error {
	v := h.replica.View()
	previous := query.TrafficOf(v.State)
	first, err := snapshotMessage(previous)
	if err != nil {
		return err
	}
	if err := h.send(out, v, first); err != nil {
		return err
	}
	timer := time.NewTimer(KeepAliveInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-v.Next:
			v = h.replica.View()
			if v.State.TrafficIndex == previous.Index {
				continue
			}
			if err := wait.Sleep(ctx, MinDeltaInterval); err != nil {
				return err
			}
			v = h.replica.View()
		case <-timer.C:
			v = h.replica.View()
		}
		current := query.TrafficOf(v.State)
		if err := h.sendChange(out, v, previous, current); err != nil {
			return err
		}
		previous = current
		timer.Reset(KeepAliveInterval)
	}
}

func snapshotMessage(t query.Traffic) (*replicav1.FollowResponse, error) {
	data, err := codec.EncodeTraffic(t)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return &replicav1.FollowResponse{Snapshot: data}, nil
}

// sendChange sends the difference between previous and current, or a keep-alive
// message without a delta if they have the same index.
func (h *Handler) sendChange(out *connect.ServerStream[replicav1.FollowResponse], v *replica.View, previous, current query.Traffic) error {
	msg := &replicav1.FollowResponse{}
	if current.Index != previous.Index {
		data, err := codec.EncodeDelta(query.DiffTraffic(previous, current))
		if err != nil {
			return connect.NewError(connect.CodeInternal, err)
		}
		msg.Delta, msg.PreviousIndex = data, uint64(previous.Index)
	}
	return h.send(out, v, msg)
}

// send completes msg with the term, the index and the leader contact of the view and
// sends it.
func (h *Handler) send(out *connect.ServerStream[replicav1.FollowResponse], v *replica.View, msg *replicav1.FollowResponse) error {
	msg.Term, msg.Index = uint64(v.Term), uint64(v.State.TrafficIndex)
	msg.LeaderContactMs = uint32(max(0, time.Since(v.LeaderContact).Milliseconds()))
	msg.LeaderAddress = v.LeaderAddress
	return out.Send(msg)
}
