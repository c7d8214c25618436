package command

import (
	"context"
	"errors"
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

// Replication implements the ReplicationService, which the other replicas call.
type Replication struct{ r *Replica }

var _ replicav1connect.ReplicationServiceHandler = Replication{}

// Replication returns the handler of the ReplicationService of this replica.
func (r *Replica) Replication() Replication { return Replication{r} }

// Route returns the path and handler of the ReplicationService.
func (h Replication) Route(options ...connect.HandlerOption) (string, http.Handler) {
	return replicav1connect.NewReplicationServiceHandler(h, options...)
}

// Exchange receives requests from a peer and sends the replies until the stream
// ends. Messages are dropped while the mailbox of the control loop is full. It
// returns NotFound if the stream is addressed to another replica ID, such as an
// earlier incarnation of this one.
func (h Replication) Exchange(ctx context.Context, stream *connect.BidiStream[replicav1.ExchangeRequest, replicav1.ExchangeResponse]) error {
	req, err := stream.Receive()
	if err != nil {
		return err
	}
	from, to := model.ReplicaID(req.From), model.ReplicaID(req.To)
	if to != h.r.id {
		return h.r.otherReplica(to)
	}
	ctx, cancel := context.WithCancel(ctx)
	queue := make(replyQueue, senderQueueSize)
	if err := h.r.port.Send(ctx, streamOpened{from, queue}); err != nil {
		cancel()
		return connect.NewError(connect.CodeUnavailable, err)
	}
	var sending sync.WaitGroup
	sending.Go(func() { queue.run(ctx, stream) })
	defer func() {
		cancel()
		sending.Wait()
		_ = h.r.port.Send(context.WithoutCancel(ctx), streamClosed{from, queue}) // fails only when the loop has ended
	}()
	for ; err == nil; req, err = stream.Receive() {
		messages, decodeErr := fromWire(from, to, req.Messages)
		if decodeErr != nil {
			event.EntryUndecodable.Log(h.r.log, zap.Error(decodeErr))
			continue
		}
		h.r.port.TrySend(received{messages})
	}
	return nil
}

// otherReplica returns the error of a call that is addressed to the replica to. Its detail says
// which replica serves here; see servingReplica.
func (r *Replica) otherReplica(to model.ReplicaID) error {
	err := connect.NewError(connect.CodeNotFound, result.New(result.NotFound, "this replica is %s, not %s", r.id, to))
	if detail, detailErr := connect.NewErrorDetail(toInfo(r.self())); detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}

// servingReplica returns the replica that has refused a call because it is addressed to another
// one; false for other errors, and for replicas of releases that do not state who they are.
func servingReplica(err error) (raft.Member, bool) {
	var refused *connect.Error
	if !errors.As(err, &refused) || refused.Code() != connect.CodeNotFound {
		return raft.Member{}, false
	}
	for _, detail := range refused.Details() {
		if value, err := detail.Value(); err == nil {
			if info, ok := value.(*replicav1.ReplicaInfo); ok {
				return fromInfo(info), true
			}
		}
	}
	return raft.Member{}, false
}

// replyQueue queues the replies for one incoming stream.
type replyQueue chan []raft.Message

// run sends queued replies until the stream ends.
func (q replyQueue) run(ctx context.Context, stream *connect.BidiStream[replicav1.ExchangeRequest, replicav1.ExchangeResponse]) {
	for {
		select {
		case <-ctx.Done():
			return
		case messages := <-q:
			list, err := toWire(messages)
			if err != nil || stream.Send(&replicav1.ExchangeResponse{Messages: list}) != nil {
				return
			}
		}
	}
}

// InstallSnapshot receives a complete snapshot and responds after the machine has
// processed it. It returns InvalidArgument for a snapshot that is too long or
// damaged and NotFound if it is addressed to another replica ID.
func (h Replication) InstallSnapshot(ctx context.Context, stream *connect.ClientStream[replicav1.InstallSnapshotRequest]) (*connect.Response[replicav1.InstallSnapshotResponse], error) {
	var assembler snapshotAssembler
	for stream.Receive() {
		if err := assembler.add(stream.Msg()); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	input, err := assembler.input()
	if err != nil {
		event.SnapshotFailed.Log(h.r.log, zap.Error(err))
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if to := model.ReplicaID(assembler.head.To); to != h.r.id {
		return nil, h.r.otherReplica(to)
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

// Identify returns the ID, address and domain of this replica and whether its log
// is empty. Peers call it before they bootstrap a site.
func (h Replication) Identify(context.Context, *connect.Request[replicav1.IdentifyRequest]) (*connect.Response[replicav1.IdentifyResponse], error) {
	return connect.NewResponse(&replicav1.IdentifyResponse{Replica: toInfo(h.r.self()), Empty: h.r.Status().Last == 0}), nil
}

// Join requests the admission of a replica. The leader queues the request; every
// replica responds with the address of the leader, empty if none is known.
func (h Replication) Join(_ context.Context, req *connect.Request[replicav1.JoinRequest]) (*connect.Response[replicav1.JoinResponse], error) {
	if h.r.View().IsLeader {
		h.r.port.TrySend(joinRequest{fromInfo(req.Msg.GetReplica())})
	}
	return connect.NewResponse(&replicav1.JoinResponse{LeaderAddress: h.r.View().LeaderAddress}), nil
}

// CommandService implements Propose of the ReplicaCommandService. The method
// RenewEntry is implemented outside of this package.
type CommandService struct{ r *Replica }

// CommandService returns the implementation of Propose of the
// ReplicaCommandService.
func (r *Replica) CommandService() CommandService { return CommandService{r} }

// Propose commits the envelopes of a request in order. An envelope that cannot be
// decoded gets the result InvalidInput and does not hold up the others. On a replica
// that is not the leader it appends nothing and responds with the leader's address.
func (c CommandService) Propose(ctx context.Context, req *connect.Request[replicav1.ProposeRequest]) (*connect.Response[replicav1.ProposeResponse], error) {
	batch := raftBatch{results: make([]result.Result, len(req.Msg.Envelopes))}
	for i, data := range req.Msg.Envelopes {
		env, err := codec.DecodeEnvelope(data)
		if c.r.bound(&env) {
			data, env, err = codec.EncodeForLog(env)
		}
		batch.add(i, raft.Command{Data: data, Value: env}, err)
	}
	resp := &replicav1.ProposeResponse{}
	if v := c.r.View(); !v.IsLeader {
		resp.NotLeader, resp.LeaderAddress = true, v.LeaderAddress
		return connect.NewResponse(resp), nil
	}
	results := batch.propose(ctx, c.r)
	if batch.notAppended() {
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

// notAppended reports whether it is certain that no command was appended because
// this replica is not the leader.
func (b *raftBatch) notAppended() bool {
	for _, i := range b.positions {
		if code := b.results[i].Code; code != result.NotLeader && code != result.NoQuorum {
			return false
		}
	}
	return len(b.positions) > 0
}
