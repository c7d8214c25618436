package instance

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"
	"go.uber.org/fx"

	platformcommand "lacewingturn.example/platform/command"
	"lacewingturn.example/platform/settings"
	"lacewingturn.example/replica/client"
)

// platformRelayModule runs the control role on an instance without a disk, which
// cannot hold a replica. It commits operator orders through the leader, redirects
// all other calls to the leader, and lists the replicas for processes that have
// this instance as a seed.
var platformRelayModule = fx.Module("platform-relay", fx.Invoke(routePlatformRelay))

func routePlatformRelay(p platformParams) error {
	watchSettings(p.Lifecycle, p.Lifetime, p.File, p.Log, func(s settings.Settings) { p.Control.SetSeeds(seedAddresses(s)) })
	router := mux.NewRouter()
	platformcommand.NewOrderHandler(p.Control, p.Log).Register(router)
	router.PathPrefix("/lacewingturn/").HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		platformcommand.RedirectToLeader(w, r, remoteLeader{p.Control}, p.Platform.ControlAddress)
	})
	if err := servePublic(p.Lifecycle, p.Servers, p.Platform.ControlAddress, router, listener{http1Only: true}); err != nil {
		return err
	}
	directory := client.NewDirectory(p.Control)
	directory.Route(p.Internal.Handle)
	p.Lifecycle.Append(fx.Hook{OnStart: func(context.Context) error { go directory.Run(p.Lifetime); return nil }})
	if err := servePublic(p.Lifecycle, p.Servers, p.Platform.ReplicaAddress(p.Platform.IP), p.Internal, listener{limits: essential()}); err != nil {
		return err
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", p.Metrics)
	return servePublic(p.Lifecycle, p.Servers, p.Platform.OperatorAddress(), metrics, listener{http1Only: true, limits: essential()})
}

// remoteLeader looks up the leader by querying the replicas.
type remoteLeader struct{ *client.Client }

// LeaderAddress implements platformcommand.Leadership. It returns an empty address
// if no leader is known.
func (l remoteLeader) LeaderAddress(ctx context.Context) string {
	address, err := l.Leader(ctx)
	if err != nil {
		return "" // the caller is told to retry
	}
	return address
}
