package instance

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	entryinstance "lacewingturn.example/entry/instance"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/node/server"
	"lacewingturn.example/node/server/admission"
	"lacewingturn.example/node/telemetry"
	replicacommand "lacewingturn.example/replica/command"
	"lacewingturn.example/replica/liveness"
)

// Process is one instance, assembled by New or NewOnPlatform.
type Process struct {
	app      *fx.App
	lifetime *lifetime
	servers  *servers
	settings Settings

	// Replica and Liveness are set only for the control role on an instance that
	// holds a replica, Entry only for the entry role outside of the platform.
	Replica  *replicacommand.Replica
	Liveness *liveness.Machine
	Entry    *entryinstance.Instance
}

// lifetime is the context of the process. It is cancelled when the process stops,
// after the requests in flight have ended.
type lifetime struct {
	context.Context
	cancel context.CancelFunc
}

// servers holds the listeners of the process, so that Kill can close all of them.
type servers struct {
	list    []*server.Server
	guard   *server.Guard
	counter *server.ByteCounter // of the internal listener
}

// New assembles a process with the roles in the settings. Log lines go to w. It
// returns an error if the settings are unusable, for example if an address is
// already in use.
func New(s Settings, w io.Writer) (*Process, error) {
	p := &Process{settings: s}
	options := []fx.Option{
		fx.Supply(s, fx.Annotate(w, fx.As(new(io.Writer)))),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.DrainTimeout),
		processModule,
		fx.Populate(&p.lifetime, &p.servers),
	}
	if s.Has(RoleControl) {
		options = append(options, controlModule, fx.Populate(&p.Replica, &p.Liveness))
	}
	if s.Has(RoleEntry) {
		options = append(options, entryModule, fx.Populate(&p.Entry))
	}
	options = append(options, fx.Invoke(runLoop), fx.Invoke(logStartAndStop))
	p.app = fx.New(options...)
	return p, trace.Wrap(p.app.Err())
}

// Start starts the listeners and the roles. If a role fails to start, it stops the
// others and returns the error.
func (p *Process) Start(ctx context.Context) error { return trace.Wrap(p.app.Start(ctx)) }

// ShutdownRequested receives a signal when a role requests the shutdown of the process.
func (p *Process) ShutdownRequested() <-chan fx.ShutdownSignal { return p.app.Wait() }

// Stop shuts the process down gracefully: it returns when no request is in flight,
// or with an error when ctx ends first.
func (p *Process) Stop(ctx context.Context) error { return trace.Wrap(p.app.Stop(ctx)) }

// Kill ends the process without draining, as SIGKILL does. Unlike with SIGKILL,
// files stay open until the goroutine that uses them has ended.
func (p *Process) Kill(ctx context.Context) {
	for _, s := range p.servers.list {
		s.Close()
	}
	p.lifetime.cancel()
	_ = p.app.Stop(ctx)
}

// Settings returns the settings that the process was assembled from.
func (p *Process) Settings() Settings { return p.settings }

var processModule = fx.Module("process",
	fx.Provide(newLifetime, newLogger, newTracing, telemetry.NewRegistry, newLoop, newInternalMux, newDialer, newControlClient, asControl, server.NewByteCounter, newGuard, newServers),
	fx.Provide(func(r *prometheus.Registry) prometheus.Registerer { return r }),
	fx.Provide(func(r *prometheus.Registry) metricsHandler {
		return metricsHandler{promhttp.HandlerFor(r, promhttp.HandlerOpts{})}
	}),
	fx.Provide(func(d server.DialFunc, t telemetry.Tracing) *http.Client {
		return server.TraceClient(server.NewClient(d), t.Provider)
	}),
)

// metricsHandler serves GET /metrics.
type metricsHandler struct{ http.Handler }

// internalMux routes the requests of other processes of the system.
type internalMux struct{ *http.ServeMux }

func newInternalMux() internalMux { return internalMux{http.NewServeMux()} }

func newLifetime() *lifetime {
	ctx, cancel := context.WithCancel(context.Background())
	return &lifetime{Context: ctx, cancel: cancel}
}

func newServers(g *server.Guard, c *server.ByteCounter) *servers {
	return &servers{guard: g, counter: c}
}

