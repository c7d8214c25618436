package command

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/entry/query"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
)

// Gateway serves callers and the announcements of targets. Its methods run on
// the goroutines of requests; they read the published view and send messages to
// the Machine.
type Gateway struct {
	ctx      context.Context // ends with the instance
	id       model.EntryID
	log      *zap.Logger
	metrics  *Metrics
	tracer   trace.Tracer
	source   *query.Source
	port     loop.Port
	pool     *connPool
	proposer *proposer
	nextID   atomic.Uint64
}

// Register adds the route for caller requests, /services/{service} and all paths
// below it.
func (g *Gateway) Register(r *mux.Router) {
	r.PathPrefix("/services/{service}").HandlerFunc(g.serveCall)
}

// serveCall handles one request of a caller.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := g.tracer.Start(ctx, "entry.request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	res := g.respond(ctx, r)
	span.SetAttributes(attribute.Int("lacewingturn.result", int(res.result.Code)), attribute.String("lacewingturn.outcome", res.outcome.String()))
	g.metrics.results.WithLabelValues(codeLabel(res.result.Code)).Inc()
	if res.stream != nil && res.stream.length < 0 && !r.ProtoAtLeast(1, 1) {
		res.stream.drop()
		res = refusal(result.New(result.TargetTruncated, "an answer without a length cannot be passed on whole to an HTTP/1.0 caller"), 0)
	}
	if err := res.write(w); errors.Is(err, errAborted) {
		event.AnswerAborted.Log(g.log, zap.String("path", r.URL.Path))
		panic(http.ErrAbortHandler)
	}
}

// respond validates a request, claims its key unless it is idempotent, and runs
// it.
func (g *Gateway) respond(ctx context.Context, r *http.Request) response {
	v := g.source.View()
	if v == nil || v.Traffic.Config == nil {
		return refusal(result.New(result.EntryStale, "no configuration is in force here yet"), overloadRetry)
	}
	c, refused := readCall(v, r, time.Now())
	if !refused.Code.OK() {
		return refusal(refused, 0)
	}
	if !c.idempotent {
		// The request continues if its caller disconnects, so that its outcome can
		// be recorded for a resend.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	c.release = cancel
	var res response
	if c.idempotent {
		res = g.run(ctx, c)
	} else {
		res = g.runAtMostOnce(ctx, v, c)
	}
	if res.stream == nil {
		cancel()
	}
	return res
}

// acquire requests a slot on a target from the Machine. It returns the request
// number, which finish needs, and the decision: a target, or a refusal, also if no
// slot is free before ctx ends.
func (g *Gateway) acquire(ctx context.Context, c *call, retry bool, avoid model.TargetID) (uint64, decision) {
	a := arrival{
		id: g.nextID.Add(1), service: c.service.Name, caller: c.caller, deadline: c.deadline,
		retry: retry, avoid: avoid, reply: make(chan decision, 1),
	}
	if !g.port.TrySend(a) {
		return a.id, decision{code: result.Overloaded, detail: "the mailbox of the control loop is full", retryAfter: overloadRetry}
	}
	select {
	case d := <-a.reply:
		return a.id, d
	case <-ctx.Done():
	}
	if g.port.Send(context.WithoutCancel(ctx), cancellation{a.id}) != nil {
		return a.id, decision{code: result.Stopping, detail: "the instance has stopped"}
	}
	var d decision
	select {
	case d = <-a.reply:
	case <-g.ctx.Done():
		return a.id, decision{code: result.Stopping, detail: "the instance has stopped"}
	}
	switch {
	case d.code == result.OK:
		g.finish(a.id, sample{kind: sampleUnsent})
		fallthrough
	case d.code == result.CallerDisconnected:
		return a.id, decision{code: result.Deadline, detail: "no slot was free before the deadline"}
	}
	return a.id, d
}

// finish releases the slot of a request and reports the outcome of the exchange for
// the health of the target.
func (g *Gateway) finish(id uint64, s sample) {
	_ = g.port.Send(context.Background(), completion{id: id, sample: s})
}

// Port returns the mailbox of the Machine, to which the control link posts leases
// and traffic views.
func (g *Gateway) Port() loop.Port { return g.port }
