package instance

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
	"lacewingturn.example/core/table"
	"lacewingturn.example/entry"
	"lacewingturn.example/node/loop"
)

// fakeControl is a control state that applies commands immediately, without
// replication. Like a replica it refuses commands that cannot be decoded from the log. Its hook can withhold or replace the answers to proposals.
type fakeControl struct {
	mu        sync.Mutex
	state     model.State
	ports     []loop.Port // mailboxes of the entry instances that get the traffic view
	hook      func(n int, apply func() []result.Result) ([]result.Result, error)
	proposals int // proposals so far
	// applied is closed when further commands have been applied; nil if nobody waits.
	applied chan struct{}
}

func newControl(c model.Config, instances ...model.Instance) *fakeControl {
	f := &fakeControl{}
	f.state.Config, f.state.Revision, f.state.Index = &c, 1, 1
	f.state.Instances = table.FromValues(instances, func(i model.Instance) model.InstanceID { return i.ID })
	return f
}

// Propose implements entry.Control.
func (f *fakeControl) Propose(_ context.Context, commands []model.Envelope) ([]result.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proposals++
	apply := func() []result.Result { return f.apply(commands) }
	if f.hook != nil {
		return f.hook(f.proposals, apply)
	}
	return apply(), nil
}

// apply applies the commands and publishes the traffic view if it changed; f.mu must
// be locked.
func (f *fakeControl) apply(commands []model.Envelope) []result.Result {
	before := f.state
	var out []result.Result
	for _, env := range commands {
		if _, _, err := codec.EncodeForLog(env); err != nil {
			out = append(out, result.New(result.InvalidInput, "%v", err))
			continue
		}
		env.Time = model.TimestampOf(time.Now())
		next, r := command.Apply(f.state, f.state.Index+1, 1, env)
		f.state = next
		out = append(out, r)
	}
	if f.applied != nil {
		close(f.applied)
		f.applied = nil
	}
	if !before.Targets.Same(f.state.Targets) || !before.Entries.Same(f.state.Entries) {
		f.publish()
	}
	return out
}

// unsubscribe ends the messages to one instance.
func (f *fakeControl) unsubscribe(port loop.Port) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ports = slices.DeleteFunc(f.ports, func(p loop.Port) bool { return p == port })
}

// Assignments implements entry.Assignments. It reads the state again whenever
// commands have been applied.
func (f *fakeControl) Assignments(ctx context.Context, worker model.InstanceID, since model.Index, wait time.Duration) (query.AssignmentPoll, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		f.mu.Lock()
		jobs, index := query.Assignments(f.state, worker)
		if f.applied == nil {
			f.applied = make(chan struct{})
		}
		applied := f.applied
		f.mu.Unlock()
		if index > since {
			return query.AssignmentPoll{Index: index, Changed: true, Jobs: jobs}, nil
		}
		select {
		case <-ctx.Done():
			return query.AssignmentPoll{Index: since}, nil
		case <-applied:
		}
	}
}

// publish sends the traffic view to all subscribed instances; f.mu must be locked.
func (f *fakeControl) publish() {
	for _, p := range f.ports {
		_ = p.Send(context.Background(), entry.TrafficChanged{View: query.TrafficOf(f.state)})
	}
}

