// Package replicatest provides a replica for tests that applies commands at once, without
// a log and without peers.
package replicatest

import (
	"context"
	"sync"
	"time"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/replica"
)

// Replica implements replica.Replica. It has a quorum until LoseQuorum is called. Like a
// real replica it refuses a command that cannot be decoded from the log.
type Replica struct {
	mu       sync.Mutex // guards all fields; test helpers hold no control state
	view     replica.View
	noQuorum bool
	refuse   func(model.Command) bool
}

// NewLeader returns a replica that leads in the term.
func NewLeader(term model.Term) *Replica {
	r := &Replica{}
	r.Lead(term)
	return r
}

// View implements replica.Replica.
func (r *Replica) View() *replica.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.view
	if !r.noQuorum {
		v.QuorumContact = time.Now()
	}
	return &v
}

// Propose implements replica.Replica. It never fails as a whole.
func (r *Replica) Propose(_ context.Context, commands []model.Envelope) ([]result.Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]result.Result, len(commands))
	for i, env := range commands {
		if _, _, err := codec.EncodeForLog(env); err != nil || r.refuse != nil && r.refuse(env.Command) {
			out[i] = result.New(result.InvalidInput, "the command is invalid: %v", err)
			continue
		}
		env.Time = model.TimestampOf(time.Now())
		r.view.State, out[i] = command.Apply(r.view.State, r.view.State.Index+1, r.view.Term, env)
	}
	return out, nil
}

// Lead makes the replica the leader of a term; a follower if the term is 0.
func (r *Replica) Lead(term model.Term) {
	r.Change(func(v *replica.View) {
		v.Term, v.IsLeader, v.LeaderSince = term, term != 0, time.Now()
		v.State.Term = term // as the first entry of a leader sets it
	})
}

// Change changes the view.
func (r *Replica) Change(change func(*replica.View)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.view)
}

// LoseQuorum ends the contact to the quorum.
func (r *Replica) LoseQuorum() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noQuorum, r.view.QuorumContact = true, time.Now()
}

// Refuse sets which further commands are refused as invalid; nil for none.
func (r *Replica) Refuse(refuse func(model.Command) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = refuse
}
