// Package instance assembles an entry instance from its command and query handlers.
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

// DefaultShutdownDelay is how long an instance still serves requests after it has
// reported that it is not ready, so that the load balancer stops sending
// requests before the instance refuses them.
const DefaultShutdownDelay = time.Second

// Settings configures an entry instance.
type Settings struct {
	ID      model.EntryID
	Address string // host:port at which other processes reach this instance
	Domain  model.Domain
	Control entry.Control
	// Assignments returns the jobs assigned to a worker, for the polls of workers.
	Assignments entry.Assignments
	// Loop owns the control state of the process. It must not run before New
	// has returned.
	Loop          *loop.Loop
	Log           *zap.Logger
	Metrics       prometheus.Registerer
	Tracer        trace.Tracer
	ShutdownDelay time.Duration // replaces DefaultShutdownDelay unless 0
	// Policy orders the request queues; dispatch.Default if empty.
	Policy dispatch.Policy
	// PeerClient and PeerScheme are used for calls to other entry instances;
	// an http.Client without options and "http" if not set.
	PeerClient *http.Client
	PeerScheme string
	// Record is called by the control loop for each request that a target has
	// answered with a status below 500. It may be nil and must not block.
	Record func(entry.TrafficRecord)
}

// Instance is an entry instance without its listeners and its control link,
// which the caller of New provides.
type Instance struct {
	// Port is the mailbox of the entry machine, for the messages of the control link.
	Port loop.Port
	// Traffic serves the HTTP requests of callers, targets and workers, and queries.
	Traffic http.Handler
	// PeerHandler serves other entry instances and must be mounted at PeerPath.
	PeerPath    string
	PeerHandler http.Handler
	// Source returns the view that the entry machine published last.
	Source *query.Source

	gateway       *command.Gateway
	reports       *workercommand.Handler
	polls         *workerquery.Handler
	log           *zap.Logger
	shutdownDelay time.Duration
	cancel        context.CancelFunc // ends background work that may outlast the context of Run
}

// New returns an instance whose background work starts with Run. It fails if a
// required setting is missing or the queue policy is unknown.
func New(s Settings) (*Instance, error) {
	if s.ID == "" || s.Control == nil || s.Assignments == nil || s.Loop == nil || s.Log == nil || s.Metrics == nil || s.Tracer == nil {
		return nil, errors.New("instance: ID, Control, Assignments, Loop, Log, Metrics and Tracer are required")
	}
	if s.ShutdownDelay == 0 {
		s.ShutdownDelay = DefaultShutdownDelay
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
	i := &Instance{Port: g.Port(), Traffic: router, Source: source, gateway: g, reports: reports, polls: polls, log: s.Log, shutdownDelay: s.ShutdownDelay, cancel: cancel}
	i.PeerPath, i.PeerHandler = entryv1connect.NewEntryCommandServiceHandler(peers)
	return i, nil
}

// Run does the background work of the instance until ctx ends. For a
// graceful shutdown, call Stop before.
func (i *Instance) Run(ctx context.Context) {
	defer i.cancel()
	go i.reports.Run(ctx)
	i.gateway.Run(ctx)
}

// Stop shuts the instance down gracefully: it first withdraws readiness, then
// refuses new requests. It returns nil when no request is queued or in flight, every
// outcome is recorded and no credit that the instance granted is still valid, or the
// error of ctx if that ends first. After that, the caller closes the listeners and
// then ends Run, the control link and the loop.
func (i *Instance) Stop(ctx context.Context) error {
	event.EntryDraining.Log(i.log)
	if err := i.gateway.WithdrawReadiness(ctx); err != nil {
		return err
	}
	t := time.NewTimer(i.shutdownDelay)
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
