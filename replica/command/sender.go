package command

import (
	"context"
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
	// pingAfter and pingTimeout replace a connection that has gone silent: with
	// 300 ms each, this happens before a follower misses its election timeout
	// of at least 500 ms twice.
	pingAfter   = 300 * time.Millisecond
	pingTimeout = 300 * time.Millisecond
	// senderQueue is the number of batches that wait for a slow peer; more are
	// dropped, and the protocol sends them again.
	senderQueue = 64
)

// outgoing is a batch of messages to one peer.
type outgoing struct {
	address  string
	messages []raft.Message
}

// senders owns one goroutine for each peer. post is called by the machine only.
type senders struct {
	log    *zap.Logger
	from   model.ReplicaID
	dial   dialFunc
	byPeer map[model.ReplicaID]*sender
	starts chan *sender
}

func newSenders(log *zap.Logger, from model.ReplicaID, dial dialFunc) *senders {
	return &senders{log: log, from: from, dial: dial, byPeer: map[model.ReplicaID]*sender{}, starts: make(chan *sender, maxTasks)}
}

// post hands messages to the senders of their receivers and never waits.
func (s *senders) post(messages []raft.Message, address func(model.ReplicaID) string) {
	for len(messages) > 0 {
		n := 1
		for n < len(messages) && messages[n].To == messages[0].To {
			n++
		}
		to := messages[0].To
		if at := address(to); at != "" {
			select {
			case s.sender(to).in <- outgoing{at, messages[:n:n]}:
			default:
			}
		}
		messages = messages[n:]
	}
}

func (s *senders) sender(to model.ReplicaID) *sender {
	if known, ok := s.byPeer[to]; ok {
		return known
	}
	one := &sender{
		log: s.log.With(zap.String("peer", string(to))), from: s.from,
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

// sender delivers messages to one peer over one stream.
type sender struct {
	log       *zap.Logger
	from      model.ReplicaID
	client    *http.Client
	in        chan outgoing
	address   string
	stream    *connect.ClientStreamForClient[replicav1.ExchangeRequest, replicav1.ExchangeResponse]
	cancel    context.CancelFunc
	retryAt   time.Time
	reachable bool
}

func (s *sender) run(ctx context.Context) {
	defer s.client.CloseIdleConnections()
	defer s.drop()
	for {
		select {
		case <-ctx.Done():
			return
		case out := <-s.in:
			s.deliver(ctx, s.merge(out))
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
	req, err := toWire(s.from, out.messages)
	if err != nil {
		event.EntryUndecodable.Log(s.log, zap.Error(err))
		return
	}
	if s.stream != nil && s.stream.Send(req) == nil {
		return
	}
	s.drop()
	s.open(ctx)
	if err := s.stream.Send(req); err != nil {
		s.drop()
		s.retryAt = time.Now().Add(redialAfter)
		s.report(false, err)
		return
	}
	s.report(true, nil)
}

func (s *sender) open(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.stream = replicav1connect.NewReplicationServiceClient(s.client, "http://"+s.address).Exchange(ctx)
}

// drop ends the stream in use.
func (s *sender) drop() {
	if s.stream != nil {
		s.cancel()
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
	event.PeerUnreachable.Log(s.log, zap.String("address", s.address), zap.Error(err))
}
