// Package loop runs the one goroutine of a process that owns all control
// state. It waits on a bounded mailbox, hands one message at a time to the
// machine it is addressed to, and sleeps until the next message or the
// earliest deadline of a machine.
package loop

import (
	"context"
	"errors"
	"time"

	"lacewingturn.example/core/compare"
)

// DefaultCapacity is the number of messages that a mailbox holds.
const DefaultCapacity = 4096

// MaxBatch is the number of messages handled before the machines are flushed,
// so that a steady stream of messages cannot delay effects without limit.
const MaxBatch = 256

// ErrStopped is returned to senders once the loop has ended.
var ErrStopped = errors.New("loop: stopped")

// Message is a typed message of one machine.
type Message any

// Machine is a part of the control state. Its methods are called only from the
// goroutine of the loop and must not block.
type Machine interface {
	// Handle applies one message.
	Handle(now time.Time, m Message)
	// Tick is called when the deadline has passed.
	Tick(now time.Time)
	// Deadline returns when Tick is needed next; the zero time means never.
	Deadline() time.Time
	// Flush is called after a batch of messages: it publishes the view and
	// starts the effects that the batch has caused.
	Flush(now time.Time)
}

type delivery struct {
	to      Machine
	message Message
}

// Loop owns the mailbox. Machines are added before Run.
type Loop struct {
	mailbox  chan delivery
	machines []Machine
	stopped  chan struct{}
}

// New returns a loop whose mailbox holds capacity messages.
func New(capacity int) *Loop {
	return &Loop{mailbox: make(chan delivery, capacity), stopped: make(chan struct{})}
}

// Port addresses messages to one machine.
type Port struct {
	loop *Loop
	to   Machine
}

// Add registers a machine and returns the port to it.
func (l *Loop) Add(m Machine) Port {
	l.machines = append(l.machines, m)
	return Port{loop: l, to: m}
}

// Send waits until the mailbox takes the message or ctx ends. It is for
// completions and operator commands.
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

// TrySend reports whether the mailbox took the message. It never waits; it is
// for caller requests and for peer messages that are sent again when lost.
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

// Len returns the number of waiting messages.
func (l *Loop) Len() int { return len(l.mailbox) }

// Run handles messages until ctx ends. It is called once.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.flush()
		l.arm(timer)
		select {
		case <-ctx.Done():
			return
		case d := <-l.mailbox:
			l.drain(d)
		case <-timer.C:
		}
		l.tick()
	}
}

// drain handles d and what else is waiting, up to MaxBatch messages.
func (l *Loop) drain(d delivery) {
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

// arm sets the timer to the earliest deadline.
func (l *Loop) arm(timer *time.Timer) {
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
