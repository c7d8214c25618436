package instance

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/zap"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/node/server"
	"lacewingturn.example/node/telemetry"
	operatorcommand "lacewingturn.example/operator/command"
	"lacewingturn.example/operator/platform"
	platformcommand "lacewingturn.example/operator/platform/command"
	platformquery "lacewingturn.example/operator/platform/query"
	operatorquery "lacewingturn.example/operator/query"
	"lacewingturn.example/replica"
	"lacewingturn.example/replica/client"
	replicacommand "lacewingturn.example/replica/command"
	"lacewingturn.example/replica/liveness"
	replicaquery "lacewingturn.example/replica/query"
	"lacewingturn.example/replica/reconcile"
	"lacewingturn.example/replica/schedule"
)

// controlModule runs a replica of the control state and its operator interface.
var controlModule = fx.Module("control",
	fx.Provide(openReplica, newLiveness, newReconciler, newBeforeApplyHook, client.NewForwarder),
	fx.Provide(func(r *replicacommand.Replica) replica.Replica { return r }),
	fx.Provide(func(m *liveness.Machine) replica.Liveness { return m }),
	fx.Invoke(routeControl, routeOperator, runReplica),
)

const (
	// workloadShare divides the memory of a replica; one part of it is for stored workloads.
	// While a snapshot is encoded the process takes up to six times as much.
	workloadShare = 10
	// maxWorkloadBytes leaves room for the rest of the state in a snapshot. Workloads take less
	// there than in memory.
	maxWorkloadBytes = replicacommand.MaxSnapshot * 3 / 4
)

// workloadBudget returns the memory that stored workloads may take in a process with the memory
// limit, in bytes; 0 if there is no limit.
func workloadBudget(memoryLimit int64) int64 { return min(memoryLimit/workloadShare, maxWorkloadBytes) }

func openReplica(s Settings, l *loop.Loop, log *zap.Logger, metrics prometheus.Registerer, dial server.DialFunc, applied beforeApplyHook) (*replicacommand.Replica, error) {
	peers := make([]replicacommand.Peer, 0, len(s.Replicas))
	for _, r := range s.Replicas {
		peers = append(peers, replicacommand.Peer{Name: r.Name, Address: r.Address})
	}
	return replicacommand.Open(replicacommand.Settings{
		Name: s.Name, Address: s.InternalAddress, Domain: s.Domain, DataFolder: s.DataFolder, Peers: peers, Logger: log, Metrics: replicacommand.NewMetrics(metrics), Dial: dial, BeforeApply: applied,
		InodesChange: s.InodesChange, TargetVoters: s.TargetVoters, JoinOnly: s.JoinOnly, SnapshotEvery: s.SnapshotEvery,
		WorkloadBudget: workloadBudget(s.MemoryLimit),
	}, l)
}

func newLiveness(lifetime *lifetime, l *loop.Loop, r *replicacommand.Replica, log *zap.Logger) *liveness.Machine {
	return liveness.New(lifetime, l, r, log)
}

// newReconciler returns the state machine that decides on drains, moves, lending and
// reboots of instances. Without a platform URL it reboots no instance and does the
// rest.
func newReconciler(lifetime *lifetime, s Settings, l *loop.Loop, r *replicacommand.Replica, log *zap.Logger) *reconcile.Machine {
	if s.PlatformURL == "" {
		return reconcile.New(lifetime, l, r, platform.NotConfigured{}, platform.NotConfigured{}, log)
	}
	c := &http.Client{Timeout: platform.CallTimeout}
	return reconcile.New(lifetime, l, r, platformcommand.New(s.PlatformURL, c), platformquery.New(s.PlatformURL, c), log)
}

// commandService implements the replica's command service. Its methods are served by
// different state machines of the control loop.
type commandService struct {
	proposals replicacommand.CommandService
	renewals  *liveness.Machine
	fleet     *reconcile.Machine
}

var _ replicav1connect.ReplicaCommandServiceHandler = commandService{}

// Propose commits the commands of the request to the replicated log.
func (c commandService) Propose(ctx context.Context, r *connect.Request[replicav1.ProposeRequest]) (*connect.Response[replicav1.ProposeResponse], error) {
	return c.proposals.Propose(ctx, r)
}

