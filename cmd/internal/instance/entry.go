package instance

import (
	"context"
	"net/http"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
	"lacewingturn.example/entry"
	"lacewingturn.example/entry/follow"
	entryinstance "lacewingturn.example/entry/instance"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/node/telemetry"
	"lacewingturn.example/replica/client"
)

// entryModule runs the entry role, which serves callers and targets.
var entryModule = fx.Module("entry",
	fx.Provide(newEntry, newPoller, newTrafficRecorder),
	fx.Invoke(runEntry),
)

// localFirst returns the addresses of the replicas, those in this instance's data
// centre first.
func localFirst(s Settings) []string {
	list := slices.Clone(s.Replicas)
	slices.SortStableFunc(list, func(a, b Replica) int {
		return compare.TrueFirst(a.DataCenter == s.Domain.DataCenter, b.DataCenter == s.Domain.DataCenter)
	})
	out := make([]string, 0, len(list))
	for _, r := range list {
		out = append(out, r.Address)
	}
	return out
}

func newControlClient(s Settings, c *http.Client) *client.Client { return client.New(localFirst(s), c) }

func asControl(c *client.Client) entry.Control { return c }

func newPoller(s Settings, c *http.Client) *client.AssignmentPoller {
	return client.NewAssignmentPoller(localFirst(s), c)
}

type entryParams struct {
	fx.In

	Settings Settings
	Control  entry.Control
	Poller   *client.AssignmentPoller
	Client   *http.Client
	Loop     *loop.Loop
	Log      *zap.Logger
	Metrics  prometheus.Registerer
	Tracing  telemetry.Tracing
	Recorder *trafficRecorder
}

func newEntry(p entryParams) (*entryinstance.Instance, error) {
	return entryinstance.New(entryinstance.Settings{
		ID: model.EntryID(p.Settings.Name), Address: p.Settings.InternalAddress, Domain: p.Settings.Domain,
		Control: p.Control, Assignments: p.Poller, Loop: p.Loop, Log: p.Log, Metrics: p.Metrics, PeerClient: p.Client,
		Record: p.Recorder.hook(),
		Tracer: p.Tracing.Provider.Tracer("lacewingturn.example/entry"),
	})
}

type runParams struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  Settings
	Lifetime  *lifetime
	Servers   *servers
	Entry     *entryinstance.Instance
	Poller    *client.AssignmentPoller
	Control   entry.Control
	Client    *http.Client
	Log       *zap.Logger
	Metrics   metricsHandler
	Internal  internalMux
	Tracing   telemetry.Tracing
	Recorder  *trafficRecorder
}

// runEntry starts the entry role. The stop hooks run in reverse order: first the
// instance drains, then the listeners close, then the control link ends the
// membership of the instance.
func runEntry(p runParams) error {
	link := newLink(p)
	p.Internal.Handle(p.Entry.PeerPath, p.Entry.PeerHandler)
	background, cancel := context.WithCancel(p.Lifetime)
	linkDone, recorded := make(chan struct{}), make(chan struct{})
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() { defer close(linkDone); link.Run(background) }()
			go p.Entry.Run(p.Lifetime)
			go p.Poller.Run(p.Lifetime)
			go func() {
				defer close(recorded)
				if p.Recorder != nil {
					p.Recorder.run(background, p.Entry.Source)
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			<-linkDone
			<-recorded
			event.ProcessStopped.Log(p.Log)
			if !p.Settings.Has(RoleControl) {
				p.Lifetime.cancel()
			}
			return nil
		},
	})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.Metrics)
	mux.Handle("/", p.Entry.Traffic)
	if err := servePublic(p.Lifecycle, p.Servers, p.Settings.PublicAddress, mux, listener{}); err != nil {
		return err
	}
	if !p.Settings.Has(RoleControl) {
		if err := serveInternal(p.Lifecycle, p.Servers, p.Settings, p.Internal, p.Tracing); err != nil {
			return err
		}
	}
	p.Lifecycle.Append(fx.StopHook(func(ctx context.Context) error {
		if p.Lifetime.Err() != nil {
			return nil
		}
		return p.Entry.Stop(ctx)
	}))
	return nil
}

func newLink(p runParams) *follow.Link {
	addresses := localFirst(p.Settings)
	urls := make([]string, 0, len(addresses))
	for _, a := range addresses {
		urls = append(urls, "http://"+a)
	}
	return follow.New(follow.Settings{
		ID: model.EntryID(p.Settings.Name), Address: p.Settings.InternalAddress, Domain: p.Settings.Domain,
		Replicas: urls, Client: p.Client, Control: p.Control, Log: p.Log, Port: p.Entry.Port,
	})
}
