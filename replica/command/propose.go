package command

import (
	"context"
	"time"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/replica/raft"
)

// waiter collects the results of one proposal.
type waiter struct {
	first   model.Index
	term    model.Term
	began   time.Time
	results []result.Result
	reply   chan<- []result.Result
}

func (w *waiter) last() model.Index { return w.first + model.Index(len(w.results)) - 1 }

// Propose implements replica.Replica. It waits for the results or until ctx ends.
func (r *Replica) Propose(ctx context.Context, envelopes []model.Envelope) ([]result.Result, error) {
	commands := make([]raft.Command, len(envelopes))
	for i, env := range envelopes {
		env.Time = 0 // stamped by the leader outside of the encoded command
		data, err := codec.EncodeEnvelope(env)
		if err != nil {
			return nil, err
		}
		decoded, err := codec.DecodeEnvelope(data)
		if err != nil {
			return nil, err
		}
		commands[i] = raft.Command{Data: data, Value: decoded}
	}
	return r.propose(ctx, commands), nil
}

func (r *Replica) propose(ctx context.Context, commands []raft.Command) []result.Result {
	if len(commands) == 0 {
		return nil
	}
	reply := make(chan []result.Result, 1)
	return r.await(ctx, len(commands), proposal{commands: commands, reply: reply}, reply)
}

// Change changes the membership by one replica. It returns Conflicting while
// another change is in progress or when the change is not valid.
func (r *Replica) Change(ctx context.Context, change raft.Change) result.Result {
	reply := make(chan []result.Result, 1)
	return r.await(ctx, 1, changeRequest{change: change, reply: reply}, reply)[0]
}

// await posts a request of n commands and waits for its results.
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

// propose appends n entries and notes who waits for them.
func (m *machine) propose(now time.Time, in raft.Input, n int, reply chan<- []result.Result) {
	answer := m.step(now, in)
	if answer.Refusal != raft.Appended {
		reply <- repeat(n, m.refusal(now, answer.Refusal))
		return
	}
	m.waiting = append(m.waiting, &waiter{first: answer.First, term: answer.Term, began: now, results: make([]result.Result, n), reply: reply})
}

func (m *machine) refusal(now time.Time, why raft.Refusal) result.Result {
	st := m.raft.Status(now)
	switch {
	case why == raft.RefusedBusy:
		return result.New(result.Overloaded, "too many commands wait for a quorum")
	case why == raft.RefusedChange:
		return result.New(result.Conflicting, "another membership change is in progress or the change does not apply")
	case st.Failed || st.Halted:
		return result.New(result.NotLeader, "this replica has stopped taking part")
	case st.Leader == "":
		return result.New(result.NoQuorum, "no leader is known in term %d", st.Term)
	}
	return result.New(result.NotLeader, "the leader is %s", st.Leader)
}

// answer hands the result of an applied entry to its waiter. An entry of
// another term at the index of a waiter proves that its own was dropped.
func (m *machine) answer(e raft.Entry, res result.Result) {
	if len(m.waiting) == 0 || e.Index < m.waiting[0].first {
		return
	}
	w := m.waiting[0]
	if e.Term != w.term {
		res = result.New(result.NotLeader, "another leader was elected before the command was replicated")
	}
	w.results[e.Index-w.first] = res
	if e.Index == w.last() {
		m.finished = append(m.finished, w)
		m.waiting = m.waiting[1:]
	}
}

// deliverResults answers who waits. It comes after the view is published, so
// that a proposer that reads the view sees its own change.
func (m *machine) deliverResults(now time.Time) {
	for _, w := range m.finished {
		m.r.settings.Metrics.committed(now.Sub(w.began))
		w.reply <- w.results
	}
	m.finished = nil
}

// abandon answers all waiters that nothing is known.
func (m *machine) abandon() {
	for _, w := range m.waiting {
		w.reply <- repeat(len(w.results), result.New(result.Unknown, "leadership was lost before the command was committed"))
	}
	m.waiting = nil
}
