package command

import (
	"context"
	"slices"
	"time"

	"go.opentelemetry.io/otel/trace"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/entry"
	"lacewingturn.example/node/wait"
)

// Limits of claims.
const (
	maxClaimBatch  = 256
	claimQueue     = 4096
	proposeTimeout = time.Second
	proposeBackoff = 50 * time.Millisecond
	// claimPatience is how long a request waits for a leader; it outlives a failover of 2 s.
	claimPatience = 3 * time.Second
	// settleLinger is how long outcomes alone wait for a claim to be proposed
	// with, so that the next claim does not wait behind their proposal. It exceeds
	// a commit on a slow disk.
	settleLinger = 25 * time.Millisecond
	// settleKeep is how long an outcome that could not be recorded is proposed again.
	settleKeep = time.Minute
)

// claimTask is one or two commands that are proposed together until their
// result is certain or until the task ends.
type claimTask struct {
	commands []model.Command
	until    time.Time
	maybe    bool // an earlier proposal may have been committed
	reply    chan claimReply
	span     trace.SpanContext // of the request; not valid for an outcome
	ended    func()            // called when the task has ended; may be nil
}

// claimReply is the result of the last command. If certain is false, the
// commands may have been committed.
type claimReply struct {
	result  result.Result
	certain bool
}

// claimer proposes claims and their outcomes in batches. One goroutine runs it,
// so that one proposal is in flight for each entry instance.
type claimer struct {
	actor   string
	control entry.Control
	metrics *Metrics
	tracer  trace.Tracer
	tasks   chan *claimTask
	done    chan struct{}
}

func newClaimer(id model.EntryID, c entry.Control, m *Metrics, t trace.Tracer) *claimer {
	return &claimer{actor: string(id), control: c, metrics: m, tracer: t, tasks: make(chan *claimTask, claimQueue), done: make(chan struct{})}
}

// submit hands a task to the claimer. It waits if the queue is full; the number
// of senders is bounded by the requests in flight.
func (c *claimer) submit(t *claimTask) {
	select {
	case c.tasks <- t:
	case <-c.done:
		c.refuse([]*claimTask{t})
	}
}

func (c *claimer) end(t *claimTask, r claimReply) {
	if t.reply != nil {
		t.reply <- r
	}
	if t.ended != nil {
		t.ended()
	}
}

// run proposes until ctx ends.
func (c *claimer) run(ctx context.Context) {
	defer c.refuseRest()
	defer close(c.done)
	var again []*claimTask
	for {
		batch, ok := c.collect(ctx, again)
		if !ok {
			c.refuse(batch)
			return
		}
		again = c.propose(ctx, batch)
		if len(again) > 0 && wait.For(ctx, proposeBackoff) != nil {
			c.refuse(again)
			return
		}
	}
}

// collect waits for the next task unless some are left over.
func (c *claimer) collect(ctx context.Context, batch []*claimTask) ([]*claimTask, bool) {
	if len(batch) == 0 {
		select {
		case t := <-c.tasks:
			batch = append(batch, t)
		case <-ctx.Done():
			return nil, false
		}
	}
	return c.linger(ctx, c.gather(batch)), true
}

// gather adds what is waiting.
func (c *claimer) gather(batch []*claimTask) []*claimTask {
	for len(batch) < maxClaimBatch {
		select {
		case t := <-c.tasks:
			batch = append(batch, t)
		default:
			return batch
		}
	}
	return batch
}

// linger holds back a batch that nobody waits for until somebody does.
func (c *claimer) linger(ctx context.Context, batch []*claimTask) []*claimTask {
	timer := time.NewTimer(settleLinger)
	defer timer.Stop()
	for len(batch) < maxClaimBatch && !slices.ContainsFunc(batch, func(t *claimTask) bool { return t.reply != nil }) {
		select {
		case t := <-c.tasks:
			batch = c.gather(append(batch, t))
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// propose sends a batch and returns the tasks to be proposed again.
func (c *claimer) propose(ctx context.Context, batch []*claimTask) []*claimTask {
	var envelopes []model.Envelope
	for _, t := range batch {
		for _, cmd := range t.commands {
			envelopes = append(envelopes, model.Envelope{Actor: c.actor, Command: cmd})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	ctx, span := c.startSpan(ctx, batch)
	results, err := c.control.Propose(ctx, envelopes)
	span.End()
	cancel()
	now := time.Now()
	var again []*claimTask
	next := 0
	for _, t := range batch {
		next += len(t.commands)
		r := result.New(result.Unknown, "the answer to the claim was lost")
		if err == nil && next <= len(results) {
			r = results[next-1]
		}
		if !c.settled(now, t, r) {
			again = append(again, t)
		}
	}
	return again
}

// startSpan starts a span in the trace of the first request of the batch, with
// links to the others.
func (c *claimer) startSpan(ctx context.Context, batch []*claimTask) (context.Context, trace.Span) {
	var links []trace.Link
	for _, t := range batch {
		if t.span.IsValid() {
			links = append(links, trace.Link{SpanContext: t.span})
		}
	}
	if len(links) == 0 {
		return ctx, trace.SpanFromContext(ctx)
	}
	ctx = trace.ContextWithSpanContext(ctx, links[0].SpanContext)
	return c.tracer.Start(ctx, "entry.propose", trace.WithSpanKind(trace.SpanKindClient), trace.WithLinks(links[1:]...))
}

// settled reports whether a task has ended and answers it if so.
func (c *claimer) settled(now time.Time, t *claimTask, r result.Result) bool {
	switch r.Code {
	case result.Unknown:
		t.maybe = true
	case result.NotLeader, result.NoQuorum, result.Overloaded, result.Stopping, result.Deadline, result.StorageFail:
		t.maybe = t.maybe || r.Code == result.StorageFail
	default:
		c.metrics.claims.WithLabelValues(codeLabel(r.Code)).Inc()
		c.end(t, claimReply{result: r, certain: true})
		return true
	}
	if now.Before(t.until) {
		return false
	}
	c.metrics.claims.WithLabelValues(codeLabel(r.Code)).Inc()
	c.end(t, claimReply{result: r, certain: !t.maybe})
	return true
}

// refuseRest ends the tasks that nobody will propose.
func (c *claimer) refuseRest() {
	for {
		select {
		case t := <-c.tasks:
			c.refuse([]*claimTask{t})
		default:
			return
		}
	}
}

// await returns the reply to a task that has one.
func (c *claimer) await(t *claimTask) claimReply {
	select {
	case r := <-t.reply:
		return r
	case <-c.done:
		return claimReply{result: result.New(result.Stopping, "the instance has stopped")}
	}
}

// refuse ends tasks at the end of the process.
func (c *claimer) refuse(batch []*claimTask) {
	for _, t := range batch {
		c.end(t, claimReply{result: result.New(result.Stopping, "the instance has stopped"), certain: !t.maybe})
	}
}
