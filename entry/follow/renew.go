package follow

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/entry"
	"lacewingturn.example/node/event"
)

// RenewEvery is the time between renewals. The lease of 2.5 s outlives three lost
// renewals, or one and the longest failover measured (1.1 s).
const RenewEvery = 600 * time.Millisecond

// renewTimeout bounds one renewal, so that a silent replica is left for another.
const renewTimeout = 300 * time.Millisecond

// leaveTimeout bounds the removal of the membership at a graceful shutdown.
const leaveTimeout = 2 * time.Second

// renewer is the state of the renewing goroutine.
type renewer struct {
	*Link
	epoch uint64 // 0 while not a member
	known query.Traffic
	url   string // replica believed to lead
	tried int
}

// renewLoop renews at a fixed pace, and at once when a new revision is in force.
func (l *Link) renewLoop(ctx context.Context) {
	r := &renewer{Link: l, url: l.Replicas[0]}
	ticker := time.NewTicker(RenewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.leave()
			return
		case url := <-l.leader:
			r.lead(url)
			continue
		case v := <-l.inForce:
			changed := v.Revision != r.known.Revision
			r.known = v
			if !changed && r.epoch != 0 {
				continue
			}
		case <-ticker.C:
		}
		r.step(ctx)
	}
}

// step joins or renews once.
func (r *renewer) step(ctx context.Context) {
	if r.epoch == 0 {
		r.join(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := time.Now()
	client := replicav1connect.NewReplicaCommandServiceClient(r.Client, r.url)
	req := &replicav1.RenewEntryRequest{EntryId: string(r.ID), Epoch: r.epoch, Revision: uint64(r.known.Revision), Index: uint64(r.known.Index)}
	r.addReport(ctx, req)
	resp, err := client.RenewEntry(ctx, connect.NewRequest(req))
	if err != nil {
		r.tryAnother()
		return
	}
	r.take(ctx, sent, resp.Msg)
}

// addReport asks the entry machine what it sees of the fleet. A renewal without
// it is as good for the membership.
func (r *renewer) addReport(ctx context.Context, req *replicav1.RenewEntryRequest) {
	ask := entry.ReportRequest{Reply: make(chan entry.FleetReport, 1)}
	if !r.Port.TrySend(ask) {
		return
	}
	select {
	case report := <-ask.Reply:
		for _, i := range report.OutOfService {
			req.Reports = append(req.Reports, &replicav1.InstanceReport{
				Instance: string(i.Instance), InFlight: uint32(i.InFlight), Heard: i.Heard,
				Running: uint32(i.Running), HeardAgeMs: uint32(i.HeardAge.Milliseconds()),
			})
		}
		for _, id := range report.Silent {
			req.Silent = append(req.Silent, string(id))
		}
	case <-ctx.Done():
	}
}

func (r *renewer) take(ctx context.Context, sent time.Time, m *replicav1.RenewEntryResponse) {
	switch {
	case m.NotLeader && m.LeaderAddress != "":
		r.lead(m.LeaderAddress)
	case m.NotLeader:
		r.tryAnother()
	case m.UnknownEntry:
		r.epoch = 0
	case m.ValidMs > 0:
		until := sent.Add(time.Duration(m.ValidMs) * time.Millisecond)
		_ = r.Port.Send(ctx, entry.LeaseRenewed{Until: until, Index: model.Index(m.Index), Epoch: r.epoch})
	}
}

func (r *renewer) lead(address string) {
	if address != "" {
		r.url = "http://" + address
	}
}

func (r *renewer) tryAnother() {
	r.tried++
	r.url = r.Replicas[r.tried%len(r.Replicas)]
}

// join makes this instance a member; the log index of the join is its epoch.
func (r *renewer) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	results, err := r.Control.Propose(ctx, []model.Envelope{{
		Actor: string(r.ID), Command: model.JoinEntry{ID: r.ID, Address: r.Address, Domain: r.Domain},
	}})
	if err != nil || len(results) != 1 || !results[0].Code.OK() {
		return
	}
	r.epoch = results[0].Revision
	event.EntryJoined.Log(r.Log, zap.String("entry", string(r.ID)), zap.Uint64("epoch", r.epoch))
	r.step(ctx)
}

// leave gives up the membership so that the targets get a new owner at once.
func (r *renewer) leave() {
	if r.epoch == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_, _ = r.Control.Propose(ctx, []model.Envelope{{
		Actor: string(r.ID), Command: model.RemoveEntry{ID: r.ID, Epoch: r.epoch},
	}})
}
