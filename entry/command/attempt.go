package command

import (
	"context"
	"math/rand/v2"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/wait"
)

// maxAttempts bounds the attempts of one request, the first included.
const maxAttempts = 3

// Bounds of the exponential backoff before a retry, without jitter.
const (
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// run sends a request and retries it where that is safe: if the attempt certainly
// did not run, or if its outcome is unknown and the request is idempotent. An
// attempt that got no slot, or that was withdrawn before it had a connection, is not
// retried. A retry takes a token from the retry budget; if there is none, run
// returns the response of the previous attempt.
func (g *Gateway) run(ctx context.Context, c *call) response {
	res, s, avoid := g.attempt(ctx, c, 0, "")
	for n := 1; n < maxAttempts && retriable(c, res, s); n++ {
		if !backoff(ctx, n) {
			return res
		}
		next, nextSample, target := g.attempt(ctx, c, n, avoid)
		if next.result.Code == result.RetryBudget || neverSent(nextSample) && res.outcome == result.OutcomeUnknown {
			return res
		}
		// An earlier attempt that may have run makes the outcome unknown.
		if res.outcome == result.OutcomeUnknown && next.outcome == result.OutcomeNotRun {
			next.outcome = result.OutcomeUnknown
		}
		res, s, avoid = next, nextSample, target
	}
	return res
}

// neverSent reports whether an attempt got no slot, or was withdrawn before it had
// a connection.
func neverSent(s sample) bool { return s.kind == sampleUnsent }

// retriable reports whether another attempt may succeed and cannot run a
// non-idempotent request twice.
func retriable(c *call, res response, s sample) bool {
	switch s.kind {
	case sampleRefused, sampleNoConnection:
		return res.outcome == result.OutcomeNotRun || c.idempotent
	case sampleSilent, sampleTruncated:
		return c.idempotent
	}
	return false
}

// backoff waits before attempt n, with jitter. It reports false if ctx ends first.
func backoff(ctx context.Context, n int) bool {
	d := min(firstBackoff<<(n-1), maxBackoff)
	return wait.Sleep(ctx, d/2+rand.N(d)) == nil
}

// attempt acquires a slot and sends the request once. An idempotent request that
// has no response after half of the time to its deadline is hedged, unless this is
// its last attempt: it is also sent to a second target. The returned target is the
// one to avoid in a retry.
func (g *Gateway) attempt(ctx context.Context, c *call, n int, avoid model.TargetID) (response, sample, model.TargetID) {
	if n > 0 {
		g.metrics.retries.Inc()
	}
	id, d := g.acquire(ctx, c, n > 0, avoid)
	if d.code != result.OK {
		return refusal(result.Result{Code: d.code, Detail: d.detail}, d.retryAfter), sample{kind: sampleUnsent}, avoid
	}
	ctx, span := g.tracer.Start(ctx, "entry.exchange", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("lacewingturn.target", string(d.target.id)), attribute.Int("lacewingturn.attempt", n)))
	if !c.idempotent || n+1 >= maxAttempts {
		res, s := g.exchange(ctx, c, d.target)
		g.endAttempt(id, c, &res, s, func() { span.End() })
		return res, s, d.target.id
	}
	ctx, h := g.startHedge(ctx, c, d.target)
	res, s := g.exchange(ctx, c, d.target)
	g.endAttempt(id, c, &res, s, func() { span.End(); h.end(nil) })
	return h.choose(res, c.release), s, d.target.id
}

// endAttempt releases the slot, immediately or once the response has been streamed.
func (g *Gateway) endAttempt(id uint64, c *call, res *response, s sample, end func()) {
	if res.stream == nil {
		end()
		g.finish(id, s)
		return
	}
	res.stream.ended = func(err error) {
		end()
		if err != nil {
			s.kind = sampleTruncated
		}
		g.finish(id, s)
		c.release()
	}
}
