package instance

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"lacewingturn.example/node/server"
	"lacewingturn.example/node/server/admission"
	"lacewingturn.example/node/wait"
	platformcommand "lacewingturn.example/platform/command"
	platformquery "lacewingturn.example/platform/query"
	"lacewingturn.example/platform/settings"
	"lacewingturn.example/platform/wire"
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
	limits := &admission.Listener{Limits: server.DefaultLimits()}
	callers := mux.NewRouter().SkipClean(true)
	callers.Methods(http.MethodPost).HandlerFunc(commands.Submit)
	callers.Methods(http.MethodDelete).HandlerFunc(commands.Cancel)
	callers.Methods(http.MethodGet).HandlerFunc(queries.Read)
	if err := servePublic(p.Lifecycle, p.Servers, p.Platform.CallerAddress, callers, listener{http1Only: true, limits: limits}); err != nil {
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
		OnStart: func(context.Context) error {
			go ready.Run(p.Lifetime)
			go followLimits(p.Lifetime, p.Control, p.Servers.guard, limits)
			return nil
		},
		OnStop: func(ctx context.Context) error { return leaveBalancer(ctx, ready) },
	})
	return nil
}

// limitsInterval is the interval at which the limits in force are compared with those of the
// leader's last response. The readiness check asks the leader as often.
const limitsInterval = time.Second

// followLimits applies the limits of callers' requests in the catalog to a listener until ctx
// ends.
func followLimits(ctx context.Context, c *client.Client, g *server.Guard, l *admission.Listener) {
	inForce := ""
	for wait.Sleep(ctx, limitsInterval) == nil {
		if text := c.Limits(); text != inForce {
			inForce = text
			g.SetLimits(l, callerLimits(wire.DecodeTrafficLimits(text)))
		}
	}
}

// callerLimits returns the limits of a listener. The defaults stand for those that the catalog
// does not set.
func callerLimits(t wire.TrafficLimits) admission.Limits {
	l := server.DefaultLimits()
	l.HeadBytes = cmp.Or(t.HeadBytes, l.HeadBytes)
	l.BodyBytes = t.BodyBytes
	l.HeadTime = cmp.Or(t.HeadTime, l.HeadTime)
	l.IdleTime = cmp.Or(t.IdleTime, l.IdleTime)
	return l
}
