package command

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/node/event"
	"lacewingturn.example/replica/raft"
)

const (
	// enrollInterval is the time between two attempts to bootstrap or join a site.
	enrollInterval = 500 * time.Millisecond
	// enrollTimeout is the timeout of one Identify call, and of all Join calls of
	// one attempt together.
	enrollTimeout = 400 * time.Millisecond
	// joinTimeout is the timeout of one admission request. It lets an attempt
	// reach the other peers when one does not respond.
	joinTimeout = 150 * time.Millisecond
	// announceInterval is the time between two announcements of the leader.
	announceInterval = 2 * time.Second
)

func (r *Replica) self() raft.Member {
	return raft.Member{ID: r.id, Address: r.settings.Address, Domain: r.settings.Domain}
}

// enrolled reports whether the membership contains this replica with its current
// ID, address and domain.
func (r *Replica) enrolled() bool {
	m, ok := r.Status().Members.Get(r.id)
	return ok && m.Address == r.settings.Address && m.Domain == r.settings.Domain
}

// enroll bootstraps a new site with the peers or requests admission from the leader.
// It repeats this while this replica is not a member under its current address, or
// has had no contact with a leader for maxLeaderSilence, because another incarnation
// may have replaced it. On the leader, enroll sends the periodic announcements.
func (r *Replica) enroll(ctx context.Context) {
	client := newHTTPClient(r.settings.Dial)
	defer client.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	attempt := 0
	var announced time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(enrollInterval)
		if r.enrolled() && r.hasLeader() {
			attempt = 0
			if r.View().IsLeader && time.Since(announced) >= announceInterval {
				announced = time.Now()
				r.announce(ctx, client)
			}
			continue
		}
		if !r.bootstrapSite(ctx, client) {
			r.join(ctx, client)
		}
		if attempt++; attempt%20 == 0 { // about every 10 s
			event.WaitsForAdmission.Log(r.log, zap.Int("attempts", attempt))
		}
	}
}

// maxLeaderSilence is the time without contact to a leader after which a member
// requests admission again.
const maxLeaderSilence = 2 * time.Second

// hasLeader reports whether this replica is the leader or has had contact with one
// within maxLeaderSilence.
func (r *Replica) hasLeader() bool {
	v := r.View()
	return v.IsLeader || !v.LeaderContact.IsZero() && time.Since(v.LeaderContact) < maxLeaderSilence
}

// bootstrapSite proposes the initial membership if no replica of the site has a
// log, and reports whether it did. Only the replica whose name sorts first among
// the peers does so, which ensures that there is one initial membership. Peers
// that serve no replica are left out. A replica that is not one of the peers is
// unknown to the replica that bootstraps the site and must join instead.
func (r *Replica) bootstrapSite(ctx context.Context, client *http.Client) bool {
	if r.settings.JoinOnly || !r.isPeer() || r.Status().Last > 0 {
		return false
	}
	members := raft.Membership{r.self()}
	for _, p := range r.otherPeers() {
		info, err := r.identify(ctx, client, p)
		if connect.CodeOf(err) == connect.CodeUnimplemented {
			continue // an instance without a disk, which serves no replica
		}
		if err != nil || p.Name < r.settings.Name {
			return false
		}
		members = append(members, info)
	}
	for i := range members {
		members[i].Voter = true
	}
	slices.SortFunc(members, func(a, b raft.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if r.port.Send(ctx, bootstrap{members}) != nil {
		return false
	}
	event.SiteFormed.Log(r.log, zap.Int("replicas", len(members)))
	return true
}

var errUnsuitablePeer = errors.New("peer has a log or another name")

// identify returns the ID, address and domain of a peer whose log is empty. It
// returns errUnsuitablePeer if the peer has a log or another name, and an error with
// the code Unimplemented if the peer serves no replica.
func (r *Replica) identify(ctx context.Context, client *http.Client, p Peer) (raft.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, enrollTimeout)
	defer cancel()
	resp, err := replicav1connect.NewReplicationServiceClient(client, "http://"+p.Address).Identify(ctx, connect.NewRequest(&replicav1.IdentifyRequest{}))
	if err != nil {
		return raft.Member{}, err
	}
	m := fromInfo(resp.Msg.GetReplica())
	if !resp.Msg.Empty || raft.ReplicaName(m.ID) != p.Name {
		return raft.Member{}, errUnsuitablePeer
	}
	return m, nil
}

// join requests admission from every peer and from the leaders that they name.
func (r *Replica) join(ctx context.Context, client *http.Client) {
	ctx, cancel := context.WithTimeout(ctx, enrollTimeout)
	defer cancel()
	contacted := map[string]bool{}
	for _, p := range r.otherPeers() {
		if leader := r.requestAdmission(ctx, client, p.Address, contacted); leader != "" {
			r.requestAdmission(ctx, client, leader, contacted)
		}
	}
}

// requestAdmission requests admission from one replica unless that was done
// already, and returns the address of the leader that it names. A failed request is
// not reported; the next attempt repeats it.
func (r *Replica) requestAdmission(ctx context.Context, client *http.Client, address string, contacted map[string]bool) (leader string) {
	if contacted[address] || address == r.settings.Address {
		return ""
	}
	contacted[address] = true
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	req := &replicav1.JoinRequest{Replica: toInfo(r.self())}
	resp, err := replicav1connect.NewReplicationServiceClient(client, "http://"+address).Join(ctx, connect.NewRequest(req))
	if err != nil {
		return ""
	}
	return resp.Msg.LeaderAddress
}

// announce sends the address of this leader, as a Join request, to the peers that
// are not members. Such peers serve no replica and do not know the leader after a
// restart of all instances.
func (r *Replica) announce(ctx context.Context, client *http.Client) {
	contacted := map[string]bool{}
	for _, m := range r.Status().Members {
		contacted[m.Address] = true
	}
	for _, p := range r.otherPeers() {
		r.requestAdmission(ctx, client, p.Address, contacted)
	}
}
