package client

import (
	"context"
	"slices"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/replica"
)

// Forwarder commits commands on the local replica while that is the leader, and
// otherwise through the leader, so that callers may connect to any replica.
type Forwarder struct {
	local  replica.Replica
	remote *Client
}

// NewForwarder returns a forwarder. The local replica is that of this process; the
// remote client sends commands to the leader while that is another replica.
func NewForwarder(local replica.Replica, remote *Client) *Forwarder { return &Forwarder{local, remote} }

// NoRecentLeader reports whether the local replica has lost contact with the
// leader.
func (f *Forwarder) NoRecentLeader() bool { return f.local.View().NoRecentLeader(time.Now()) }

// Propose commits the commands in order. Results and errors have the meaning that
// Client.Propose gives them: NoQuorum means that nothing was appended.
func (f *Forwarder) Propose(ctx context.Context, commands []model.Envelope) ([]result.Result, error) {
	if !f.local.View().IsLeader {
		return f.forward(ctx, commands)
	}
	results, err := f.proposeLocally(ctx, commands)
	switch {
	case err != nil || !slices.ContainsFunc(results, isUnsettled):
		return results, err
	case !slices.ContainsFunc(results, isUnknown):
		return f.forward(ctx, commands)
	case slices.ContainsFunc(commands, func(env model.Envelope) bool { return !Repeatable(env) }):
		return results, nil
	}
	forwarded, err := f.forward(ctx, commands)
	if err != nil || slices.ContainsFunc(forwarded, isUnsettled) {
		return results, nil // the local replica may have appended the commands
	}
	return withoutOpenRefusals(commands, forwarded), nil
}

// proposeLocally proposes to the local replica for at most half of the remaining
// time, which leaves time for another leader if this one has lost its quorum.
func (f *Forwarder) proposeLocally(ctx context.Context, commands []model.Envelope) ([]result.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTime(ctx))
	defer cancel()
	return f.local.Propose(ctx, commands)
}

// forward commits through the leader that the local replica follows.
func (f *Forwarder) forward(ctx context.Context, commands []model.Envelope) ([]result.Result, error) {
	view := f.local.View()
	var members []string
	for _, m := range view.State.Replicas.All() {
		members = append(members, m.Address)
	}
	f.remote.setMembers(members)
	if view.LeaderAddress != "" {
		f.remote.leader.Store(&view.LeaderAddress)
	}
	return f.remote.Propose(ctx, commands)
}

func isUnknown(r result.Result) bool { return r.Code == result.Unknown }

// isUnsettled reports whether another replica may return a definite result.
func isUnsettled(r result.Result) bool {
	return isUnknown(r) || r.Code == result.NotLeader || r.Code == result.NoQuorum
}
