package client

import (
	"context"
	"slices"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/replica"
)

// Forwarder commits commands on the replica of this process while it leads, and
// through the leader otherwise, so that a caller is served by whichever replica
// it has reached.
type Forwarder struct {
	local  replica.Replica
	remote *Client
}

// NewForwarder returns a forwarder of the replica of this process.
func NewForwarder(local replica.Replica, remote *Client) *Forwarder { return &Forwarder{local, remote} }

// LeaderLost reports whether the replica of this process has lost the leader.
func (f *Forwarder) LeaderLost() bool { return f.local.View().LeaderLost(time.Now()) }

// Propose implements the command half of replica.Replica with the results of
// Client.Propose: NoQuorum means that nothing was appended.
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
	again, err := f.forward(ctx, commands)
	if err != nil || slices.ContainsFunc(again, isUnsettled) {
		return results, nil // they may have been appended here
	}
	return again, nil
}

// proposeLocally leaves time for another leader, in case this one was cut off.
func (f *Forwarder) proposeLocally(ctx context.Context, commands []model.Envelope) ([]result.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTime(ctx))
	defer cancel()
	return f.local.Propose(ctx, commands)
}

// forward commits through the leader that the replica of this process follows.
func (f *Forwarder) forward(ctx context.Context, commands []model.Envelope) ([]result.Result, error) {
	view := f.local.View()
	var members []string
	for _, m := range view.State.Replicas.All() {
		members = append(members, m.Address)
	}
	f.remote.learn(members)
	if view.LeaderAddress != "" {
		f.remote.leader.Store(&view.LeaderAddress)
	}
	return f.remote.Propose(ctx, commands)
}

func isUnknown(r result.Result) bool { return r.Code == result.Unknown }

// isUnsettled reports whether another replica may give a better answer.
func isUnsettled(r result.Result) bool {
	return isUnknown(r) || r.Code == result.NotLeader || r.Code == result.NoQuorum
}
