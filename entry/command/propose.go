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

// Limits of proposals.
const (
	maxProposeBatch = 256
	proposeQueue    = 4096
	proposeTimeout  = time.Second
	proposeBackoff  = 50 * time.Millisecond
	// claimTimeout is how long a request waits for its claim to be committed. It is
	// longer than a failover, which takes 2 s.
	claimTimeout = 3 * time.Second
	// settleBatchDelay is how long a batch of outcomes only waits for a claim to be
	// proposed with it, so that the next claim does not queue behind the proposal of
	// these outcomes. It is longer than a commit on a slow disk.
	settleBatchDelay = 25 * time.Millisecond
	// settleTimeout is how long the proposal of an outcome is retried.
	settleTimeout = time.Minute
)

// proposeTask is one or two commands that are proposed together and retried
// until their result is certain or the time until has passed.
type proposeTask struct {
	commands       []model.Command
	until          time.Time
	maybeCommitted bool // an earlier proposal may have been committed
	reply          chan proposeReply
	span           trace.SpanContext // of the request; not valid for an outcome
	ended          func()            // called once the task has ended; may be nil
}

// proposeReply holds the result of the last command of a task. If certain is
// false, the commands may have been committed.
type proposeReply struct {
	result  result.Result
	certain bool
}

// proposer proposes claims, their outcomes and announcements of targets in
// batches. A single goroutine runs it, so that each entry instance has at most
// one proposal in flight.
type proposer struct {
	actor   string
	control entry.Control
	metrics *Metrics
	tracer  trace.Tracer
	tasks   chan *proposeTask
	done    chan struct{}
}

func newProposer(id model.EntryID, c entry.Control, m *Metrics, t trace.Tracer) *proposer {
	return &proposer{actor: string(id), control: c, metrics: m, tracer: t, tasks: make(chan *proposeTask, proposeQueue), done: make(chan struct{})}
}

// submit queues a task. It blocks while the queue is full; the number of blocked
// goroutines is bounded by the requests in flight.
func (c *proposer) submit(t *proposeTask) {
	select {
	case c.tasks <- t:
	case <-c.done:
		c.refuse([]*proposeTask{t})
	}
}

func (c *proposer) end(t *proposeTask, r proposeReply) {
	if t.reply != nil {
		t.reply <- r
	}
	if t.ended != nil {
		t.ended()
	}
}

// run proposes the queued tasks until ctx ends.
func (c *proposer) run(ctx context.Context) {
	defer c.refuseRemaining()
	defer close(c.done)
	var again []*proposeTask
	for {
		batch, ok := c.collect(ctx, again)
		if !ok {
			c.refuse(batch)
			return
		}
		again = c.propose(ctx, batch)
		if len(again) > 0 && wait.Sleep(ctx, proposeBackoff) != nil {
			c.refuse(again)
			return
		}
	}
}

// collect returns the next batch. It adds queued tasks to those that are to be
// retried, and waits for a task if there are none.
func (c *proposer) collect(ctx context.Context, batch []*proposeTask) ([]*proposeTask, bool) {
	if len(batch) == 0 {
		select {
		case t := <-c.tasks:
			batch = append(batch, t)
		case <-ctx.Done():
			return nil, false
		}
	}
	return c.waitForClaim(ctx, c.gather(batch)), true
}

// gather adds the tasks that are already queued, without waiting.
func (c *proposer) gather(batch []*proposeTask) []*proposeTask {
	for len(batch) < maxProposeBatch {
		select {
		case t := <-c.tasks:
			batch = append(batch, t)
		default:
			return batch
		}
	}
	return batch
}

// waitForClaim delays a batch whose results no goroutine waits for until a task
// with a reply joins it or settleBatchDelay has passed.
func (c *proposer) waitForClaim(ctx context.Context, batch []*proposeTask) []*proposeTask {
	timer := time.NewTimer(settleBatchDelay)
	defer timer.Stop()
	for len(batch) < maxProposeBatch && !slices.ContainsFunc(batch, func(t *proposeTask) bool { return t.reply != nil }) {
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

// propose sends a batch and returns the tasks to retry.
func (c *proposer) propose(ctx context.Context, batch []*proposeTask) []*proposeTask {
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
	var again []*proposeTask
	next := 0
	for _, t := range batch {
		next += len(t.commands)
		r := result.New(result.Unknown, "the answer to the proposal was lost")
		if err == nil && next <= len(results) {
			r = results[next-1]
		}
		if !c.tryEnd(now, t, r) {
			again = append(again, t)
		}
	}
	return again
}

// startSpan starts a span in the trace of the first request of the batch and
// links it to the other requests.
func (c *proposer) startSpan(ctx context.Context, batch []*proposeTask) (context.Context, trace.Span) {
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

// tryEnd ends a task if its result is certain or its time is up. It reports
// whether the task has ended; if not, the task is retried.
func (c *proposer) tryEnd(now time.Time, t *proposeTask, r result.Result) bool {
	switch r.Code {
	case result.Unknown:
		t.maybeCommitted = true
	case result.NotLeader, result.NoQuorum, result.Overloaded, result.Stopping, result.Deadline, result.StorageFail:
		t.maybeCommitted = t.maybeCommitted || r.Code == result.StorageFail
	default:
		c.metrics.claims.WithLabelValues(codeLabel(r.Code)).Inc()
		c.end(t, proposeReply{result: r, certain: true})
		return true
	}
	if now.Before(t.until) {
		return false
	}
	c.metrics.claims.WithLabelValues(codeLabel(r.Code)).Inc()
	c.end(t, proposeReply{result: r, certain: !t.maybeCommitted})
	return true
}

// refuseRemaining refuses the tasks that are still queued when run returns.
func (c *proposer) refuseRemaining() {
	for {
		select {
		case t := <-c.tasks:
			c.refuse([]*proposeTask{t})
		default:
			return
		}
	}
}

// await waits for the reply to a submitted task.
func (c *proposer) await(t *proposeTask) proposeReply {
	select {
	case r := <-t.reply:
		return r
	case <-c.done:
		return proposeReply{result: result.New(result.Stopping, "the instance has stopped")}
	}
}

// refuse ends tasks without proposing them, because the instance is stopping.
func (c *proposer) refuse(batch []*proposeTask) {
	for _, t := range batch {
		c.end(t, proposeReply{result: result.New(result.Stopping, "the instance has stopped"), certain: !t.maybeCommitted})
	}
}
