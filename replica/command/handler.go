package command

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"lacewingturn.example/api/codec"
	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/event"
	"lacewingturn.example/replica/raft"
)

// Replication serves the messages of other replicas.
type Replication struct{ r *Replica }

var _ replicav1connect.ReplicationServiceHandler = Replication{}

// Replication returns the handler of the ReplicationService.
func (r *Replica) Replication() Replication { return Replication{r} }

// Route returns the path and handler of the ReplicationService.
func (h Replication) Route(options ...connect.HandlerOption) (string, http.Handler) {
	return replicav1connect.NewReplicationServiceHandler(h, options...)
}

// Exchange takes requests until the stream ends and sends the replies to them.
// Messages that find a full mailbox are dropped.
func (h Replication) Exchange(ctx context.Context, stream *connect.BidiStream[replicav1.ExchangeRequest, replicav1.ExchangeResponse]) error {
	req, err := stream.Receive()
	if err != nil {
		return err
	}
	from, to := model.ReplicaID(req.From), model.ReplicaID(req.To)
	if to != h.r.id {
		return connect.NewError(connect.CodeNotFound, result.New(result.NotFound, "this replica is %s, not %s", h.r.id, to))
	}
	ctx, cancel := context.WithCancel(ctx)
	out := make(outlet, senderQueue)
	if err := h.r.port.Send(ctx, attached{from, out}); err != nil {
		cancel()
		return connect.NewError(connect.CodeUnavailable, err)
	}
	var replies sync.WaitGroup
	replies.Go(func() { out.run(ctx, stream) })
	defer func() {
		cancel()
		replies.Wait()
		_ = h.r.port.Send(context.WithoutCancel(ctx), detached{from, out}) // fails only when the loop has ended
	}()
	for ; err == nil; req, err = stream.Receive() {
		messages, bad := fromWire(from, to, req.Messages)
		if bad != nil {
			event.EntryUndecodable.Log(h.r.log, zap.Error(bad))
			continue
		}
		h.r.port.TrySend(received{messages})
	}
	return nil
}

// outlet takes the replies for one incoming stream.
type outlet chan []raft.Message

// run sends replies until the stream ends.
func (o outlet) run(ctx context.Context, stream *connect.BidiStream[replicav1.ExchangeRequest, replicav1.ExchangeResponse]) {
	for {
		select {
		case <-ctx.Done():
			return
		case messages := <-o:
			list, err := toWire(messages)
			if err != nil || stream.Send(&replicav1.ExchangeResponse{Messages: list}) != nil {
				return
			}
		}
	}
}

// InstallSnapshot takes a whole snapshot and answers once the machine has it.
func (h Replication) InstallSnapshot(ctx context.Context, stream *connect.ClientStream[replicav1.InstallSnapshotRequest]) (*connect.Response[replicav1.InstallSnapshotResponse], error) {
	var parts assemble
	for stream.Receive() {
		if err := parts.add(stream.Msg()); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	input, err := parts.input()
	if err != nil {
		event.SnapshotFailed.Log(h.r.log, zap.Error(err))
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if to := model.ReplicaID(parts.head.To); to != h.r.id {
		return nil, connect.NewError(connect.CodeNotFound, result.New(result.NotFound, "this replica is %s, not %s", h.r.id, to))
	}
	done := make(chan struct{})
	if err := h.r.port.Send(ctx, snapshotReceived{input, done}); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	select {
	case <-done:
		return connect.NewResponse(&replicav1.InstallSnapshotResponse{}), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Identify implements the handler.
func (h Replication) Identify(context.Context, *connect.Request[replicav1.IdentifyRequest]) (*connect.Response[replicav1.IdentifyResponse], error) {
	return connect.NewResponse(&replicav1.IdentifyResponse{Replica: toInfo(h.r.self()), Empty: h.r.Status().Last == 0}), nil
}

// Join implements the handler.
func (h Replication) Join(_ context.Context, req *connect.Request[replicav1.JoinRequest]) (*connect.Response[replicav1.JoinResponse], error) {
	if h.r.View().IsLeader {
		h.r.port.TrySend(joinRequest{fromInfo(req.Msg.GetReplica())})
	}
	return connect.NewResponse(&replicav1.JoinResponse{LeaderAddress: h.r.View().LeaderAddress}), nil
}

// Commands serves Propose. RenewEntry is served elsewhere.
type Commands struct{ r *Replica }

// Commands returns the Propose half of the ReplicaCommandService.
func (r *Replica) Commands() Commands { return Commands{r} }

// Propose commits the envelopes of a request in order.
func (c Commands) Propose(ctx context.Context, req *connect.Request[replicav1.ProposeRequest]) (*connect.Response[replicav1.ProposeResponse], error) {
	commands := make([]raft.Command, len(req.Msg.Envelopes))
	for i, data := range req.Msg.Envelopes {
		env, err := codec.DecodeEnvelope(data)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		commands[i] = raft.Command{Data: data, Value: env}
	}
	resp := &replicav1.ProposeResponse{}
	if v := c.r.View(); !v.IsLeader {
		resp.NotLeader, resp.LeaderAddress = true, v.LeaderAddress
		return connect.NewResponse(resp), nil
	}
	results := c.r.propose(ctx, commands)
	if notAppended(results) {
		v := c.r.View()
		resp.NotLeader, resp.LeaderAddress = true, v.LeaderAddress
		return connect.NewResponse(resp), nil
	}
	for _, res := range results {
		data, err := codec.EncodeResult(res)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		resp.Results = append(resp.Results, data)
	}
	return connect.NewResponse(resp), nil
}

// notAppended reports whether all commands certainly had no effect because
// this replica does not lead.
func notAppended(results []result.Result) bool {
	for _, r := range results {
		if r.Code != result.NotLeader && r.Code != result.NoQuorum {
			return false
		}
	}
	return len(results) > 0
}
