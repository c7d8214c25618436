package command

import (
	"context"
	"time"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/replica/raft"
)

// pendingProposal collects the results of one proposal.
type pendingProposal struct {
	first      model.Index
	term       model.Term
	proposedAt time.Time
	results    []result.Result
	reply      chan<- []result.Result
}

func (p *pendingProposal) last() model.Index { return p.first + model.Index(len(p.results)) - 1 }

// Propose implements replica.Replica. It blocks until the results are known or ctx
// ends. Every failure is the code of a result and the error is nil: InvalidInput for a
// command that cannot be encoded, which does not hold up the others; NotLeader,
// NoQuorum, Overloaded and Stopping mean that the command has no effect, Unknown that
// it may still be committed.
func (r *Replica) Propose(ctx context.Context, envelopes []model.Envelope) ([]result.Result, error) {
	batch := raftBatch{results: make([]result.Result, len(envelopes))}
	for i, env := range envelopes {
		env.Time = 0 // the leader sets the time on the log entry, outside of the encoded command
		r.bound(&env)
		data, decoded, err := codec.EncodeForLog(env)
		batch.add(i, raft.Command{Data: data, Value: decoded}, err)
	}
	return batch.propose(ctx, r), nil
}

// bound sets the bounds that a leader states in the entry of a command, so that all replicas
// decide alike: the budget of a submission, and that a cancellation is for one queue. It reports
// whether the command has any.
func (r *Replica) bound(env *model.Envelope) bool {
	switch c := env.Command.(type) {
	case model.SubmitWorkload:
		c.Budget = r.settings.WorkloadBudget
		env.Command = c
	case model.CancelWorkload:
		c.InQueue = true
		env.Command = c
	default:
		return false
	}
	return true
}

// raftBatch holds the commands of a batch that can be appended to the log, and the
// results of the others.
type raftBatch struct {
	commands  []raft.Command
	positions []int // of the commands in the batch
	results   []result.Result
}

// add adds the command at a position of the batch. A command with an error gets the
// result InvalidInput and is left out.
func (b *raftBatch) add(position int, c raft.Command, err error) {
	if err != nil {
		b.results[position] = result.New(result.InvalidInput, "%v", err)
		return
	}
	b.commands = append(b.commands, c)
	b.positions = append(b.positions, position)
}

// propose proposes the commands and returns the results of the whole batch.
func (b *raftBatch) propose(ctx context.Context, r *Replica) []result.Result {
	for i, res := range r.propose(ctx, b.commands) {
		b.results[b.positions[i]] = res
	}
	return b.results
}

func (r *Replica) propose(ctx context.Context, commands []raft.Command) []result.Result {
	if len(commands) == 0 {
		return nil
	}
	reply := make(chan []result.Result, 1)
	return r.await(ctx, len(commands), proposal{commands: commands, reply: reply}, reply)
}

// ChangeMembership adds, promotes or removes one replica and blocks until the result
// is known or ctx ends. It returns Conflicting while another change is in progress
// or if the change is invalid.
func (r *Replica) ChangeMembership(ctx context.Context, change raft.ChangeMembership) result.Result {
	reply := make(chan []result.Result, 1)
	return r.await(ctx, 1, changeRequest{change: change, reply: reply}, reply)[0]
}

// await sends a request of n commands to the machine and waits for the results.
func (r *Replica) await(ctx context.Context, n int, request any, reply <-chan []result.Result) []result.Result {
	if err := r.port.Send(ctx, request); err != nil {
		if ctx.Err() != nil {
			return repeat(n, result.New(result.Overloaded, "the mailbox of the control loop stayed full until the deadline"))
		}
		return repeat(n, result.New(result.Stopping, "the replica is stopping"))
	}
	select {
	case results := <-reply:
		return results
	case <-ctx.Done():
		return repeat(n, result.New(result.Unknown, "no result before the deadline: %v", ctx.Err()))
	case <-r.writer.stopped:
		return repeat(n, result.New(result.Unknown, "the replica stopped before the result was known"))
	}
}

func repeat(n int, r result.Result) []result.Result {
	list := make([]result.Result, n)
	for i := range list {
		list[i] = r
	}
	return list
}

// propose appends n entries and registers the proposal that waits for their results.
func (m *machine) propose(now time.Time, in raft.Input, n int, reply chan<- []result.Result) {
	proposed := m.step(now, in)
	if proposed.Refusal != raft.Appended {
		reply <- repeat(n, m.refusal(now, proposed.Refusal))
		return
	}
	m.pending = append(m.pending, &pendingProposal{first: proposed.First, term: proposed.Term, proposedAt: now, results: make([]result.Result, n), reply: reply})
}

func (m *machine) refusal(now time.Time, reason raft.Refusal) result.Result {
	status := m.raft.Status(now)
	switch {
	case reason == raft.RefusedBusy:
		return result.New(result.Overloaded, "too many commands wait for a quorum")
	case reason == raft.RefusedChange:
		return result.New(result.Conflicting, "another membership change is in progress or the requested change is invalid")
	case status.Failed || status.Halted:
		return result.New(result.NotLeader, "this replica is out of operation after a storage failure or a log conflict")
	case status.Leader == "":
		return result.New(result.NoQuorum, "no leader is known in term %d", status.Term)
	}
	return result.New(result.NotLeader, "the leader is %s", status.Leader)
}

// recordResult stores the result of an applied entry in its pending proposal. An
// entry of another term at the index of a proposal proves that the proposed entry
// was discarded. It reports whether the entry is that of a proposal to this replica.
func (m *machine) recordResult(e raft.Entry, res result.Result) bool {
	if len(m.pending) == 0 || e.Index < m.pending[0].first {
		return false
	}
	p := m.pending[0]
	if e.Term != p.term {
		res = result.New(result.NotLeader, "a new leader discarded the log entry of the command; the command has no effect")
	}
	p.results[e.Index-p.first] = res
	if e.Index == p.last() {
		m.completed = append(m.completed, p)
		m.pending = m.pending[1:]
	}
	return e.Term == p.term
}

// deliverResults sends the results of completed proposals. It must be called after
// the view is published, so that a proposer sees its own change in the view.
func (m *machine) deliverResults(now time.Time) {
	for _, p := range m.completed {
		m.r.settings.Metrics.observeCommit(now.Sub(p.proposedAt))
		p.reply <- p.results
	}
	m.completed = nil
}

// failPending completes all pending proposals with the result Unknown.
func (m *machine) failPending() {
	for _, p := range m.pending {
		p.reply <- repeat(len(p.results), result.New(result.Unknown, "this replica lost leadership before the result was known; the command may still be committed"))
	}
	m.pending = nil
}
