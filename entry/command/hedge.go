package command

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"lacewingturn.example/core/result"
)

// errAnsweredElsewhere ends an attempt whose request another target has answered.
var errAnsweredElsewhere = errors.New("entry: another target answered first")

// hedge is a second attempt of an idempotent request on another target. It
// starts when half of the time has passed without an answer, because a silent
// connection or target cannot be told from long work. The first attempt goes
// on, so that long work is not cut, and the first complete answer counts. The
// idle connections to both targets are closed before, because those to several
// targets may have gone silent at once.
type hedge struct {
	g       *Gateway
	call    call
	first   destination // of the first attempt
	ctx     context.Context
	cancel  context.CancelFunc      // ends the second attempt
	end     context.CancelCauseFunc // ends the first attempt
	timer   *time.Timer
	settled atomic.Bool // one of the attempts has given the answer
	done    chan answer // gets the result of the second attempt if it ran
}

// startHedge returns the context of the first attempt, which runs on target.
func (g *Gateway) startHedge(ctx context.Context, c *call, target destination) (context.Context, *hedge) {
	h := &hedge{g: g, call: *c, first: target, done: make(chan answer, 1)}
	h.ctx, h.cancel = context.WithCancel(ctx)
	ctx, h.end = context.WithCancelCause(ctx)
	h.timer = time.AfterFunc(time.Until(c.deadline)/2, h.run)
	return ctx, h
}

// run is the second attempt. It hedges no further.
func (h *hedge) run() {
	h.call.release, h.call.fresh = func() {}, true
	h.g.pool.lane(h.first).transport.CloseIdleConnections()
	a, _, _ := h.g.attempt(h.ctx, &h.call, maxAttempts-1, h.first.id)
	if a.outcome != result.OutcomeDone {
		h.done <- a
		return
	}
	if !h.settled.CompareAndSwap(false, true) {
		a.discard()
		return
	}
	h.end(errAnsweredElsewhere)
	h.done <- a
}

// settle returns the answer that counts, given that of the first attempt. It
// waits for the second attempt only if that runs and the first has failed.
func (h *hedge) settle(a answer, release func()) answer {
	if h.timer.Stop() {
		h.cancel()
		return a
	}
	if a.outcome == result.OutcomeDone && h.settled.CompareAndSwap(false, true) {
		h.cancel()
		return a
	}
	b := <-h.done
	if b.outcome != result.OutcomeDone {
		h.cancel()
		return a
	}
	a.discard()
	if b.stream == nil {
		h.cancel()
		return b
	}
	ended := b.stream.ended
	b.stream.ended = func(err error) {
		ended(err)
		h.cancel()
		release()
	}
	return b
}

// discard drops an answer that is not passed on.
func (a answer) discard() {
	if a.stream != nil {
		_ = a.stream.rest.Close()
		a.stream.ended(nil)
	}
}
