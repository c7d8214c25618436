package command

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica/raft"
)

const (
	// dialTimeout is below the shortest election timeout, so that a peer that
	// silently drops packets does not block its sender for an election timeout.
	dialTimeout = 400 * time.Millisecond
	// redialBackoff is the minimum time between two attempts to connect to a peer.
	redialBackoff = 100 * time.Millisecond
	// pingInterval and pingTimeout cause a connection that receives nothing to be
	// replaced within about one election timeout. Heartbeat replies arrive more
	// often than pingInterval, so a working connection carries no pings.
	pingInterval = 300 * time.Millisecond
	pingTimeout  = 300 * time.Millisecond
	// streamIdleTimeout is the time after which an idle stream is closed, such as
	// that of a former leader. The pings on an idle stream would cost more than
	// opening a new one.
	streamIdleTimeout = 2 * time.Second
	// senderQueueSize is the number of batches that are queued for a slow peer.
	// Further batches are dropped; the protocol retransmits them.
	senderQueueSize = 256
)

// outgoing is a batch of messages to one peer.
type outgoing struct {
	address  string
	messages []raft.Message
}

// senders runs one goroutine for each peer to which this replica sends requests.
// Only the machine accesses its maps.
type senders struct {
	log     *zap.Logger
	from    model.ReplicaID
	dial    dialFunc
	post    func(loop.Message) // passes replies and refusals to the control loop; must not block
	byPeer  map[model.ReplicaID]*sender
	replies map[model.ReplicaID]replyQueue // reply queues of the incoming streams, by the peer that opened the stream
	started chan *sender
}

func newSenders(log *zap.Logger, from model.ReplicaID, dial dialFunc, post func(loop.Message)) *senders {
	return &senders{
		log: log, from: from, dial: dial, post: post, byPeer: map[model.ReplicaID]*sender{},
		replies: map[model.ReplicaID]replyQueue{}, started: make(chan *sender, maxTasks),
	}
}

func isReply(t raft.MessageType) bool {
	return t == raft.AppendReply || t == raft.VoteReply || t == raft.PreVoteReply
}

// send queues messages for delivery and never blocks. Replies are sent over the
// stream on which the request arrived if that is still open.
func (s *senders) send(messages []raft.Message, address func(model.ReplicaID) string) {
	for len(messages) > 0 {
		to, reply := messages[0].To, isReply(messages[0].Type)
		n := 1
		for n < len(messages) && messages[n].To == to && isReply(messages[n].Type) == reply {
			n++
		}
		s.enqueue(to, reply, messages[:n:n], address)
		messages = messages[n:]
	}
}

// enqueue queues messages for one peer and drops them if the queue is full.
func (s *senders) enqueue(to model.ReplicaID, reply bool, messages []raft.Message, address func(model.ReplicaID) string) {
	if queue, ok := s.replies[to]; ok && reply {
		select {
		case queue <- messages:
		default:
		}
		return
	}
	if addr := address(to); addr != "" {
		select {
		case s.sender(to).in <- outgoing{addr, messages}:
		default:
		}
	}
}

// removeStream removes the reply queue of an incoming stream unless a newer
// stream of the same peer has replaced it.
func (s *senders) removeStream(d streamClosed) {
	if s.replies[d.peer] == d.replies {
		delete(s.replies, d.peer)
	}
}

func (s *senders) sender(to model.ReplicaID) *sender {
	if known, ok := s.byPeer[to]; ok {
		return known
	}
	peer := &sender{
		log: s.log.With(zap.String("peer", string(to))), from: s.from, to: to, post: s.post,
		client: newHTTPClient(s.dial), in: make(chan outgoing, senderQueueSize), reachable: true,
	}
	s.byPeer[to] = peer
	s.started <- peer
	return peer
}

// run starts a goroutine for each new sender and returns when ctx has ended and
// all senders have stopped.
func (s *senders) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-s.started:
			wg.Go(func() { peer.run(ctx) })
		}
	}
}

