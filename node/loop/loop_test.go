package loop

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// recorder is a state machine that records the calls of its methods.
type recorder struct {
	handled  []Message
	ticks    atomic.Int32
	flushes  atomic.Int32
	deadline time.Time
}

func (r *recorder) Handle(_ time.Time, m Message) { r.handled = append(r.handled, m) }
func (r *recorder) Tick(time.Time)                { r.ticks.Add(1); r.deadline = time.Time{} }
func (r *recorder) Deadline() time.Time           { return r.deadline }
func (r *recorder) Flush(time.Time)               { r.flushes.Add(1) }

// Guards against messages handled out of order, and against a loop that wakes up
// without a message or deadline, for example because a timer was not stopped.
func TestLoopSleepsUntilMessageOrDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(8)
		r := &recorder{deadline: time.Now().Add(time.Second)}
		port := l.Add(r)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		assert.Assert(t, port.TrySend(1))
		assert.NilError(t, port.Send(ctx, 2))
		synctest.Wait()
		assert.DeepEqual(t, r.handled, []Message{1, 2})
		assert.Equal(t, r.ticks.Load(), int32(0))
		time.Sleep(time.Hour)
		synctest.Wait()
		assert.Equal(t, r.ticks.Load(), int32(1))
		assert.Assert(t, r.flushes.Load() <= 6, "flushes: %d", r.flushes.Load())
		cancel()
		synctest.Wait()
		assert.ErrorIs(t, port.Send(t.Context(), 3), ErrStopped)
	})
}

// Guards against a full mailbox that blocks a caller's request (TrySend must not
// wait) or loses a completion (Send must wait).
func TestFullMailbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(1)
		r := &recorder{}
		port := l.Add(r)
		assert.Assert(t, port.TrySend(1))
		assert.Assert(t, !port.TrySend(2))
		sent := make(chan error, 1)
		go func() { sent <- port.Send(t.Context(), 3) }()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go l.Run(ctx)
		assert.NilError(t, <-sent)
		synctest.Wait()
		assert.DeepEqual(t, r.handled, []Message{1, 3})
		cancel()
		synctest.Wait()
	})
}
