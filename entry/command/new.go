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

// Settings of the command half.
type Settings struct {
	ID      model.EntryID
	Control entry.Control
	Log     *zap.Logger
	Metrics *Metrics
	Tracer  trace.Tracer
	Source  *query.Source
	Loop    *loop.Loop
	Policy  dispatch.Policy // of the queues; dispatch.Default if empty
	// PeerClient and PeerScheme (http or https) lead to other entry instances.
	PeerClient *http.Client
	PeerScheme string
	// Record is called by the control loop for each answered request; nil for
	// none. It must not block.
	Record func(entry.TrafficRecord)
}

// New adds a machine to the loop and returns the gateway to it and the server
// for other entry instances. Effects of the machine end with ctx.
func New(ctx context.Context, s Settings) (*Gateway, *PeerServer, error) {
	if s.Policy == "" {
		s.Policy = dispatch.Default
	}
	if !slices.Contains(dispatch.Policies(), s.Policy) {
		return nil, nil, fmt.Errorf("command: there is no queue policy %q; known are %v", s.Policy, dispatch.Policies())
	}
	p := &pool{}
	claims := newClaimer(s.ID, s.Control, s.Metrics, s.Tracer)
	o := &outside{ctx: ctx, client: s.PeerClient, scheme: s.PeerScheme, pool: p, claims: claims}
	o.port = s.Loop.Add(newMachine(s, o))
	g := &Gateway{
		ctx: ctx,
		id:  s.ID, log: s.Log, metrics: s.Metrics, tracer: s.Tracer, source: s.Source,
		port: o.port, pool: p, claims: claims,
	}
	return g, &PeerServer{port: o.port, metrics: s.Metrics}, nil
}
