package instance

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"lacewingturn.example/node/event"
	"lacewingturn.example/node/telemetry"
	"lacewingturn.example/node/wait"
	platformquery "lacewingturn.example/platform/query"
	"lacewingturn.example/platform/settings"
	replicacommand "lacewingturn.example/replica/command"
)

// NewOnPlatform assembles a process with one role that runs on the users'
// platform. path is the file that p was read from; changes of the file are
// applied while the process runs. Log lines go to w. It returns an error if the
// settings are unusable, for example if an address is already in use.
func NewOnPlatform(role Role, path SettingsFile, p settings.Settings, w io.Writer) (*Process, error) {
	s := platformSettings(role, p)
	proc := &Process{settings: s}
	options := []fx.Option{
		fx.Supply(s, path, p),
		boundedLog(w),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.DrainTimeout),
		processModule,
		fx.Populate(&proc.lifetime, &proc.servers),
	}
	switch {
	case role == RoleEntry:
		options = append(options, platformEntryModule)
	case p.DataFolder == "":
		options = append(options, platformRelayModule)
	default:
		options = append(options, controlModule, platformControlModule, fx.Populate(&proc.Replica, &proc.Liveness))
	}
	options = append(options, fx.Invoke(runLoop), fx.Invoke(logStartAndStop))
	proc.app = fx.New(options...)
	return proc, trace.Wrap(proc.app.Err())
}

// boundedLog writes log lines to w without blocking on it, and limits their
// number.
func boundedLog(w io.Writer) fx.Option {
	return fx.Options(
		fx.Provide(func(lc fx.Lifecycle, r *prometheus.Registry) *telemetry.LogLimiter {
			limiter := telemetry.NewLogLimiter(w, r)
			lc.Append(fx.StopHook(limiter.Flush))
			return limiter
		}),
		fx.Provide(func(limiter *telemetry.LogLimiter) io.Writer { return limiter }),
		fx.Decorate(func(l *zap.Logger, limiter *telemetry.LogLimiter) *zap.Logger { return limiter.Limit(l) }),
	)
}

// platformSettings converts the platform's settings to those of an instance.
// Replicas are named by their IP address, because the list of seeds holds nothing
// else.
func platformSettings(role Role, p settings.Settings) Settings {
	s := Settings{
		Name: p.IP, Roles: []Role{role}, Domain: p.Domain,
		InternalAddress: p.ReplicaAddress(p.IP), InternalListen: p.InternalListen, OperatorAddress: p.OperatorAddress(), DataFolder: p.DataFolder, InodesChange: true, TargetVoters: 2*p.ToleratedFailures + 1,
		SnapshotEvery: snapshotEvery, MemoryLimit: p.MemoryLimit, MaxDescriptors: p.MaxDescriptors,
		JoinOnly: !p.Bootstrap, DrainTimeout: p.StopGrace - stopReserve,
		Log: telemetry.LogSettings{Level: "info", JSON: true},
	}
	for _, ip := range p.Seeds {
		s.Replicas = append(s.Replicas, Replica{Name: ip, Address: p.ReplicaAddress(ip)})
	}
	return s
}

// snapshotEvery is the number of log entries between snapshots. One core of a
// control instance applies about 2,000 entries per second, so a restart after the
// loss of all processes replays the log in less than a second.
const snapshotEvery = 1024

// stopReserve is subtracted from the platform's grace period, so that a shutdown
// ends before the platform kills the process.
const stopReserve = 500 * time.Millisecond

func seedAddresses(p settings.Settings) []string {
	addresses := make([]string, 0, len(p.Seeds))
	for _, ip := range p.Seeds {
		addresses = append(addresses, p.ReplicaAddress(ip))
	}
	return addresses
}

func seedPeers(p settings.Settings) []replicacommand.Peer {
	peers := make([]replicacommand.Peer, 0, len(p.Seeds))
	for _, ip := range p.Seeds {
		peers = append(peers, replicacommand.Peer{Name: ip, Address: p.ReplicaAddress(ip)})
	}
	return peers
}

// SettingsFile is the path of the platform's settings file.
type SettingsFile string

// watchSettings calls apply with changed settings while the process runs. SIGHUP
// reloads the file at once.
func watchSettings(lc fx.Lifecycle, l *lifetime, path SettingsFile, log *zap.Logger, apply func(settings.Settings)) {
	signals := make(chan os.Signal, 1)
	changed := func(p settings.Settings) {
		apply(p)
		event.SettingsReloaded.Log(log, zap.Strings("seeds", p.Seeds))
	}
	failed := func(err error) { event.SettingsRefused.Log(log, zap.Error(err)) }
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			signal.Notify(signals, syscall.SIGHUP)
			go settings.Watch(l, string(path), signals, changed, failed)
			return nil
		},
		OnStop: func(context.Context) error { signal.Stop(signals); return nil },
	})
}

// balancerDelay is how long the platform's load balancer may still send new
// connections to an instance that is no longer ready.
const balancerDelay = 2500 * time.Millisecond

// leaveBalancer marks the instance as not ready and waits until the load balancer
// sends no new connections to it.
func leaveBalancer(ctx context.Context, ready *platformquery.Readiness) error {
	ready.Stop()
	_ = wait.Sleep(ctx, balancerDelay) // a cancelled wait must not fail the shutdown
	return nil
}
