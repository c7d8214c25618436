package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"

	"lacewingturn.example/node/server"
	platformcommand "lacewingturn.example/platform/command"
	"lacewingturn.example/platform/settings"
	"lacewingturn.example/replica/client"
)

// platformRedirectModule sends workers and the operator of the users' platform
// to the leader. It is the control role of an instance without a disk, which
// cannot keep a replica.
var platformRedirectModule = fx.Module("platform-redirect", fx.Invoke(routePlatformRedirect))

func routePlatformRedirect(p platformParams) error {
	control := newPlatformClient(p.Platform, p.Client)
	watchSettings(p.Lifecycle, p.Life, p.File, p.Log, func(s settings.Settings) { control.SetSeeds(seedAddresses(s)) })
	router := mux.NewRouter()
	router.PathPrefix("/lacewingturn/").HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		platformcommand.RedirectToLeader(w, r, remoteLeader{r.Context(), control}, p.Platform.ControlAddress)
	})
	if err := servePublic(p.Lifecycle, p.Servers, p.Platform.ControlAddress, router, server.TLSFiles{}); err != nil {
		return err
	}
	// Replicas that ask for an identity learn from the answer 404 that none is here.
	if err := servePublic(p.Lifecycle, p.Servers, p.Platform.ReplicaAddress(p.Platform.IP), p.Internal, server.TLSFiles{}); err != nil {
		return err
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", p.Metrics)
	return servePublic(p.Lifecycle, p.Servers, p.Platform.OperatorAddress(), metrics, server.TLSFiles{})
}

// remoteLeader asks the replicas for the leader.
type remoteLeader struct {
	ctx     context.Context
	control *client.Client
}

// leaderTimeout bounds the search for the leader. Callers give up after a second.
const leaderTimeout = 800 * time.Millisecond

// LeaderAddress implements platformcommand.Leadership.
func (l remoteLeader) LeaderAddress() string {
	ctx, cancel := context.WithTimeout(l.ctx, leaderTimeout)
	defer cancel()
	address, err := l.control.Leader(ctx)
	if err != nil {
		return "" // the caller is told to come back
	}
	return address
}
