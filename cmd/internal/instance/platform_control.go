package instance

import (
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"lacewingturn.example/node/clock"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/platform/cloud"
	platformcommand "lacewingturn.example/platform/command"
	platformquery "lacewingturn.example/platform/query"
	"lacewingturn.example/platform/settings"
	"lacewingturn.example/platform/wire"
	"lacewingturn.example/replica/client"
	replicacommand "lacewingturn.example/replica/command"
	"lacewingturn.example/replica/fleet"
	"lacewingturn.example/replica/schedule"
	schedulequery "lacewingturn.example/replica/schedule/query"
)

// platformControlModule adds the interfaces for workers and operators of the
// users' platform to a control replica.
var platformControlModule = fx.Module("platform-control",
	fx.Provide(clock.NewSuspendDetector, newScheduler, newScheduleReader),
	fx.Invoke(addFleet, routePlatformControl),
)

func newScheduler(lifetime *lifetime, p settings.Settings, l *loop.Loop, r *replicacommand.Replica, d *clock.SuspendDetector, metrics prometheus.Registerer, log *zap.Logger) *schedule.Machine {
	s := schedule.Settings{MaxLease: p.MaxLease, StopTimeout: p.StopTimeout, RemoteDataFactor: p.RemoteDataFactor, Metrics: schedule.NewMetrics(metrics), Logger: log}
	if p.AdviceAddress != "" {
		s.Advisor = cloud.New(p.AdviceAddress, p.Name)
	}
	return schedule.New(lifetime, l, r, d, s)
}

func addFleet(lifetime *lifetime, p settings.Settings, l *loop.Loop, r *replicacommand.Replica, d *clock.SuspendDetector, s *schedule.Machine, log *zap.Logger) {
	fleet.New(lifetime, l, r, d, s, cloud.New(p.CloudAddress, p.Name), fleet.Settings{
		OrderHandoverDelay: p.OrderHandoverDelay, MoveTime: p.MoveTime, UpkeepTime: p.UpkeepTime, OrdersPerSecond: p.CloudOrdersPerSecond, Logger: log,
	})
}

func newScheduleReader(r *replicacommand.Replica, d *clock.SuspendDetector) *schedulequery.Reader {
	reader := schedulequery.New(r, d)
	reader.ExtractLimits = wire.ExtractTrafficLimits
	return reader
}

type platformControlParams struct {
	fx.In

	Lifecycle fx.Lifecycle
	Lifetime  *lifetime
	File      SettingsFile
	Platform  settings.Settings
	Servers   *servers
	Control   *client.Client
	Forwarder *client.Forwarder
	Internal  internalMux
	Replica   *replicacommand.Replica
	Scheduler *schedule.Machine
	Reader    *schedulequery.Reader
	Metrics   prometheus.Registerer
	Log       *zap.Logger
}

func routePlatformControl(p platformControlParams) error {
	p.Internal.Handle(p.Reader.Route())
	watchSettings(p.Lifecycle, p.Lifetime, p.File, p.Log, func(s settings.Settings) {
		p.Replica.SetPeers(seedPeers(s))
		p.Control.SetSeeds(seedAddresses(s))
	})
	router := mux.NewRouter()
	platformcommand.NewWorkerHandler(p.Scheduler, p.Reader, p.Platform.Domain.Region, p.Platform.ControlAddress, platformcommand.NewWorkerMetrics(p.Metrics), p.Log).Register(router)
	platformcommand.NewOrderHandler(p.Forwarder, p.Log).Register(router)
	redirect := func(w http.ResponseWriter, r *http.Request) {
		platformcommand.RedirectToLeader(w, r, p.Reader, p.Platform.ControlAddress)
	}
	platformquery.NewControl(p.Reader, redirect).Register(router)
	return servePublic(p.Lifecycle, p.Servers, p.Platform.ControlAddress, router, listener{http1Only: true})
}
