package command

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	entryv1 "lacewingturn.example/api/gen/lacewingturn/entry/v1"
	"lacewingturn.example/api/gen/lacewingturn/entry/v1/entryv1connect"
	"lacewingturn.example/core/command/credit"
	"lacewingturn.example/core/model"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/node/wait"
)

// Limits of calls to other entry instances.
const (
	peerTimeout           = credit.ReportTimeout
	handoverAttempts      = 5
	handoverRetryInterval = 200 * time.Millisecond
)

// asyncEffects implements effects. Each call over the network runs on its own
// goroutine; at most one report to each owner is in flight, and the other calls
// are few.
type asyncEffects struct {
	ctx      context.Context // cancelled when the instance stops
	port     loop.Port
	client   *http.Client
	scheme   string
	pool     *connPool
	proposer *proposer
}

func (o *asyncEffects) peer(address string) entryv1connect.EntryCommandServiceClient {
	return entryv1connect.NewEntryCommandServiceClient(o.client, o.scheme+"://"+address)
}

func (o *asyncEffects) report(address string, r credit.Report) {
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, peerTimeout)
		defer cancel()
		resp, err := o.peer(address).SyncCredits(ctx, connect.NewRequest(encodeReport(r)))
		done := reportReply{report: r}
		if err == nil && !resp.Msg.Refused {
			done.grants, done.ok = decodeGrants(resp.Msg), true
		}
		_ = o.port.Send(o.ctx, done)
	}()
}

// handOver retries a handover until the next owner has accepted all of it, up to
// handoverAttempts times. Without a handover the next owner waits for the lease of
// this instance to end.
func (o *asyncEffects) handOver(address string, list []credit.Handover) {
	go func() {
		for range handoverAttempts {
			ctx, cancel := context.WithTimeout(o.ctx, peerTimeout)
			resp, err := o.peer(address).HandOver(ctx, connect.NewRequest(encodeHandovers(list)))
			cancel()
			if err == nil && int(resp.Msg.Accepted) == len(list) {
				return
			}
			if wait.Sleep(o.ctx, handoverRetryInterval) != nil {
				return
			}
		}
	}()
}

func (o *asyncEffects) forward(address string, list []credit.Heartbeat) {
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, peerTimeout)
		defer cancel()
		_, _ = o.peer(address).ForwardAnnouncements(ctx, connect.NewRequest(encodeHeartbeats(list)))
	}()
}

func (o *asyncEffects) check(d destination) {
	go func() {
		responded := o.pool.check(o.ctx, d)
		_ = o.port.Send(o.ctx, checkResult{target: d, responded: responded})
	}()
}

func (o *asyncEffects) replaceConnections(d destination) { o.pool.replaceConnections(d) }

func (o *asyncEffects) limitConnections(d destination, slots int) { o.pool.limitConnections(d, slots) }

func (o *asyncEffects) retain(targets map[model.TargetID]destination, members int) {
	o.pool.retain(targets, members)
}

// propose submits a command without waiting for its result. The Machine proposes
// the command again if it was not committed.
func (o *asyncEffects) propose(c model.Command) {
	go o.proposer.submit(&proposeTask{commands: []model.Command{c}, until: time.Now().Add(announceTimeout)})
}

// PeerServer handles the calls of other entry instances. It passes them to the
// Machine and answers CodeResourceExhausted if the mailbox is full.
type PeerServer struct {
	port    loop.Port
	metrics *Metrics
}

var errPeerMailboxFull = connect.NewError(connect.CodeResourceExhausted, errMailboxFull)

// SyncCredits implements entryv1connect.EntryCommandServiceHandler: it applies the
// report of a holder and returns the grants.
func (p *PeerServer) SyncCredits(ctx context.Context, req *connect.Request[entryv1.SyncCreditsRequest]) (*connect.Response[entryv1.SyncCreditsResponse], error) {
	reply := make(chan peerReply, 1)
	if !p.send(peerReport{decodeReport(req.Msg), reply}) {
		return nil, errPeerMailboxFull
	}
	select {
	case a := <-reply:
		return connect.NewResponse(encodeGrants(a)), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// HandOver implements entryv1connect.EntryCommandServiceHandler: it applies the
// handovers of a previous owner and returns how many were accepted.
func (p *PeerServer) HandOver(ctx context.Context, req *connect.Request[entryv1.HandOverRequest]) (*connect.Response[entryv1.HandOverResponse], error) {
	reply := make(chan int, 1)
	if !p.send(peerHandover{decodeHandovers(req.Msg), reply}) {
		return nil, errPeerMailboxFull
	}
	select {
	case n := <-reply:
		return connect.NewResponse(&entryv1.HandOverResponse{Accepted: uint32(n)}), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ForwardAnnouncements implements entryv1connect.EntryCommandServiceHandler: it
// accepts heartbeats that another entry instance has received for targets that this
// one owns.
func (p *PeerServer) ForwardAnnouncements(_ context.Context, req *connect.Request[entryv1.ForwardAnnouncementsRequest]) (*connect.Response[entryv1.ForwardAnnouncementsResponse], error) {
	for _, b := range req.Msg.Heartbeats {
		key := credit.TargetIncarnation{Target: model.TargetID(b.Target), Generation: b.Generation}
		if !p.send(heartbeat{Heartbeat: credit.Heartbeat{Key: key, Sequence: b.Sequence, Running: slotsByMember(b.Running)}, forwarded: true}) {
			return nil, errPeerMailboxFull
		}
	}
	return connect.NewResponse(&entryv1.ForwardAnnouncementsResponse{}), nil
}

func (p *PeerServer) send(m loop.Message) bool {
	if p.port.TrySend(m) {
		return true
	}
	p.metrics.dropped.Inc()
	return false
}
