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

// Bounds of the exchange with other entry instances.
const (
	peerTimeout   = credit.ReportTimeout
	handoverTries = 5
	handoverPause = 200 * time.Millisecond
)

// outside carries out the effects of the machine. Each runs on a goroutine of
// its own; there is at most one report for each owner, and the others are few.
type outside struct {
	ctx    context.Context // ends with the instance
	port   loop.Port
	client *http.Client
	scheme string
	pool   *pool
	claims *claimer
}

func (o *outside) peer(address string) entryv1connect.EntryCommandServiceClient {
	return entryv1connect.NewEntryCommandServiceClient(o.client, o.scheme+"://"+address)
}

func (o *outside) report(address string, r credit.Report) {
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, peerTimeout)
		defer cancel()
		resp, err := o.peer(address).SyncCredits(ctx, connect.NewRequest(encodeReport(r)))
		done := reportAnswered{report: r}
		if err == nil && !resp.Msg.Refused {
			done.grants, done.ok = decodeGrants(resp.Msg), true
		}
		_ = o.port.Send(o.ctx, done)
	}()
}

// handOver repeats a handover until it was of use, because without it the next
// owner waits for the lease of this instance to end.
func (o *outside) handOver(address string, list []credit.Handover) {
	go func() {
		for range handoverTries {
			ctx, cancel := context.WithTimeout(o.ctx, peerTimeout)
			resp, err := o.peer(address).HandOver(ctx, connect.NewRequest(encodeHandovers(list)))
			cancel()
			if err == nil && int(resp.Msg.Accepted) == len(list) {
				return
			}
			if wait.For(o.ctx, handoverPause) != nil {
				return
			}
		}
	}()
}

func (o *outside) forward(address string, list []credit.Heartbeat) {
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, peerTimeout)
		defer cancel()
		_, _ = o.peer(address).ForwardAnnouncements(ctx, connect.NewRequest(encodeHeartbeats(list)))
	}()
}

func (o *outside) check(d destination) {
	go func() {
		answered := o.pool.check(o.ctx, d)
		_ = o.port.Send(o.ctx, checked{target: d, answered: answered})
	}()
}

func (o *outside) replace(d destination) { o.pool.replace(d) }

func (o *outside) allow(d destination, slots int) { o.pool.allow(d, slots) }

func (o *outside) retain(targets map[model.TargetID]destination, members int) {
	o.pool.retain(targets, members)
}

// propose hands a command to the claimer without waiting; the machine repeats
// what was lost.
func (o *outside) propose(c model.Command) {
	go o.claims.submit(&claimTask{commands: []model.Command{c}, until: time.Now().Add(announceTimeout)})
}

// PeerServer serves the other entry instances.
type PeerServer struct {
	port    loop.Port
	metrics *Metrics
}

var errFull = connect.NewError(connect.CodeResourceExhausted, errMailboxFull)

// SyncCredits implements entryv1connect.EntryCommandServiceHandler.
func (p *PeerServer) SyncCredits(ctx context.Context, req *connect.Request[entryv1.SyncCreditsRequest]) (*connect.Response[entryv1.SyncCreditsResponse], error) {
	reply := make(chan peerAnswer, 1)
	if !p.send(peerReport{decodeReport(req.Msg), reply}) {
		return nil, errFull
	}
	select {
	case a := <-reply:
		return connect.NewResponse(encodeGrants(a)), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// HandOver implements entryv1connect.EntryCommandServiceHandler.
func (p *PeerServer) HandOver(ctx context.Context, req *connect.Request[entryv1.HandOverRequest]) (*connect.Response[entryv1.HandOverResponse], error) {
	reply := make(chan int, 1)
	if !p.send(peerHandover{decodeHandovers(req.Msg), reply}) {
		return nil, errFull
	}
	select {
	case n := <-reply:
		return connect.NewResponse(&entryv1.HandOverResponse{Accepted: uint32(n)}), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ForwardAnnouncements implements entryv1connect.EntryCommandServiceHandler.
func (p *PeerServer) ForwardAnnouncements(_ context.Context, req *connect.Request[entryv1.ForwardAnnouncementsRequest]) (*connect.Response[entryv1.ForwardAnnouncementsResponse], error) {
	for _, b := range req.Msg.Heartbeats {
		key := credit.Key{Target: model.TargetID(b.Target), Generation: b.Generation}
		if !p.send(heartbeat{Heartbeat: credit.Heartbeat{Key: key, Sequence: b.Sequence, Running: slotsByMember(b.Running)}, forwarded: true}) {
			return nil, errFull
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