// RenewEntry renews the membership of an entry instance. If the membership is
// valid, it passes the report in the request to the reconciler.
func (c commandService) RenewEntry(ctx context.Context, r *connect.Request[replicav1.RenewEntryRequest]) (*connect.Response[replicav1.RenewEntryResponse], error) {
	resp, err := c.renewals.RenewEntry(ctx, r)
	if err == nil && resp.Msg.ValidMs > 0 {
		c.fleet.Report(toReport(r.Msg))
	}
	return resp, err
}

func toReport(m *replicav1.RenewEntryRequest) reconcile.EntryReport {
	r := reconcile.EntryReport{Entry: model.EntryID(m.EntryId)}
	for _, i := range m.Reports {
		r.OutOfService = append(r.OutOfService, reconcile.InstanceReport{
			Instance: model.InstanceID(i.Instance), InFlight: int(i.InFlight),
			HasHeartbeat: i.Heard, Running: int(i.Running), HeartbeatAge: time.Duration(i.HeardAgeMs) * time.Millisecond,
		})
	}
	for _, id := range m.Silent {
		r.Silent = append(r.Silent, model.InstanceID(id))
	}
	return r
}

// routeControl serves the replica to other processes. The listener is opened before
// the replica runs, because the peers call Identify on it to form a new site.
func routeControl(lc fx.Lifecycle, s Settings, all *servers, mux internalMux, tracing telemetry.Tracing, r *replicacommand.Replica, m *liveness.Machine, f *reconcile.Machine) error {
	mux.Handle(r.Replication().Route())
	mux.Handle(replicav1connect.NewReplicaCommandServiceHandler(commandService{proposals: r.CommandService(), renewals: m, fleet: f}))
	mux.Handle(replicav1connect.NewReplicaQueryServiceHandler(replicaquery.New(r)))
	return serveInternal(lc, all, s, mux, tracing)
}

type operatorParams struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  Settings
	Servers   *servers
	Metrics   metricsHandler
	Replica   replica.Replica
	Liveness  replica.Liveness
	Fleet     *reconcile.Machine
	Scheduler *schedule.Machine `optional:"true"`
	Forwarder *client.Forwarder
	Log       *zap.Logger
}

// routeOperator serves the operator interface, with separate handlers for
// commands and queries.
func routeOperator(p operatorParams) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.Metrics)
	mux.Handle(operatorcommand.New(p.Forwarder, p.Log).Route())
	mux.Handle(operatorquery.New(p.Replica, p.Liveness, observations{p.Fleet, p.Scheduler}, p.Log).Route())
	return servePublic(p.Lifecycle, p.Servers, p.Settings.OperatorAddress, mux, listener{tls: p.Settings.OperatorTLS, limits: essential()})
}

// observations joins what the reconciler and the scheduler, if there is one, have observed.
type observations struct {
	fleet     *reconcile.Machine
	scheduler *schedule.Machine
}

// Observations implements operatorquery.ObservationSource.
func (o observations) Observations() model.Observations {
	out := o.fleet.Observations()
	if o.scheduler != nil {
		out.Waits = o.scheduler.Waits()
	}
	return out
}

// runReplica runs the replica until the process stops. A stop transfers
// leadership first and closes the data folder last. If the replica ends with an
// error, the process exits with status 1, so that it is restarted.
func runReplica(lc fx.Lifecycle, lifetime *lifetime, r *replicacommand.Replica, shutdown fx.Shutdowner, log *zap.Logger) {
	done := make(chan error, 1)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				err := r.Run(lifetime)
				done <- err
				if err == nil || lifetime.Err() != nil {
					return
				}
				event.ReplicaEnded.Log(log, zap.Error(err))
				if err := shutdown.Shutdown(fx.ExitCode(1)); err != nil {
					event.ReplicaEnded.Log(log, zap.Error(err))
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if lifetime.Err() == nil {
				transferLeadership(ctx, r)
			}
			lifetime.cancel()
			return <-done
		},
	})
}

// transferTimeout limits how long a stopping leader waits until another leader is
// known. It is the time that a failover may take. If all replicas stop together,
// there is no other leader and the wait ends after this time.
const transferTimeout = 2 * time.Second

func transferLeadership(ctx context.Context, r *replicacommand.Replica) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	_ = r.TransferLeadership(ctx)
}
