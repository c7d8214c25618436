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
	"lacewingturn.example/node/telemetry"
	replicacommand "lacewingturn.example/replica/command"
	"lacewingturn.example/replica/liveness"
)

// Process is one running instance.
type Process struct {
	app      *fx.App
	life     *life
	servers  *servers
	settings Settings

	// Replica, Liveness and Entry are set for the roles that have them.
	Replica  *replicacommand.Replica
	Liveness *liveness.Machine
	Entry    *entryinstance.Instance
}

// life is the context of the process: it ends when the process stops, after
// the requests in flight have ended.
type life struct {
	context.Context
	cancel context.CancelFunc
}

// servers collects the listeners of the process, so that they can be closed at once.
type servers struct{ list []*server.Server }

// New assembles a process; logs go to w.
func New(s Settings, w io.Writer) (*Process, error) {
	p := &Process{settings: s}
	options := []fx.Option{
		fx.Supply(s, fx.Annotate(w, fx.As(new(io.Writer)))),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.DrainTimeout),
		processModule,
		fx.Populate(&p.life, &p.servers),
	}
	if s.Has(RoleControl) {
		options = append(options, controlModule, fx.Populate(&p.Replica, &p.Liveness))
	}
	if s.Has(RoleEntry) {
		options = append(options, entryModule, fx.Populate(&p.Entry))
	}
	options = append(options, fx.Invoke(runLoop), fx.Invoke(announceStart))
	p.app = fx.New(options...)
	return p, trace.Wrap(p.app.Err())
}

// Start opens the listeners and starts the roles.
func (p *Process) Start(ctx context.Context) error { return trace.Wrap(p.app.Start(ctx)) }

// Ended receives a signal when a part of the process asks for its end.
func (p *Process) Ended() <-chan fx.ShutdownSignal { return p.app.Wait() }

// Stop is a graceful shutdown. It returns when no request is in flight.
func (p *Process) Stop(ctx context.Context) error { return trace.Wrap(p.app.Stop(ctx)) }

// Kill ends the process without any graceful step, as SIGKILL would, but for
// files, which stay open until their goroutine has ended.
func (p *Process) Kill(ctx context.Context) {
	for _, s := range p.servers.list {
		s.Kill()
	}
	p.life.cancel()
	_ = p.app.Stop(ctx)
}

// Settings returns the settings that the process was assembled from.
func (p *Process) Settings() Settings { return p.settings }

var processModule = fx.Module("process",
	fx.Provide(newLife, newLogger, newTracing, telemetry.NewRegistry, newLoop, newInternalMux, newDialer, newControlClient, asControl, server.NewTraffic, func() *servers { return &servers{} }),
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

func newLife() *life {
	ctx, cancel := context.WithCancel(context.Background())
	return &life{Context: ctx, cancel: cancel}
}

func newLoop() *loop.Loop { return loop.New(loop.DefaultCapacity) }

func newDialer(s Settings, t *server.Traffic) (server.DialFunc, error) {
	config, err := s.InternalTLS.Config()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return t.Dialer(server.Dialer(config)), nil
}

func newLogger(s Settings, w io.Writer) (*zap.Logger, error) {
	log, err := telemetry.NewLogger(s.Log, w)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return log.With(zap.String("instance", s.Name)), nil
}

func newTracing(lc fx.Lifecycle, l *life, s Settings) (telemetry.Tracing, error) {
	t, err := telemetry.NewTracing(l, s.TraceEndpoint, s.Name)
	if err == nil {
		lc.Append(fx.Hook{OnStop: t.Shutdown})
	}
	return t, trace.Wrap(err)
}

// runLoop starts the control loop once every machine has been added. Its hook
// is appended after those of the roles, so it starts last; because the roles
// need the loop while they stop, it ends with the life of the process instead.
func runLoop(lc fx.Lifecycle, l *life, control *loop.Loop) {
	lc.Append(fx.StartHook(func() { go control.Run(l) }))
}

func announceStart(lc fx.Lifecycle, s Settings, log *zap.Logger) {
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

// internalGrace is how long calls of other processes may take to end at a stop.
// Streams between processes have no end of their own and are closed after it.
const internalGrace = 500 * time.Millisecond

// serveInternal serves the other processes of the system.
func serveInternal(lc fx.Lifecycle, all *servers, s Settings, mux internalMux, t *server.Traffic, tracing telemetry.Tracing) error {
	config, err := s.InternalTLS.Config()
	if err != nil {
		return trace.Wrap(err)
	}
	l, err := server.ListenCounted(cmp.Or(s.InternalListen, s.InternalAddress), server.TraceHandler(mux, tracing.Provider), config, t)
	if err != nil {
		return trace.Wrap(err)
	}
	all.serve(lc, l, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, internalGrace)
		defer cancel()
		return l.Stop(ctx)
	})
	return nil
}

// servePublic serves callers, targets or operators. Its stop waits for the
// requests in flight.
func servePublic(lc fx.Lifecycle, all *servers, address string, handler http.Handler, files server.TLSFiles) error {
	config, err := files.Config()
	if err != nil {
		return trace.Wrap(err)
	}
	l, err := server.Listen(address, handler, config)
	if err != nil {
		return trace.Wrap(err)
	}
	all.serve(lc, l, l.Stop)
	return nil
}

// serve starts the listener with the process and stops it with it.
func (all *servers) serve(lc fx.Lifecycle, l *server.Server, stop func(context.Context) error) {
	all.list = append(all.list, l)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { l.Start(); return nil },
		OnStop:  stop,
	})
}
