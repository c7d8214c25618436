package instance

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"
	"go.uber.org/fx"

	"lacewingturn.example/node/server"
	platformcommand "lacewingturn.example/platform/command"
	"lacewingturn.example/platform/settings"
	"lacewingturn.example/replica/client"
)

// platformRelayModule is the control role of an instance without a disk, which
// cannot keep a replica. It commits the operator's orders through the leader,
// sends all other calls there, and names the replicas to processes that have it
// as a seed.
var platformRelayModule = fx.Module("platform-relay", fx.Invoke(routePlatformRelay))

func routePlatformRelay(p platformParams) error {
	watchSettings(p.Lifecycle, p.Life, p.File, p.Log, func(s settings.Settings) { p.Control.SetSeeds(seedAddresses(s)) })
	router := mux.NewRouter()
	platformcommand.NewOrderHandler(p.Control, p.Log).Register(router)
	router.PathPrefix("/lacewingturn/").HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		platformcommand.RedirectToLeader(w, r, remoteLeader{p.Control}, p.Platform.ControlAddress)
	})
	if err := servePublic(p.Lifecycle, p.Servers, p.Platform.ControlAddress, router, server.TLSFiles{}); err != nil {
		return err
	}
	directory := client.NewDirectory(p.Control)
	directory.Route(p.Internal.Handle)
	p.Lifecycle.Append(fx.Hook{OnStart: func(context.Context) error { go directory.Run(p.Life); return nil }})
	if err := servePublic(p.Lifecycle, p.Servers, p.Platform.ReplicaAddress(p.Platform.IP), p.Internal, server.TLSFiles{}); err != nil {
		return err
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", p.Metrics)
	return servePublic(p.Lifecycle, p.Servers, p.Platform.OperatorAddress(), metrics, server.TLSFiles{})
}

// remoteLeader asks the replicas for the leader.
type remoteLeader struct{ *client.Client }

// LeaderAddress implements platformcommand.Leadership.
func (l remoteLeader) LeaderAddress(ctx context.Context) string {
	address, err := l.Leader(ctx)
	if err != nil {
		return "" // the caller is told to come back
	}
	return address
}