// sender sends requests to one peer over one stream and receives the replies.
type sender struct {
	log       *zap.Logger
	from, to  model.ReplicaID
	post      func(loop.Message)
	client    *http.Client
	in        chan outgoing
	address   string
	stream    *connect.BidiStreamForClient[replicav1.ExchangeRequest, replicav1.ExchangeResponse]
	cancel    context.CancelFunc
	readers   sync.WaitGroup
	retryAt   time.Time
	reachable bool
}

func (s *sender) run(ctx context.Context) {
	defer s.client.CloseIdleConnections()
	defer s.readers.Wait()
	defer s.closeStream()
	idle := time.NewTimer(streamIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			s.closeStream()
			s.client.CloseIdleConnections()
		case out := <-s.in:
			s.deliver(ctx, s.merge(out))
			idle.Reset(streamIdleTimeout)
		}
	}
}

// merge appends the queued batches that have the same address. If the address has
// changed, it returns the first batch for the new address.
func (s *sender) merge(out outgoing) outgoing {
	for {
		select {
		case more := <-s.in:
			if more.address != out.address {
				return more // messages to the old address are dropped
			}
			out.messages = append(out.messages, more.messages...)
		default:
			return out
		}
	}
}

// deliver sends the messages and opens a new stream if the current one has ended.
// Messages that cannot be sent, and all messages within redialBackoff after a failed
// attempt, are dropped.
func (s *sender) deliver(ctx context.Context, out outgoing) {
	if out.address != s.address {
		s.closeStream()
		s.address, s.retryAt = out.address, time.Time{}
	}
	if time.Now().Before(s.retryAt) {
		return
	}
	list, err := toWire(out.messages)
	if err != nil {
		event.EntryUndecodable.Log(s.log, zap.Error(err))
		return
	}
	if s.stream != nil && s.stream.Send(&replicav1.ExchangeRequest{Messages: list}) == nil {
		return
	}
	s.closeStream()
	s.open(ctx)
	if err := s.stream.Send(&replicav1.ExchangeRequest{Messages: list, From: string(s.from), To: string(s.to)}); err != nil {
		s.closeStream()
		s.retryAt = time.Now().Add(redialBackoff)
		s.setReachable(false, err)
		return
	}
	s.setReachable(true, nil)
}

// open opens a stream and starts the goroutine that receives its replies.
func (s *sender) open(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	stream := replicav1connect.NewReplicationServiceClient(s.client, "http://"+s.address).Exchange(ctx)
	s.stream = stream
	openedAt := time.Now()
	s.readers.Go(func() { s.read(stream, openedAt) })
}

// read passes on the replies until the stream ends. The next send then fails and opens a new one.
func (s *sender) read(stream *connect.BidiStreamForClient[replicav1.ExchangeRequest, replicav1.ExchangeResponse], openedAt time.Time) {
	for {
		resp, err := stream.Receive()
		if err != nil {
			if by, ok := servingReplica(err); ok {
				s.post(superseded{raft.Superseded{ID: s.to, By: by, AskedAt: openedAt}})
			}
			return
		}
		messages, err := fromWire(s.to, s.from, resp.Messages)
		if err != nil {
			event.EntryUndecodable.Log(s.log, zap.Error(err))
			continue
		}
		s.post(received{messages})
	}
}

// closeStream closes the current stream. Cancelling its context is not enough:
// the transport notices that only after the end of the request body.
func (s *sender) closeStream() {
	if s.stream != nil {
		s.cancel()
		_ = s.stream.CloseRequest() // an error means that the stream has ended already
		s.stream = nil
	}
}

// setReachable logs when the peer becomes reachable or unreachable.
func (s *sender) setReachable(reachable bool, err error) {
	if reachable == s.reachable {
		return
	}
	s.reachable = reachable
	if reachable {
		event.PeerReachable.Log(s.log, zap.String("address", s.address))
		return
	}
	if errors.Is(err, io.EOF) {
		err = errors.New("the stream was refused or the connection failed")
	}
	event.PeerUnreachable.Log(s.log, zap.String("address", s.address), zap.Error(err))
}
