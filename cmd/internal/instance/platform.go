package instance

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"lacewingturn.example/node/telemetry"
	"lacewingturn.example/node/wait"
	platformquery "lacewingturn.example/platform/query"
	"lacewingturn.example/platform/settings"
	"lacewingturn.example/replica/client"
)

// NewOnPlatform builds a process of one role that runs on the users' platform.
// Log lines go to w.
func NewOnPlatform(role Role, p settings.Settings, w io.Writer) (*Process, error) {
	s := platformSettings(role, p)
	proc := &Process{settings: s}
	options := []fx.Option{
		fx.Supply(s, p, fx.Annotate(w, fx.As(new(io.Writer)))),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.DrainTimeout),
		processModule,
		fx.Populate(&proc.life, &proc.servers),
	}
	if role == RoleControl {
		options = append(options, controlModule, platformControlModule, fx.Populate(&proc.Replica, &proc.Liveness))
	} else {
		options = append(options, platformEntryModule)
	}
	options = append(options, fx.Invoke(runLoop), fx.Invoke(announceStart))
	proc.app = fx.New(options...)
	return proc, trace.Wrap(proc.app.Err())
}

// platformSettings converts the platform's settings to those of an instance.
// Replicas are named by their IP number, which is all that seeds tell.
func platformSettings(role Role, p settings.Settings) Settings {
	s := Settings{
		Name: p.IP, Roles: []Role{role}, Domain: p.Domain,
		InternalAddress: p.ReplicaAddress(p.IP), OperatorAddress: p.OperatorAddress(), DataFolder: p.DataFolder,
		Join: !p.FirstStart, DrainTimeout: p.StopGrace - stopReserve,
		Log: telemetry.LogSettings{Level: "info", JSON: true},
	}
	for _, ip := range p.Seeds {
		s.Replicas = append(s.Replicas, Replica{Name: ip, Address: p.ReplicaAddress(ip)})
	}
	return s
}

// stopReserve is the part of the platform's grace that a shutdown leaves unused.
const stopReserve = 500 * time.Millisecond

func newPlatformClient(p settings.Settings, c *http.Client) *client.Client {
	addresses := make([]string, 0, len(p.Seeds))
	for _, ip := range p.Seeds {
		addresses = append(addresses, p.ReplicaAddress(ip))
	}
	return client.New(addresses, c)
}

// balancerDelay is how long the platform's balancer may still send new
// connections to an instance that is not ready any more.
const balancerDelay = 2500 * time.Millisecond

// leaveBalancer makes the instance not ready and waits until callers go elsewhere.
func leaveBalancer(ctx context.Context, ready *platformquery.Ready) error {
	ready.Stop()
	_ = wait.For(ctx, balancerDelay) // a shorter wait is no reason to fail the shutdown
	return nil
}
