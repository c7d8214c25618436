// Package loop runs the single goroutine of a process that owns all control state.
// It receives messages from a bounded mailbox and passes each to the state machine
// that it is addressed to. When idle it blocks until the next message or the earliest
// deadline of a state machine.
package loop

import (
	"context"
	"errors"
	"time"

	"lacewingturn.example/core/compare"
)

// DefaultCapacity is the default capacity of a mailbox, in messages.
const DefaultCapacity = 4096

// MaxBatch is the maximum number of messages handled before the state machines
// are flushed, so a steady stream of messages cannot delay their effects indefinitely.
const MaxBatch = 256

// ErrStopped is returned by Send once the loop has ended. The message was not
// handled.
var ErrStopped = errors.New("loop: stopped")

// Message is a message to a state machine, which defines its own message types.
type Message any

// StateMachine owns a part of the control state. Its methods are
// called only from the goroutine of the loop and must not block.
type StateMachine interface {
	// Handle processes one message.
	Handle(now time.Time, m Message)
	// Tick is called once the time returned by Deadline has passed.
	Tick(now time.Time)
	// Deadline returns the time of the next call of Tick; the zero time means never.
	Deadline() time.Time
	// Flush is called after each batch of messages and ticks. It publishes the view
	// of the state and starts the effects that they require.
	Flush(now time.Time)
}

type delivery struct {
	to      StateMachine
	message Message
}

// Loop is the mailbox and the state machines that it serves. All of them must be
// added before Run.
type Loop struct {
	mailbox  chan delivery
	machines []StateMachine
	stopped  chan struct{}
	// observe gets the time of each pass; nil if nobody observes them.
	observe func(time.Duration)
}

// New returns a loop whose mailbox holds up to capacity messages.
func New(capacity int) *Loop {
	return &Loop{mailbox: make(chan delivery, capacity), stopped: make(chan struct{})}
}

// Observe sets a function that gets the time from the arrival of a message or a deadline until all
// that follows from it is done, for which the loop handles nothing else. It must be called before Run.
func (l *Loop) Observe(f func(time.Duration)) { l.observe = f }

// Port sends messages to one state machine. It is safe for concurrent use.
type Port struct {
	loop *Loop
	to   StateMachine
}

// Add registers a state machine and returns the port for messages to it.
func (l *Loop) Add(m StateMachine) Port {
	l.machines = append(l.machines, m)
	return Port{loop: l, to: m}
}

// Send puts a message into the mailbox and waits while the mailbox is full. It is
// meant for completions and operator commands. It returns the error of ctx if that
// ends first, or ErrStopped if the loop has ended.
func (p Port) Send(ctx context.Context, m Message) error {
	if p.loop.hasStopped() {
		return ErrStopped
	}
	select {
	case p.loop.mailbox <- delivery{p.to, m}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-p.loop.stopped:
		return ErrStopped
	}
}

// TrySend puts a message into the mailbox without waiting. It reports false if the
// mailbox is full or the loop has ended. It is meant for caller requests, which are
// refused under overload, and for peer messages, which are resent when lost.
func (p Port) TrySend(m Message) bool {
	if p.loop.hasStopped() {
		return false
	}
	select {
	case p.loop.mailbox <- delivery{p.to, m}:
		return true
	default:
		return false
	}
}

func (l *Loop) hasStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

// Len returns the number of messages in the mailbox.
func (l *Loop) Len() int { return len(l.mailbox) }

// Run handles messages until ctx ends. It must be called only once.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	woken := time.Now()
	for {
		l.flush()
		if l.observe != nil {
			l.observe(time.Since(woken))
		}
		l.setTimer(timer)
		select {
		case <-ctx.Done():
			return
		case d := <-l.mailbox:
			woken = time.Now()
			l.handleBatch(d)
		case <-timer.C:
			woken = time.Now()
		}
		l.tick()
	}
}

// handleBatch handles d and the messages that are already in the mailbox, up to MaxBatch
// messages in total.
func (l *Loop) handleBatch(d delivery) {
	now := time.Now()
	d.to.Handle(now, d.message)
	for range MaxBatch - 1 {
		select {
		case d = <-l.mailbox:
			d.to.Handle(now, d.message)
		default:
			return
		}
	}
}

func (l *Loop) tick() {
	now := time.Now()
	for _, m := range l.machines {
		if at := m.Deadline(); !at.IsZero() && !at.After(now) {
			m.Tick(now)
		}
	}
}

func (l *Loop) flush() {
	now := time.Now()
	for _, m := range l.machines {
		m.Flush(now)
	}
}

// setTimer sets the timer to the earliest deadline of all state machines, or stops it if
// there is none.
func (l *Loop) setTimer(timer *time.Timer) {
	var next time.Time
	for _, m := range l.machines {
		next = compare.EarlierDeadline(next, m.Deadline())
	}
	if next.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(time.Until(next))
}
