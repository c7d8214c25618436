// Package instance puts the two halves of an entry instance together.
package instance

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"lacewingturn.example/api/gen/lacewingturn/entry/v1/entryv1connect"
	"lacewingturn.example/core/command/dispatch"
	"lacewingturn.example/core/model"
	"lacewingturn.example/entry"
	"lacewingturn.example/entry/command"
	workercommand "lacewingturn.example/entry/command/worker"
	"lacewingturn.example/entry/query"
	workerquery "lacewingturn.example/entry/query/worker"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
)

// DefaultWithdrawal is how long an instance serves after its readiness is
// withdrawn, so that the load balancer notices before requests are refused.
const DefaultWithdrawal = time.Second

// Settings of an entry instance.
type Settings struct {
	ID      model.EntryID
	Address string // host:port for other processes of the system
	Domain  model.Domain
	Control entry.Control
	// Assignments answers the polls of workers.
	Assignments entry.Assignments
	// Loop owns the control state of the process. It must not run yet.
	Loop       *loop.Loop
	Log        *zap.Logger
	Metrics    prometheus.Registerer
	Tracer     trace.Tracer
	Withdrawal time.Duration // DefaultWithdrawal if 0
	// Policy of the queues; dispatch.Default if empty.
	Policy dispatch.Policy
	// PeerClient and PeerScheme lead to other entry instances; a plain client
	// and http if not set.
	PeerClient *http.Client
	PeerScheme string
	// Record is called by the control loop for each answered request; nil for
	// none. It must not block.
	Record func(entry.TrafficRecord)
}

// Instance is an entry instance.
type Instance struct {
	// Port leads to the machine; the control link posts its messages there.
	Port loop.Port
	// Traffic serves callers, targets, workers and queries.
	Traffic http.Handler
	// PeerPath and Peers serve other entry instances.
	PeerPath string
	Peers    http.Handler
	// Source gives the published view.
	Source *query.Source

	gateway    *command.Gateway
	reports    *workercommand.Handler
	polls      *workerquery.Handler
	log        *zap.Logger
	withdrawal time.Duration
	cancel     context.CancelFunc // ends what Run leaves behind
}

// New checks the settings and builds an instance.
func New(s Settings) (*Instance, error) {
	if s.ID == "" || s.Control == nil || s.Assignments == nil || s.Loop == nil || s.Log == nil || s.Metrics == nil || s.Tracer == nil {
		return nil, errors.New("instance: ID, Control, Assignments, Loop, Log, Metrics and Tracer are needed")
	}
	if s.Withdrawal == 0 {
		s.Withdrawal = DefaultWithdrawal
	}
	if s.PeerClient == nil {
		s.PeerClient = &http.Client{}
	}
	if s.PeerScheme == "" {
		s.PeerScheme = "http"
	}
	source := &query.Source{}
	ctx, cancel := context.WithCancel(context.Background())
	g, peers, err := command.New(ctx, command.Settings{
		ID: s.ID, Control: s.Control, Log: s.Log, Metrics: command.NewMetrics(s.Metrics), Tracer: s.Tracer, Source: source, Loop: s.Loop,
		Policy: s.Policy, PeerClient: s.PeerClient, PeerScheme: s.PeerScheme, Record: s.Record,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	query.Register(router, source)
	g.RegisterTargets(router)
	g.Register(router)
	reports := workercommand.New(workercommand.Settings{Control: s.Control, Log: s.Log, Metrics: s.Metrics, Tracer: s.Tracer})
	reports.Register(router)
	polls := workerquery.New(workerquery.Settings{Source: s.Assignments, Log: s.Log, Metrics: s.Metrics, Tracer: s.Tracer})
	polls.Register(router)
	i := &Instance{Port: g.Port(), Traffic: router, Source: source, gateway: g, reports: reports, polls: polls, log: s.Log, withdrawal: s.Withdrawal, cancel: cancel}
	i.PeerPath, i.Peers = entryv1connect.NewEntryCommandServiceHandler(peers)
	return i, nil
}

// Run does the background work of the instance until ctx ends.
func (i *Instance) Run(ctx context.Context) {
	defer i.cancel()
	go i.reports.Run(ctx)
	i.gateway.Run(ctx)
}

// Stop is a graceful shutdown: readiness is withdrawn first, then new requests
// are refused, and it returns when no request is in flight and every outcome
// is recorded, and no credit that it granted is valid. The caller closes the listeners after that, then ends Run, the
// control link and the loop.
func (i *Instance) Stop(ctx context.Context) error {
	event.EntryDraining.Log(i.log)
	if err := i.gateway.Withdraw(ctx); err != nil {
		return err
	}
	t := time.NewTimer(i.withdrawal)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	i.polls.Stop()
	i.reports.Stop()
	return i.gateway.Drain(ctx)
}
