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
	"lacewingturn.example/replica/raft"
)

const (
	// dialTimeout is below the shortest election timeout, so that a peer that
	// silently drops packets does not hold up a sender for longer.
	dialTimeout = 400 * time.Millisecond
	// redialAfter is the shortest time between two attempts to reach a peer.
	redialAfter = 100 * time.Millisecond
	// pingAfter and pingTimeout replace a connection that has gone silent within
	// about one election timeout. Replies to heartbeats come more often than
	// pingAfter, so that a working connection carries no pings.
	pingAfter   = 300 * time.Millisecond
	pingTimeout = 300 * time.Millisecond
	// idleAfter ends a stream that carries nothing, such as that of a former
	// leader, because its pings would cost more than opening it again.
	idleAfter = 2 * time.Second
	// senderQueue is the number of batches that wait for a slow peer; more are
	// dropped, and the protocol sends them again.
	senderQueue = 256
)

// outgoing is a batch of messages to one peer.
type outgoing struct {
	address  string
	messages []raft.Message
}

// senders owns one goroutine for each peer that this replica sends requests to.
// Its maps are used by the machine only.
type senders struct {
	log     *zap.Logger
	from    model.ReplicaID
	dial    dialFunc
	receive func([]raft.Message) // takes the replies
	byPeer  map[model.ReplicaID]*sender
	replies map[model.ReplicaID]outlet // incoming streams, by their sender
	starts  chan *sender
}

func newSenders(log *zap.Logger, from model.ReplicaID, dial dialFunc, receive func([]raft.Message)) *senders {
	return &senders{
		log: log, from: from, dial: dial, receive: receive, byPeer: map[model.ReplicaID]*sender{},
		replies: map[model.ReplicaID]outlet{}, starts: make(chan *sender, maxTasks),
	}
}

func isReply(t raft.MessageType) bool {
	return t == raft.AppendReply || t == raft.VoteReply || t == raft.PreVoteReply
}

// post hands messages to their senders and never waits. Replies go back over
// the stream that the request came from, if it is still open.
func (s *senders) post(messages []raft.Message, address func(model.ReplicaID) string) {
	for len(messages) > 0 {
		to, reply := messages[0].To, isReply(messages[0].Type)
		n := 1
		for n < len(messages) && messages[n].To == to && isReply(messages[n].Type) == reply {
			n++
		}
		s.hand(to, reply, messages[:n:n], address)
		messages = messages[n:]
	}
}

func (s *senders) hand(to model.ReplicaID, reply bool, messages []raft.Message, address func(model.ReplicaID) string) {
	if out, ok := s.replies[to]; ok && reply {
		select {
		case out <- messages:
		default:
		}
		return
	}
	if at := address(to); at != "" {
		select {
		case s.sender(to).in <- outgoing{at, messages}:
		default:
		}
	}
}

// detach forgets an incoming stream unless a newer one has replaced it.
func (s *senders) detach(d detached) {
	if s.replies[d.peer] == d.out {
		delete(s.replies, d.peer)
	}
}

func (s *senders) sender(to model.ReplicaID) *sender {
	if known, ok := s.byPeer[to]; ok {
		return known
	}
	one := &sender{
		log: s.log.With(zap.String("peer", string(to))), from: s.from, to: to, receive: s.receive,
		client: newHTTPClient(s.dial), in: make(chan outgoing, senderQueue), reachable: true,
	}
	s.byPeer[to] = one
	s.starts <- one
	return one
}

// run starts the senders and returns when ctx has ended and all have stopped.
func (s *senders) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case one := <-s.starts:
			wg.Go(func() { one.run(ctx) })
		}
	}
}

// sender delivers requests to one peer over one stream and takes its replies.
type sender struct {
	log       *zap.Logger
	from, to  model.ReplicaID
	receive   func([]raft.Message)
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
	defer s.drop()
	idle := time.NewTimer(idleAfter)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			s.drop()
			s.client.CloseIdleConnections()
		case out := <-s.in:
			s.deliver(ctx, s.merge(out))
			idle.Reset(idleAfter)
		}
	}
}

// merge adds what else waits for the same address.
func (s *sender) merge(out outgoing) outgoing {
	for {
		select {
		case more := <-s.in:
			if more.address != out.address {
				return more // the old address is not used any more
			}
			out.messages = append(out.messages, more.messages...)
		default:
			return out
		}
	}
}

// deliver sends the messages, on a new stream if the one in use has ended.
// Messages that cannot be sent are dropped.
func (s *sender) deliver(ctx context.Context, out outgoing) {
	if out.address != s.address {
		s.drop()
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
	s.drop()
	s.open(ctx)
	if err := s.stream.Send(&replicav1.ExchangeRequest{Messages: list, From: string(s.from), To: string(s.to)}); err != nil {
		s.drop()
		s.retryAt = time.Now().Add(redialAfter)
		s.report(false, err)
		return
	}
	s.report(true, nil)
}

// open starts a stream and the goroutine that takes its replies.
func (s *sender) open(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	stream := replicav1connect.NewReplicationServiceClient(s.client, "http://"+s.address).Exchange(ctx)
	s.stream = stream
	s.readers.Go(func() { s.read(stream) })
}

func (s *sender) read(stream *connect.BidiStreamForClient[replicav1.ExchangeRequest, replicav1.ExchangeResponse]) {
	for {
		resp, err := stream.Receive()
		if err != nil {
			return // the next delivery finds the stream ended
		}
		messages, err := fromWire(s.to, s.from, resp.Messages)
		if err != nil {
			event.EntryUndecodable.Log(s.log, zap.Error(err))
			continue
		}
		s.receive(messages)
	}
}

// drop ends the stream in use. Ending the context is not enough: the transport
// notices it only after the end of the request body.
func (s *sender) drop() {
	if s.stream != nil {
		s.cancel()
		_ = s.stream.CloseRequest() // an error means that it has ended already
		s.stream = nil
	}
}

func (s *sender) report(reachable bool, err error) {
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