func newLoop(r prometheus.Registerer) *loop.Loop {
	passes := telemetry.NewDurationHistogram("lacewingturn_control_pass_seconds", "Time of one pass of the control loop, which handles nothing else meanwhile.")
	r.MustRegister(passes)
	l := loop.New(loop.DefaultCapacity)
	l.Observe(func(d time.Duration) { passes.Observe(d.Seconds()) })
	return l
}

func newDialer(s Settings, counter *server.ByteCounter) (server.DialFunc, error) {
	config, err := s.InternalTLS.Config()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return counter.Dialer(server.Dialer(config)), nil
}

func newLogger(s Settings, w io.Writer) (*zap.Logger, error) {
	log, err := telemetry.NewLogger(s.Log, w)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return log.With(zap.String("instance", s.Name)), nil
}

func newTracing(lc fx.Lifecycle, l *lifetime, s Settings) (telemetry.Tracing, error) {
	t, err := telemetry.NewTracing(l, s.TraceEndpoint, s.Name)
	if err == nil {
		lc.Append(fx.Hook{OnStop: t.Shutdown})
	}
	return t, trace.Wrap(err)
}

// runLoop starts the control loop after every state machine has been added: its start
// hook is appended after those of the roles, so it runs last. It has no stop hook,
// because the roles need the loop while they stop; the loop ends with the lifetime
// of the process.
func runLoop(lc fx.Lifecycle, l *lifetime, control *loop.Loop) {
	lc.Append(fx.StartHook(func() { go control.Run(l) }))
}

func logStartAndStop(lc fx.Lifecycle, s Settings, log *zap.Logger) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			event.ProcessStarted.Log(log, zap.Any("roles", s.Roles), zap.String("internal", s.InternalAddress), zap.String("public", s.PublicAddress))
			return nil
		},
		OnStop: func(context.Context) error {
			event.ProcessStopping.Log(log)
			return nil
		},
	})
}

// internalStopTimeout is how long a stop waits for calls from other processes.
// Streams between processes do not end by themselves and are closed after it.
const internalStopTimeout = 500 * time.Millisecond

// newGuard returns the guard of all listeners of the process.
func newGuard(s Settings, r prometheus.Registerer, log *zap.Logger) *server.Guard {
	return server.NewGuard(server.NewBudget(s.MemoryLimit, s.MaxDescriptors), r, log)
}

// listener says how the listener of a role is served.
type listener struct {
	tls server.TLSFiles
	// http1Only turns HTTP/2 off.
	http1Only bool
	// limits may be nil for the defaults.
	limits *admission.Listener
}

// essential returns the default limits for a listener that others than callers use, which
// gets connections also while callers use up theirs.
func essential() *admission.Listener {
	return &admission.Listener{Limits: server.DefaultLimits(), Essential: true}
}

// serveInternal serves other processes of the system. Its stop waits at most
// internalStopTimeout for the calls in flight.
func serveInternal(lc fx.Lifecycle, all *servers, s Settings, mux internalMux, tracing telemetry.Tracing) error {
	config, err := s.InternalTLS.Config()
	if err != nil {
		return trace.Wrap(err)
	}
	l, err := server.ListenWith(cmp.Or(s.InternalListen, s.InternalAddress), server.TraceHandler(mux, tracing.Provider),
		server.Options{TLS: config, Counter: all.counter, Guard: all.guard, Limits: essential()})
	if err != nil {
		return trace.Wrap(err)
	}
	all.serve(lc, l, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, internalStopTimeout)
		defer cancel()
		return l.Stop(ctx)
	})
	return nil
}

// servePublic serves callers, targets or operators. Its stop waits for the
// requests in flight.
func servePublic(lc fx.Lifecycle, all *servers, address string, handler http.Handler, how listener) error {
	config, err := how.tls.Config()
	if err != nil {
		return trace.Wrap(err)
	}
	l, err := server.ListenWith(address, handler, server.Options{TLS: config, Guard: all.guard, Limits: how.limits, HTTP1Only: how.http1Only})
	if err != nil {
		return trace.Wrap(err)
	}
	all.serve(lc, l, l.Stop)
	return nil
}

// serve adds hooks that start the listener with the process and stop it with the process.
func (all *servers) serve(lc fx.Lifecycle, l *server.Server, stop func(context.Context) error) {
	all.list = append(all.list, l)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { l.Start(); return nil },
		OnStop:  stop,
	})
}
