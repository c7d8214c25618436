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
	// enrollEvery is the time between two attempts to form or join a site.
	enrollEvery = 500 * time.Millisecond
	// enrollTimeout bounds one call of an attempt.
	enrollTimeout = 400 * time.Millisecond
	// askTimeout bounds one request for admission, so that a peer that is gone does
	// not keep the others from being asked.
	askTimeout = 150 * time.Millisecond
	// announceEvery is the time between two announcements of the leader.
	announceEvery = 2 * time.Second
)

func (r *Replica) self() raft.Member {
	return raft.Member{ID: r.id, Address: r.settings.Address, Domain: r.settings.Domain}
}

// enrolled reports whether the membership lists this replica as it is now.
func (r *Replica) enrolled() bool {
	m, ok := r.Status().Members.Get(r.id)
	return ok && m.Address == r.settings.Address && m.Domain == r.settings.Domain
}

// enroll forms a new site with the peers, or asks the leader for admission,
// whenever this replica is not a member under its present address or has heard
// of no leader for a while: it may have been replaced meanwhile.
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
		timer.Reset(enrollEvery)
		if r.enrolled() && r.followed() {
			attempt = 0
			if r.View().IsLeader && time.Since(announced) >= announceEvery {
				announced = time.Now()
				r.announce(ctx, client)
			}
			continue
		}
		if !r.form(ctx, client) {
			r.join(ctx, client)
		}
		if attempt++; attempt%20 == 0 {
			event.ReplicaJoinAttempts.Log(r.log, zap.Int("attempts", attempt))
		}
	}
}

// leaderless is how long a member hears of no leader before it asks for admission.
const leaderless = 2 * time.Second

// followed reports whether this replica leads or has heard of a leader lately.
func (r *Replica) followed() bool {
	v := r.View()
	return v.IsLeader || !v.LeaderContact.IsZero() && time.Since(v.LeaderContact) < leaderless
}

// form writes the first membership if no replica of the site has ever had a
// log. Only the replica whose name is first among the peers does this, so that
// there is one first membership; it reports whether it did. Peers that serve no
// replica do not count. A replica that is no peer is unknown to the one that
// forms the site, and joins it.
func (r *Replica) form(ctx context.Context, client *http.Client) bool {
	if r.settings.JoinOnly || !r.isPeer() || r.Status().Last > 0 {
		return false
	}
	members := raft.Membership{r.self()}
	for _, p := range r.others() {
		info, err := r.identify(ctx, client, p)
		if connect.CodeOf(err) == connect.CodeUnimplemented {
			continue // an instance without a disk serves no replica
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

var errNotEmpty = errors.New("the peer has a log or another name")

// identify asks a peer for its ID. It fails unless the peer is empty, with the
// code Unimplemented if no replica is served there.
func (r *Replica) identify(ctx context.Context, client *http.Client, p Peer) (raft.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, enrollTimeout)
	defer cancel()
	resp, err := replicav1connect.NewReplicationServiceClient(client, "http://"+p.Address).Identify(ctx, connect.NewRequest(&replicav1.IdentifyRequest{}))
	if err != nil {
		return raft.Member{}, err
	}
	m := fromInfo(resp.Msg.GetReplica())
	if !resp.Msg.Empty || raft.Name(m.ID) != p.Name {
		return raft.Member{}, errNotEmpty
	}
	return m, nil
}

// join asks every peer to admit this replica, and the leader that they name.
func (r *Replica) join(ctx context.Context, client *http.Client) {
	ctx, cancel := context.WithTimeout(ctx, enrollTimeout)
	defer cancel()
	asked := map[string]bool{}
	for _, p := range r.others() {
		if leader := r.ask(ctx, client, p.Address, asked); leader != "" {
			r.ask(ctx, client, leader, asked)
		}
	}
}

// ask asks one replica for admission unless it was asked already, and returns
// the leader that it names. A failure is answered by the next attempt.
func (r *Replica) ask(ctx context.Context, client *http.Client, address string, asked map[string]bool) (leader string) {
	if asked[address] || address == r.settings.Address {
		return ""
	}
	asked[address] = true
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req := &replicav1.JoinRequest{Replica: toInfo(r.self())}
	resp, err := replicav1connect.NewReplicationServiceClient(client, "http://"+address).Join(ctx, connect.NewRequest(req))
	if err != nil {
		return ""
	}
	return resp.Msg.LeaderAddress
}

// announce tells the peers that are no members where the leader is. They serve no
// replica and may have lost what they knew, if all instances were started anew.
func (r *Replica) announce(ctx context.Context, client *http.Client) {
	asked := map[string]bool{}
	for _, m := range r.Status().Members {
		asked[m.Address] = true
	}
	for _, p := range r.others() {
		r.ask(ctx, client, p.Address, asked)
	}
}
