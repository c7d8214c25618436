package command

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"lacewingturn.example/core/result"
)

// errHedgeWon cancels the first attempt after the second one has got a response.
var errHedgeWon = errors.New("entry: another target answered first")

// hedge is a second attempt of an idempotent request on another target. It
// starts when half of the time to the deadline has passed without a response,
// because a silent connection or target cannot be distinguished from a
// long-running request. The first attempt continues, so that a long-running
// request is not cut off, and the first complete response is used. Before the second
// attempt is sent, the idle connections to both targets are closed, because
// connections to several targets may have gone silent at once.
type hedge struct {
	g       *Gateway
	call    call
	first   destination // of the first attempt
	ctx     context.Context
	cancel  context.CancelFunc      // cancels the second attempt
	end     context.CancelCauseFunc // cancels the first attempt
	timer   *time.Timer
	decided atomic.Bool   // one of the attempts has provided the response
	done    chan response // receives the result of the second attempt if it ran
}

// startHedge schedules the second attempt and returns the context of the first,
// which runs on target.
func (g *Gateway) startHedge(ctx context.Context, c *call, target destination) (context.Context, *hedge) {
	h := &hedge{g: g, call: *c, first: target, done: make(chan response, 1)}
	h.ctx, h.cancel = context.WithCancel(ctx)
	ctx, h.end = context.WithCancelCause(ctx)
	h.timer = time.AfterFunc(time.Until(c.deadline)/2, h.run)
	return ctx, h
}

// run makes the second attempt, which is not hedged itself.
func (h *hedge) run() {
	h.call.release, h.call.newConnection = func() {}, true
	h.g.pool.forTarget(h.first).transport.CloseIdleConnections()
	res, _, _ := h.g.attempt(h.ctx, &h.call, maxAttempts-1, h.first.id)
	if res.outcome != result.OutcomeDone {
		h.done <- res
		return
	}
	if !h.decided.CompareAndSwap(false, true) {
		res.discard()
		return
	}
	h.end(errHedgeWon)
	h.done <- res
}

// choose returns the response to use, given the response res of the first attempt.
// It waits for the second attempt only if that has started and the first one has
// failed or came second.
func (h *hedge) choose(res response, release func()) response {
	if h.timer.Stop() {
		h.cancel()
		return res
	}
	if res.outcome == result.OutcomeDone && h.decided.CompareAndSwap(false, true) {
		h.cancel()
		return res
	}
	second := <-h.done
	if second.outcome != result.OutcomeDone {
		h.cancel()
		return res
	}
	res.discard()
	if second.stream == nil {
		h.cancel()
		return second
	}
	ended := second.stream.ended
	second.stream.ended = func(err error) {
		ended(err)
		h.cancel()
		release()
	}
	return second
}

// discard closes a response that is not used.
func (res response) discard() {
	if res.stream != nil {
		_ = res.stream.rest.Close()
		res.stream.ended(nil)
	}
}
