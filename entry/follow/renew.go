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

// RenewInterval is the interval between lease renewals. With a lease of 2.5 s, the
// membership survives three lost renewals, or one lost renewal and the longest
// leader failover (1.1 s).
const RenewInterval = 600 * time.Millisecond

// renewTimeout bounds one renewal, so that another replica is tried when one does
// not answer.
const renewTimeout = 300 * time.Millisecond

// membershipTimeout bounds the proposal that adds the membership, and the one that
// removes it at a graceful shutdown.
const membershipTimeout = 2 * time.Second

// renewer is the state of the goroutine that renews the lease.
type renewer struct {
	*Link
	epoch    uint64 // 0 while not a member
	view     query.Traffic
	url      string // base URL of the replica that is assumed to lead
	attempts int    // renewals that failed or found no leader; selects the next replica
}

// renewLoop renews at a fixed interval, and immediately when a new revision of
// the configuration is in force. An instance that is not a member also tries to join
// whenever a view arrives.
func (l *Link) renewLoop(ctx context.Context) {
	r := &renewer{Link: l, url: l.Replicas[0]}
	ticker := time.NewTicker(RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.leave()
			return
		case url := <-l.latestLeader:
			r.setLeader(url)
			continue
		case v := <-l.latestView:
			changed := v.Revision != r.view.Revision
			r.view = v
			if !changed && r.epoch != 0 {
				continue
			}
		case <-ticker.C:
		}
		r.joinOrRenew(ctx)
	}
}

// joinOrRenew joins if the instance is no member, else renews once.
func (r *renewer) joinOrRenew(ctx context.Context) {
	if r.epoch == 0 {
		r.join(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := time.Now()
	client := replicav1connect.NewReplicaCommandServiceClient(r.Client, r.url)
	req := &replicav1.RenewEntryRequest{EntryId: string(r.ID), Epoch: r.epoch, Revision: uint64(r.view.Revision), Index: uint64(r.view.Index)}
	r.addReport(ctx, req)
	resp, err := client.RenewEntry(ctx, connect.NewRequest(req))
	if err != nil {
		r.tryNextReplica()
		return
	}
	r.handleResponse(ctx, sent, resp.Msg)
}

// addReport adds the entry machine's observations of the fleet to a renewal. If
// the mailbox of the machine is full, the renewal is sent without them and still
// extends the membership.
func (r *renewer) addReport(ctx context.Context, req *replicav1.RenewEntryRequest) {
	request := entry.ReportRequest{Reply: make(chan entry.FleetReport, 1)}
	if !r.Port.TrySend(request) {
		return
	}
	select {
	case report := <-request.Reply:
		for _, i := range report.OutOfService {
			req.Reports = append(req.Reports, &replicav1.InstanceReport{
				Instance: string(i.Instance), InFlight: uint32(i.InFlight), Heard: i.HasHeartbeat,
				Running: uint32(i.Running), HeardAgeMs: uint32(i.HeartbeatAge.Milliseconds()),
			})
		}
		for _, id := range report.Silent {
			req.Silent = append(req.Silent, string(id))
		}
	case <-ctx.Done():
	}
}

// handleResponse handles the answer to a renewal. The lease counts from the time
// at which the renewal was sent, so it never ends later here than on the leader.
func (r *renewer) handleResponse(ctx context.Context, sent time.Time, m *replicav1.RenewEntryResponse) {
	switch {
	case m.NotLeader && m.LeaderAddress != "":
		r.setLeader(m.LeaderAddress)
	case m.NotLeader:
		r.tryNextReplica()
	case m.UnknownEntry:
		r.epoch = 0
	case m.ValidMs > 0:
		until := sent.Add(time.Duration(m.ValidMs) * time.Millisecond)
		_ = r.Port.Send(ctx, entry.LeaseRenewed{Until: until, Index: model.Index(m.Index), Epoch: r.epoch})
	}
}

// setLeader sends further renewals to the leader's address; an empty one is ignored.
func (r *renewer) setLeader(address string) {
	if address != "" {
		r.url = "http://" + address
	}
}

// tryNextReplica sends further renewals to the next replica of the settings.
func (r *renewer) tryNextReplica() {
	r.attempts++
	r.url = r.Replicas[r.attempts%len(r.Replicas)]
}

// join proposes this instance as a member and then renews once. The log index at
// which the join was committed is the epoch of the membership.
func (r *renewer) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	results, err := r.Control.Propose(ctx, []model.Envelope{{
		Actor: string(r.ID), Command: model.JoinEntry{ID: r.ID, Address: r.Address, Domain: r.Domain},
	}})
	if err != nil || len(results) != 1 || !results[0].Code.OK() {
		return
	}
	r.epoch = results[0].Revision
	event.EntryJoined.Log(r.Log, zap.String("entry", string(r.ID)), zap.Uint64("epoch", r.epoch))
	r.joinOrRenew(ctx)
}

// leave removes the membership, so that other instances become the owners of its
// targets immediately instead of after the lease has expired.
func (r *renewer) leave() {
	if r.epoch == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), membershipTimeout)
	defer cancel()
	_, _ = r.Control.Propose(ctx, []model.Envelope{{
		Actor: string(r.ID), Command: model.RemoveEntry{ID: r.ID, Epoch: r.epoch},
	}})
}
