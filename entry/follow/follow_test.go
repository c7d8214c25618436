package follow

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lacewingturn.example/api/codec"
	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
	"lacewingturn.example/entry"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/node/server"
	"lacewingturn.example/replica"
	"lacewingturn.example/replica/liveness"
	replicaquery "lacewingturn.example/replica/query"
)

// fakeReplica is a leader that applies commands immediately, without replication.
type fakeReplica struct {
	view atomic.Pointer[replica.View]
	next chan struct{}
}

func newFakeReplica() *fakeReplica {
	f := &fakeReplica{next: make(chan struct{})}
	now := time.Now()
	f.view.Store(&replica.View{ID: "c1/1", Term: 1, Leader: "c1/1", IsLeader: true, LeaderSince: now, QuorumContact: now, LeaderContact: now, Next: f.next})
	return f
}

func (f *fakeReplica) View() *replica.View { return f.view.Load() }

// Propose is not safe for concurrent use; the tests call it from one goroutine at a
// time.
func (f *fakeReplica) Propose(_ context.Context, commands []model.Envelope) ([]result.Result, error) {
	var results []result.Result
	v := *f.view.Load()
	for _, c := range commands {
		var r result.Result
		v.State, r = command.Apply(v.State, v.State.Index+1, v.Term, c)
		results = append(results, r)
	}
	now := time.Now()
	v.QuorumContact, v.LeaderContact = now, now
	old := f.next
	f.next = make(chan struct{})
	v.Next = f.next
	f.view.Store(&v)
	close(old)
	return results, nil
}

// recorder is an entry machine that records the messages of the link.
type recorder struct{ got chan loop.Message }

func (r *recorder) Handle(_ time.Time, m loop.Message) {
	if request, ok := m.(entry.ReportRequest); ok {
		request.Reply <- entry.FleetReport{}
		return
	}
	r.got <- m
}
func (r *recorder) Tick(time.Time)      {}
func (r *recorder) Deadline() time.Time { return time.Time{} }
func (r *recorder) Flush(time.Time)     {}

type commandService struct {
	replicav1connect.UnimplementedReplicaCommandServiceHandler
	*liveness.Machine
}

// RenewEntry resolves the ambiguity between the embedded types.
func (c commandService) RenewEntry(ctx context.Context, r *connect.Request[replicav1.RenewEntryRequest]) (*connect.Response[replicav1.RenewEntryResponse], error) {
	return c.Machine.RenewEntry(ctx, r)
}

// serve starts a control replica on loopback and returns its base URL.
func serve(t *testing.T, f *fakeReplica) string {
	ctx, cancel := context.WithCancel(context.Background())
	l := loop.New(64)
	live := liveness.New(ctx, l, f, zap.NewNop())
	go l.Run(ctx)
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewReplicaQueryServiceHandler(replicaquery.New(f)))
	mux.Handle(replicav1connect.NewReplicaCommandServiceHandler(commandService{Machine: live}))
	s, err := server.Listen("127.0.0.1:0", mux, nil)
	assert.NilError(t, err)
	s.Start()
	t.Cleanup(func() { cancel(); s.Close() })
	return "http://" + s.Address()
}

// Guards against an entry instance that does not receive the traffic view when it
// starts, misses a change of the view, or fails to become a member, here with an
// unreachable replica first in its list.
func TestLinkFollowsAndRenews(t *testing.T) {
	f := newFakeReplica()
	url := serve(t, f)
	const dead = "http://127.0.0.1:1" // refuses connections
	rec := &recorder{got: make(chan loop.Message, 64)}
	l := loop.New(64)
	port := l.Add(rec)
	ctx, cancel := context.WithCancel(t.Context())
	go l.Run(ctx)
	link := New(Settings{
		ID: "e1", Address: "127.0.0.1:9", Replicas: []string{dead, url},
		Client: server.NewClient(server.Dialer(nil)), Control: f, Log: zap.NewNop(), Port: port,
	})
	done := make(chan struct{})
	go func() { defer close(done); link.Run(ctx) }()
	var renewed, seen bool
	for !renewed || !seen {
		switch m := (<-rec.got).(type) {
		case entry.LeaseRenewed:
			renewed = m.Epoch > 0
		case entry.TrafficChanged:
			seen = m.View.Entries.Has("e1")
		}
	}
	cancel()
	<-done
	assert.Equal(t, f.View().State.Entries.Len(), 0, "membership left after a graceful stop")
}

func message(t *testing.T, from, to query.Traffic) *replicav1.FollowResponse {
	data, err := codec.EncodeDelta(query.DiffTraffic(from, to))
	assert.NilError(t, err)
	return &replicav1.FollowResponse{Term: uint64(to.Term), Index: uint64(to.Index), Delta: data}
}

// Guards against a view that returns to an older term or revision, as happens when
// a replica that lags behind serves the stream, and against an undetected gap in
// the changes.
func TestOlderStateAndGapsAreRefused(t *testing.T) {
	v5 := query.Traffic{Term: 2, Index: 5, Revision: 3}
	v6 := query.Traffic{Term: 2, Index: 6, Revision: 4, Config: &model.Config{Site: "s"}}
	v7 := query.Traffic{Term: 2, Index: 7, Revision: 5, Config: &model.Config{Site: "t"}}
	l := &Link{current: v6}
	_, _, err := l.nextView(message(t, v6, v7))
	assert.NilError(t, err)
	_, _, err = l.nextView(message(t, query.Traffic{Term: 2, Index: 8, Revision: 6}, query.Traffic{Term: 2, Index: 9, Revision: 6}))
	assert.ErrorIs(t, err, query.ErrGap)
	_, _, err = l.nextView(&replicav1.FollowResponse{Term: 2, Index: 9})
	assert.ErrorIs(t, err, query.ErrGap)
	_, _, err = l.nextView(&replicav1.FollowResponse{Term: 1, Index: 6})
	assert.ErrorIs(t, err, query.ErrStale)
	old, err := codec.EncodeTraffic(v5)
	assert.NilError(t, err)
	held, _, err := l.nextView(&replicav1.FollowResponse{Term: 3, Index: 5, Snapshot: old})
	assert.ErrorIs(t, err, query.ErrStale)
	assert.Equal(t, held.Revision, model.Revision(4))
}
