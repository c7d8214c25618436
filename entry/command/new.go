package command

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"lacewingturn.example/core/command/dispatch"
	"lacewingturn.example/core/model"
	"lacewingturn.example/entry"
	"lacewingturn.example/entry/query"
	"lacewingturn.example/node/loop"
)

// Settings configures the command half.
type Settings struct {
	ID      model.EntryID
	Control entry.Control
	Log     *zap.Logger
	Metrics *Metrics
	Tracer  trace.Tracer
	Source  *query.Source
	Loop    *loop.Loop
	Policy  dispatch.Policy // queue policy; dispatch.Default if empty
	// PeerClient and PeerScheme (http or https) are used for calls to other entry
	// instances.
	PeerClient *http.Client
	PeerScheme string
	// Record is called by the control loop for each request that a target has
	// answered with a status below 500. It may be nil and must not block.
	Record func(entry.TrafficRecord)
}

// New adds a Machine to the loop and returns its gateway and the server for calls
// of other entry instances. When ctx ends, pending calls to other instances and
// health checks are cancelled. New fails if the queue policy is unknown.
func New(ctx context.Context, s Settings) (*Gateway, *PeerServer, error) {
	if s.Policy == "" {
		s.Policy = dispatch.Default
	}
	if !slices.Contains(dispatch.Policies(), s.Policy) {
		return nil, nil, fmt.Errorf("command: unknown queue policy %q; known policies are %v", s.Policy, dispatch.Policies())
	}
	p := &connPool{}
	proposer := newProposer(s.ID, s.Control, s.Metrics, s.Tracer)
	o := &asyncEffects{ctx: ctx, client: s.PeerClient, scheme: s.PeerScheme, pool: p, proposer: proposer}
	o.port = s.Loop.Add(newMachine(s, o))
	g := &Gateway{
		ctx: ctx,
		id:  s.ID, log: s.Log, metrics: s.Metrics, tracer: s.Tracer, source: s.Source,
		port: o.port, pool: p, proposer: proposer,
	}
	return g, &PeerServer{port: o.port, metrics: s.Metrics}, nil
}
