package instance

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"lacewingturn.example/node/clock"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/node/server"
	platformcommand "lacewingturn.example/platform/command"
	platformquery "lacewingturn.example/platform/query"
	"lacewingturn.example/platform/settings"
	replicacommand "lacewingturn.example/replica/command"
	"lacewingturn.example/replica/schedule"
	schedulequery "lacewingturn.example/replica/schedule/query"
)

// platformControlModule serves workers and the operator of the users' platform
// on a control replica.
var platformControlModule = fx.Module("platform-control",
	fx.Provide(clock.NewGuard, newScheduler, newScheduleReader),
	fx.Invoke(routePlatformControl),
)

func newScheduler(life *life, p settings.Settings, l *loop.Loop, r *replicacommand.Replica, g *clock.Guard, log *zap.Logger) *schedule.Machine {
	return schedule.New(life, l, r, g, schedule.Settings{LeaseMax: p.LeaseMax, Logger: log})
}

func newScheduleReader(r *replicacommand.Replica, g *clock.Guard) *schedulequery.Reader {
	return schedulequery.New(r, g)
}

type platformControlParams struct {
	fx.In

	Lifecycle fx.Lifecycle
	Platform  settings.Settings
	Servers   *servers
	Internal  internalMux
	Replica   *replicacommand.Replica
	Scheduler *schedule.Machine
	Reader    *schedulequery.Reader
	Log       *zap.Logger
}

func routePlatformControl(p platformControlParams) error {
	p.Internal.Handle(p.Reader.Route())
	router := mux.NewRouter()
	platformcommand.NewControl(p.Scheduler, p.Replica, p.Reader, p.Platform.Domain.Region, p.Platform.ControlAddress, p.Log).Route(router)
	redirect := func(w http.ResponseWriter, r *http.Request) {
		platformcommand.RedirectToLeader(w, r, p.Reader, p.Platform.ControlAddress)
	}
	platformquery.NewControl(p.Reader, redirect).Route(router)
	return servePublic(p.Lifecycle, p.Servers, p.Platform.ControlAddress, router, server.TLSFiles{})
}

// platformEntryModule serves the callers of the users' platform.
var platformEntryModule = fx.Module("platform-entry", fx.Invoke(routePlatformEntry))

type platformEntryParams struct {
	fx.In

	Lifecycle fx.Lifecycle
	Platform  settings.Settings
	Life      *life
	Servers   *servers
	Client    *http.Client
	Metrics   metricsHandler
	Log       *zap.Logger
}

func routePlatformEntry(p platformEntryParams) error {
	control := newPlatformClient(p.Platform, p.Client)
	commands := platformcommand.NewCallers(control, p.Log)
	queries := platformquery.NewCallers(control, p.Log)
	ready := platformquery.NewReady(control, p.Log)
	callers := mux.NewRouter().SkipClean(true)
	callers.Methods(http.MethodPost).HandlerFunc(commands.Submit)
	callers.Methods(http.MethodDelete).HandlerFunc(commands.Cancel)
	callers.Methods(http.MethodGet).HandlerFunc(queries.Read)
	if err := servePublic(p.Lifecycle, p.Servers, p.Platform.CallerAddress, callers, server.TLSFiles{}); err != nil {
		return err
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", p.Metrics)
	if err := servePublic(p.Lifecycle, p.Servers, p.Platform.MetricsAddress(), metrics, server.TLSFiles{}); err != nil {
		return err
	}
	if err := servePublic(p.Lifecycle, p.Servers, p.Platform.ReadinessAddress, ready, server.TLSFiles{}); err != nil {
		return err
	}
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { go ready.Run(p.Life); return nil },
		OnStop:  func(ctx context.Context) error { return leaveBalancer(ctx, ready) },
	})
	return nil
}
