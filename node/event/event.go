// Package event defines the numbered log events. Every log line carries the number
// of its event, which operators can look up in docs/events.md.
package event

import (
	"fmt"
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a kind of log line. Its number is stable and never reused.
type Event struct {
	Number  int
	Name    string
	Level   zapcore.Level
	Meaning string
	// Action says what the operator should do; empty if nothing.
	Action string
}

var events []Event

func define(number int, name string, level zapcore.Level, meaning, action string) Event {
	for _, e := range events {
		if e.Number == number || e.Name == name {
			panic(fmt.Sprintf("event: %d %s defined twice", number, name))
		}
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning, Action: action}
	events = append(events, e)
	return e
}

// All returns all events, ordered by number.
func All() []Event {
	out := slices.Clone(events)
	slices.SortFunc(out, func(a, b Event) int { return a.Number - b.Number })
	return out
}

// Log writes a line with the event's number and the given fields. It writes nothing
// if the logger's level excludes the event.
func (e Event) Log(l *zap.Logger, fields ...zap.Field) {
	if ce := l.Check(e.Level, e.Name); ce != nil {
		ce.Write(append([]zap.Field{zap.Int("event", e.Number)}, fields...)...)
	}
}
