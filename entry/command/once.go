package command

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/entry"
	"lacewingturn.example/entry/query"
)

// runAtMostOnce runs a non-idempotent request at most once: it is sent only after
// a claim for its key has been committed, and its outcome is recorded afterwards.
func (g *Gateway) runAtMostOnce(ctx context.Context, v *query.View, c *call) response {
	if time.Since(v.Contact) > entry.StaleAfter || v.Epoch == 0 {
		return refusal(result.New(result.EntryStale, "no contact to the control state for more than %s, or this instance has not joined yet", entry.StaleAfter), overloadRetry)
	}
	if d := g.admit(c); d.code != result.OK {
		return refusal(result.Result{Code: d.code, Detail: d.detail}, d.retryAfter)
	}
	request := model.ClaimRequest{
		Key: c.key, Caller: c.caller, Fingerprint: c.fingerprint(), Entry: g.id, EntryEpoch: v.Epoch, Attempt: rand.Text(),
	}
	r, settling := g.claimOrWait(ctx, c, request)
	if r.Code != result.Accepted {
		if !settling {
			g.closeClaim()
		}
		return claimResponse(r)
	}
	res := g.run(ctx, c)
	g.settle(request, res)
	return res
}

// claimOrWait claims the key. While another request with the same key is running,
// it retries with backoff until the deadline, so that a resend that arrives before
// the first outcome is recorded still gets that outcome.
func (g *Gateway) claimOrWait(ctx context.Context, c *call, request model.ClaimRequest) (r result.Result, settling bool) {
	ctx, span := g.tracer.Start(ctx, "entry.claim")
	defer span.End()
	r, settling = g.claim(ctx, c, request)
	for n := 1; r.Code == result.KeyInProgress && backoff(ctx, n); n++ {
		r, settling = g.claim(ctx, c, request)
	}
	return r, settling
}

// admit asks the Machine whether the request would be queued.
func (g *Gateway) admit(c *call) decision {
	reply := make(chan decision, 1)
	if !g.port.TrySend(admission{service: c.service.Name, caller: c.caller, reply: reply}) {
		return decision{code: result.Overloaded, detail: errMailboxFull.Error(), retryAfter: overloadRetry}
	}
	select {
	case d := <-reply:
		return d
	case <-g.ctx.Done():
		return decision{code: result.Stopping, detail: "the instance has stopped"}
	}
}

// closeClaim ends the admission of a request, so that a drain does not wait for it.
func (g *Gateway) closeClaim() { _ = g.port.Send(context.Background(), claimClosed{}) }

// claim proposes the claim until its result is certain or claimTimeout or the
// deadline has passed. If the result is still uncertain then, the request is not
// sent, and the claim is settled as not run in case it was committed: a claim and
// its settlement under the same attempt are proposed together, so that a delayed
// copy of the claim finds the attempt settled. The second result reports whether
// this settlement is pending; its end closes the admission.
func (g *Gateway) claim(ctx context.Context, c *call, request model.ClaimRequest) (result.Result, bool) {
	until := time.Now().Add(claimTimeout)
	if c.deadline.Before(until) {
		until = c.deadline
	}
	t := &proposeTask{commands: []model.Command{request}, until: until, span: trace.SpanContextFromContext(ctx), reply: make(chan proposeReply, 1)}
	g.proposer.submit(t)
	reply := g.proposer.await(t)
	if reply.certain {
		return reply.result, false
	}
	g.proposer.submit(&proposeTask{
		commands: []model.Command{request, settlement(request, model.ClaimNotRun)}, until: time.Now().Add(settleTimeout), maybeCommitted: true,
		ended: g.closeClaim,
	})
	return result.New(result.NoQuorum, "the claim could not be committed; nothing was sent"), true
}

// claimResponse returns the response to a request whose claim was not granted: the
// recorded outcome of the first request, or a refusal.
func claimResponse(r result.Result) response {
	if r.Code != result.Recorded {
		retry := time.Duration(0)
		switch r.Code {
		case result.NoQuorum, result.NotLeader, result.Overloaded, result.KeyInProgress, result.EntryStale:
			retry = overloadRetry
		}
		return refusal(r, retry)
	}
	if r.BodyOmitted {
		return refusal(result.New(result.AnswerNotKept, "the request was done with status %d; its answer was too long to be recorded", r.Status), 0)
	}
	h := http.Header{}
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	return response{result: result.Result{Code: result.Recorded}, outcome: result.OutcomeDone, status: r.Status, header: h, body: r.Body}
}

// settlement returns the command that settles the claim with the given phase.
func settlement(r model.ClaimRequest, phase model.ClaimPhase) model.SettleClaim {
	return model.SettleClaim{Key: r.Key, Caller: r.Caller, Attempt: r.Attempt, Phase: phase}
}

// settle proposes the outcome of a request in the background. The caller does not
// wait for the commit: until then a resend gets "in progress", or "unknown" if
// this instance has failed.
func (g *Gateway) settle(request model.ClaimRequest, res response) {
	s := settlement(request, model.ClaimLost)
	switch res.outcome {
	case result.OutcomeNotRun:
		s.Phase = model.ClaimNotRun
	case result.OutcomeDone:
		s.Phase, s.Status = model.ClaimDone, res.status
		if t := res.header.Get("Content-Type"); model.ValidName(t) {
			s.ContentType = t
		}
		s.Body, s.BodyOmitted = res.body, res.stream != nil
		if s.BodyOmitted || len(s.Body) > model.MaxRecordedBody {
			s.Body, s.BodyOmitted = nil, true
		}
	}
	g.proposer.submit(&proposeTask{commands: []model.Command{s}, until: time.Now().Add(settleTimeout), ended: g.closeClaim})
}
