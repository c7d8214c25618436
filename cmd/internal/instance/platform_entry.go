package instance

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/zap"

	platformcommand "lacewingturn.example/platform/command"
	platformquery "lacewingturn.example/platform/query"
	"lacewingturn.example/platform/settings"
	"lacewingturn.example/replica/client"
)

// platformEntryModule runs the entry role on the users' platform.
var platformEntryModule = fx.Module("platform-entry", fx.Invoke(routePlatformEntry))

// platformParams are the dependencies of the roles without a replica.
type platformParams struct {
	fx.In

	Lifecycle fx.Lifecycle
	Lifetime  *lifetime
	File      SettingsFile
	Platform  settings.Settings
	Servers   *servers
	Control   *client.Client
	Internal  internalMux
	Metrics   metricsHandler
	Registry  prometheus.Registerer
	Log       *zap.Logger
}

func routePlatformEntry(p platformParams) error {
	watchSettings(p.Lifecycle, p.Lifetime, p.File, p.Log, func(s settings.Settings) { p.Control.SetSeeds(seedAddresses(s)) })
	commands := platformcommand.NewCallers(p.Control, platformcommand.NewMetrics(p.Registry), p.Log)
	queries := platformquery.NewCallers(p.Control, p.Log)
	ready := platformquery.NewReadiness(p.Control, p.Log)
	callers := mux.NewRouter().SkipClean(true)
	callers.Methods(http.MethodPost).HandlerFunc(commands.Submit)
	callers.Methods(http.MethodDelete).HandlerFunc(commands.Cancel)
	callers.Methods(http.MethodGet).HandlerFunc(queries.Read)
	if err := servePublic(p.Lifecycle, p.Servers, p.Platform.CallerAddress, callers, listener{http1Only: true}); err != nil {
		return err
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", p.Metrics)
	if err := servePublic(p.Lifecycle, p.Servers, p.Platform.MetricsAddress(), metrics, listener{http1Only: true, limits: essential()}); err != nil {
		return err
	}
	if err := servePublic(p.Lifecycle, p.Servers, p.Platform.ReadinessAddress, ready, listener{http1Only: true, limits: essential()}); err != nil {
		return err
	}
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { go ready.Run(p.Lifetime); return nil },
		OnStop:  func(ctx context.Context) error { return leaveBalancer(ctx, ready) },
	})
	return nil
}