// update changes the state without a command and publishes the new traffic view.
func (f *fakeControl) update(fn func(*model.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Index++
	fn(&f.state)
	f.publish()
}

// setHook installs a function that is called for each proposal and may withhold or
// replace its answer. Nil removes it.
func (f *fakeControl) setHook(hook func(n int, apply func() []result.Result) ([]result.Result, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
}

// claim returns the claim of a caller's key, and whether there is one.
func (f *fakeControl) claim(key model.RequestID, caller model.CallerID) (model.Claim, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Claims.Get(model.MakeClaimKey(key, caller))
}

const service = model.ServiceName("orders")

func config() model.Config {
	return model.Config{
		Services: []model.Service{{Name: service, Pool: "counter", Timeout: 2 * time.Second, QueueLimit: 4, Idempotent: []string{"/quote"}}},
		Pools:    []model.Pool{{Name: "counter"}},
		Limits:   model.Limits{SlotsPerTarget: 8, ConnectionsPerTarget: 64, RetryShare: 0.1, KeyRetention: 15 * time.Minute, MaxClaims: 1000},
	}
}

// instances returns active instances w1 to wN of the pool counter.
func instances(n int) (out []model.Instance) {
	for i := range n {
		out = append(out, model.Instance{ID: model.InstanceID(fmt.Sprintf("w%d", i+1)), Pool: "counter", Phase: model.PhaseActive})
	}
	return out
}

// testEntry is an entry instance with a listener and a fake control state.
type testEntry struct {
	*Instance
	control     *fakeControl
	server      *httptest.Server
	metrics     *prometheus.Registry
	epoch       uint64
	stop        func()
	stopRenewal func() // ends the renewals of the lease
}

// startEntry starts an entry instance, makes it a member, renews its lease and waits
// until it is ready. It ends when the test ends.
func startEntry(t testing.TB, control *fakeControl, id model.EntryID, tracer trace.Tracer) *testEntry {
	t.Helper()
	l := loop.New(loop.DefaultCapacity)
	reg := prometheus.NewRegistry()
	if tracer == nil {
		tracer = noop.NewTracerProvider().Tracer("")
	}
	i, err := New(Settings{
		ID: id, Control: control, Assignments: control, Loop: l, Log: zap.NewNop(), Metrics: reg, Tracer: tracer, ShutdownDelay: time.Millisecond,
	})
	assert.NilError(t, err)
	s := &testEntry{Instance: i, control: control, metrics: reg}
	handler := http.NewServeMux()
	handler.Handle("/", i.Traffic)
	handler.Handle(i.PeerPath, i.PeerHandler)
	s.server = httptest.NewServer(handler)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { l.Run(ctx) })
	done.Go(func() { i.Run(ctx) })
	control.mu.Lock()
	control.ports = append(control.ports, i.Port)
	control.mu.Unlock()
	results, err := control.Propose(ctx, []model.Envelope{{Command: model.JoinEntry{ID: id, Address: s.server.Listener.Addr().String()}}})
	assert.NilError(t, err)
	s.epoch = results[0].Revision
	s.renewLease()
	s.waitUntil(t, func() bool { ok, _ := s.Source.View().Ready(time.Now()); return ok })
	s.stop = sync.OnceFunc(func() {
		s.stopRenewal()
		cancel()
		s.server.Close()
		done.Wait()
	})
	t.Cleanup(s.stop)
	return s
}

// waitUntil polls the condition for at least 10 s and fails the test if it never holds.
func (s *testEntry) waitUntil(t testing.TB, reached func() bool) {
	t.Helper()
	for range 10_000 {
		if reached() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition not met within 10 s")
}

// renewLease reports a renewed lease and contact with the leader every 500 ms, as
// the control link does.
func (s *testEntry) renewLease() {
	stopped := make(chan struct{})
	s.stopRenewal = sync.OnceFunc(func() { close(stopped) })
	renew := func() {
		now := time.Now()
		_ = s.Port.Send(context.Background(), entry.LeaseRenewed{Until: now.Add(entry.StaleAfter), Epoch: s.epoch})
		_ = s.Port.Send(context.Background(), entry.ViewConfirmed{At: now})
	}
	renew()
	go func() {
		ticker := time.NewTicker(500 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				renew()
			case <-stopped:
				return
			}
		}
	}()
}

// disconnect ends the renewals of the lease and the updates of the traffic view.
func (s *testEntry) disconnect() {
	s.control.unsubscribe(s.Port)
	s.stopRenewal()
}

// kill ends the instance without a graceful shutdown. The listener closes first and
// connections are closed until the server has ended, because a client repeats a request
// whose connection broke, and the server would wait for that request to end.
func (s *testEntry) kill() {
	s.disconnect()
	s.server.Listener.Close()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.stop()
	}()
	for {
		s.server.CloseClientConnections()
		select {
		case <-stopped:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// target starts an HTTP server and announces it as a target.
func (s *testEntry) target(t testing.TB, id string, h http.HandlerFunc) *httptest.Server {
	t.Helper()
	back := httptest.NewServer(h)
	t.Cleanup(back.Close)
	s.join(t, id, back.Listener.Addr().String())
	return back
}

// join announces a target of the instance with the same number (t1 of w1) and waits
// until it is in the published view.
func (s *testEntry) join(t testing.TB, id, address string) {
	t.Helper()
	status, body := s.announce(t, id, "join", fmt.Sprintf(`{"instance":%q,"service":%q,"address":%q,"generation":1}`,
		strings.Replace(id, "t", "w", 1), service, address))
	assert.Equal(t, status, http.StatusOK, body)
	s.waitUntil(t, func() bool { return s.Source.View().Traffic.Targets.Has(model.TargetID(id)) })
}

// announce sends an announcement of a target: join or leaving.
func (s *testEntry) announce(t testing.TB, id, what, body string) (int, string) {
	t.Helper()
	resp, err := s.server.Client().Post(s.server.URL+"/targets/"+id+"/"+what, "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(data)
}

// reply is the answer to a caller. The fields result and outcome are headers of it.
type reply struct {
	status  int
	result  string
	outcome string
	body    string
	header  http.Header
}

// call sends a request to the service. The headers are pairs of a name and a value.
func (s *testEntry) call(t testing.TB, method, path, body string, headers ...string) reply {
	t.Helper()
	req, err := http.NewRequest(method, s.server.URL+"/services/"+string(service)+path, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.server.Client().Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return reply{resp.StatusCode, resp.Header.Get("Lacewingturn-Result"), resp.Header.Get("Lacewingturn-Outcome"), string(data), resp.Header}
}

// keyAt returns the nth UUIDv7 for a time of issue.
func keyAt(at time.Time, n int) string {
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}
