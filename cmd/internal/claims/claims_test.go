package claims

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lacewingturn.example/api/codec"
	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
	"lacewingturn.example/core/table"
	"lacewingturn.example/entry"
	"lacewingturn.example/entry/instance"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica/client"
	"lacewingturn.example/replica/command"
)

// proposals implements only the Propose method of the command service.
type proposals struct {
	replicav1connect.UnimplementedReplicaCommandServiceHandler
	commands command.CommandService
}

// Propose implements replicav1connect.ReplicaCommandServiceHandler.
func (p proposals) Propose(ctx context.Context, req *connect.Request[replicav1.ProposeRequest]) (*connect.Response[replicav1.ProposeResponse], error) {
	return p.commands.Propose(ctx, req)
}

// startReplicatedLog starts three replicas with data folders on this machine and
// returns a client of them.
func startReplicatedLog(b *testing.B) entry.Control {
	var listeners []net.Listener
	var peers []command.Peer
	var addresses []string
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
		peers = append(peers, command.Peer{Name: fmt.Sprintf("r%d", i+1), Address: l.Addr().String()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	b.Cleanup(done.Wait)
	b.Cleanup(cancel)
	for i, l := range listeners {
		lp := loop.New(loop.DefaultCapacity)
		r, err := command.Open(command.Settings{
			Name: peers[i].Name, Address: peers[i].Address, DataFolder: b.TempDir(), Peers: peers, Logger: zap.NewNop(), Seed: uint64(i + 1),
		}, lp)
		assert.NilError(b, err)
		mux := http.NewServeMux()
		mux.Handle(r.Replication().Route())
		mux.Handle(replicav1connect.NewReplicaCommandServiceHandler(proposals{commands: r.CommandService()}))
		server := http.Server{Handler: mux, Protocols: cleartext(), HTTP2: command.ServerHTTP2()}
		b.Cleanup(func() { server.Close() })
		done.Go(func() { lp.Run(ctx) })
		done.Go(func() { _ = r.Run(ctx) })
		go func() { _ = server.Serve(l) }()
	}
	return client.New(addresses, client.NewHTTPClient())
}

func cleartext() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// peerCopy keeps claims in memory and copies each batch to one peer before it
// grants the claims. It is neither durable nor safe in a network partition, so its
// cost is a lower bound for a design without the replicated log.
type peerCopy struct {
	claims sync.Map
	url    string
	http   *http.Client
}

func newPeerCopy(b *testing.B) entry.Control {
	var copies sync.Map
	peer := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		copies.Store(string(data[:min(len(data), 64)]), data)
	}))
	peer.Config.Protocols = cleartext()
	peer.Start()
	b.Cleanup(peer.Close)
	return &peerCopy{url: peer.URL, http: client.NewHTTPClient()}
}

