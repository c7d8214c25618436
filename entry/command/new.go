package command

import (
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/entry"
	"lacewingturn.example/entry/query"
	"lacewingturn.example/node/loop"
)

// Settings of the command half.
type Settings struct {
	ID      model.EntryID
	Control entry.Control
	Log     *zap.Logger
	Metrics *Metrics
	Tracer  trace.Tracer
	Source  *query.Source
	Loop    *loop.Loop
}

// New adds a machine to the loop and returns the gateway to it.
func New(s Settings) (*Machine, *Gateway) {
	p := &pool{}
	m := newMachine(s.ID, s.Log, s.Metrics, s.Source)
	g := &Gateway{
		id: s.ID, log: s.Log, metrics: s.Metrics, tracer: s.Tracer, source: s.Source,
		port: s.Loop.Add(m), pool: p, claims: newClaimer(s.ID, s.Control, s.Metrics),
	}
	return m, g
}