// Propose implements entry.Control.
func (p *peerCopy) Propose(ctx context.Context, list []model.Envelope) ([]result.Result, error) {
	var body bytes.Buffer
	out := make([]result.Result, len(list))
	for i, env := range list {
		data, err := codec.EncodeEnvelope(env)
		if err != nil {
			return nil, err
		}
		body.Write(data)
		out[i].Code = result.OK
		if c, ok := env.Command.(model.ClaimRequest); ok {
			out[i].Code = result.Accepted
			if _, dup := p.claims.LoadOrStore(c.Key, c.Attempt); dup {
				out[i].Code = result.KeyInProgress
			}
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url, &body)
	if err != nil {
		return nil, err
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return nil, err
	}
	return out, resp.Body.Close()
}

// noAssignments has no jobs for workers.
type noAssignments struct{}

// Assignments implements entry.Assignments.
func (noAssignments) Assignments(context.Context, model.InstanceID, model.Index, time.Duration) (query.AssignmentPoll, error) {
	return query.AssignmentPoll{}, nil
}

// startEntry starts an entry instance with 8 targets that stores its claims through
// control, and returns the URL that callers send requests to.
func startEntry(b *testing.B, control entry.Control) string {
	l := loop.New(loop.DefaultCapacity)
	i, err := instance.New(instance.Settings{
		ID: "e1", Control: control, Assignments: noAssignments{}, Loop: l, Log: zap.NewNop(), Metrics: prometheus.NewRegistry(), Tracer: noop.NewTracerProvider().Tracer(""),
	})
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { l.Run(ctx) })
	done.Go(func() { i.Run(ctx) })
	server := httptest.NewServer(i.Traffic)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "charged") }))
	b.Cleanup(func() { server.Close(); backend.Close(); cancel(); done.Wait() })
	epoch := join(b, control)
	v := newTrafficView(epoch)
	send := func(m loop.Message) { assert.NilError(b, i.Port.Send(ctx, m)) }
	send(entry.TrafficChanged{View: v})
	send(entry.LeaseRenewed{Until: time.Now().Add(time.Hour), Epoch: epoch})
	send(entry.ViewConfirmed{At: time.Now().Add(time.Hour)})
	for n := range 8 {
		id := model.TargetID(fmt.Sprintf("t%d", n))
		v.Targets = v.Targets.Set(id, model.Target{
			ID: id, Instance: "w1", Service: "ledger", Address: backend.Listener.Addr().String(), Slots: 8, Connections: 64, Generation: 1, Phase: model.TargetReady,
		})
	}
	send(entry.TrafficChanged{View: v})
	return server.URL + "/services/ledger/charge"
}

func join(b *testing.B, control entry.Control) uint64 {
	for range 50 {
		ctx, cancel := context.WithTimeout(b.Context(), time.Second)
		r, err := control.Propose(ctx, []model.Envelope{{Command: model.JoinEntry{ID: "e1", Address: "127.0.0.1:1"}}})
		cancel()
		if err == nil && r[0].Code.OK() {
			return max(r[0].Revision, 1)
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.Fatal("no leader within 5 s")
	return 0
}

func newTrafficView(epoch uint64) query.Traffic {
	config := model.Config{
		Services: []model.Service{{Name: "ledger", Pool: "p", Timeout: 10 * time.Second, QueueLimit: 1000}}, Pools: []model.Pool{{Name: "p"}},
		Limits: model.Limits{SlotsPerTarget: 8, ConnectionsPerTarget: 64, RetryShare: 0.1},
	}
	return query.Traffic{
		Revision: 1, Config: &config,
		Instances: table.FromValues([]model.Instance{{ID: "w1", Pool: "p", Phase: model.PhaseActive}}, func(i model.Instance) model.InstanceID { return i.ID }),
		Entries:   table.FromValues([]model.EntryMember{{ID: "e1", Epoch: epoch}}, func(e model.EntryMember) model.EntryID { return e.ID }),
	}
}

// BenchmarkCharge sends the same non-idempotent requests with each way to store claims,
// from one caller and from 64 concurrent callers.
func BenchmarkCharge(b *testing.B) {
	for _, kind := range []struct {
		name    string
		control func(*testing.B) entry.Control
	}{{"replicated-log", startReplicatedLog}, {"peer-copy", newPeerCopy}} {
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("%s/callers=%d", kind.name, callers), func(b *testing.B) {
				charge(b, startEntry(b, kind.control(b)), callers)
			})
		}
	}
}

func charge(b *testing.B, url string, callers int) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	var next atomic.Int64
	var wg sync.WaitGroup
	b.ResetTimer()
	for range callers {
		wg.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				ms := time.Now().UnixMilli()
				req, _ := http.NewRequest(http.MethodPost, url, strings.NewReader("5"))
				req.Header.Set("Idempotency-Key", fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n))
				resp, err := c.Do(req)
				if err != nil {
					b.Error(err)
					return
				}
				body, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				if string(body) != "charged" {
					b.Errorf("request got status %d, body %q", resp.StatusCode, body)
					return
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "charges/s")
}
