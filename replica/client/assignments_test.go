package client

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/model"
)

type pollStream = connect.BidiStream[replicav1.AssignmentsRequest, replicav1.AssignmentsResponse]

// pollHandler implements only Assignments of the ReplicaQueryService.
type pollHandler struct {
	replicav1connect.UnimplementedReplicaQueryServiceHandler
	serve func(*pollStream) error
}

func (h pollHandler) Assignments(_ context.Context, s *pollStream) error { return h.serve(s) }

func servePolls(t *testing.T, serve func(*pollStream) error) *httptest.Server {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewReplicaQueryServiceHandler(pollHandler{serve: serve}))
	s := httptest.NewUnstartedServer(mux)
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func startPoller(t *testing.T, servers ...*httptest.Server) *AssignmentPoller {
	var addresses []string
	for _, s := range servers {
		addresses = append(addresses, s.Listener.Addr().String())
	}
	r := NewAssignmentPoller(addresses, NewHTTPClient())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

// Guards against polls that are lost because their replica fails: it has no leader,
// it is down, or it ends while polls are open.
func TestPollsContinueOnAnotherReplica(t *testing.T) {
	leaderless := servePolls(t, func(*pollStream) error { return connect.NewError(connect.CodeUnavailable, errors.New("no leader")) })
	down := servePolls(t, nil)
	down.Close()
	ending := servePolls(t, func(s *pollStream) error {
		_ = s.Send(&replicav1.AssignmentsResponse{})
		_, err := s.Receive()
		return errors.Join(err, errors.New("the replica ends"))
	})
	good := servePolls(t, func(s *pollStream) error {
		for {
			r, err := s.Receive()
			if err != nil {
				return err
			}
			_ = s.Send(&replicav1.AssignmentsResponse{Worker: r.Worker, Index: r.Index + 1, Assignments: []*replicav1.Assignment{{Job: "a", Token: 7}}})
		}
	})
	r := startPoller(t, leaderless, down, ending, good)
	for since := range model.Index(3) {
		got, err := r.Assignments(t.Context(), "w", since, 10*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, got.Index, since+1)
		assert.Equal(t, got.Jobs[0].Job, model.JobID("a"))
	}
}

// Guards against a poll that reports unchanged assignments although no replica
// responds, and against a message for each poll that repeats an unanswered one.
func TestUnchangedPollEndsInTime(t *testing.T) {
	requests := make(chan *replicav1.AssignmentsRequest, 16)
	idle := servePolls(t, func(s *pollStream) error {
		_ = s.Send(&replicav1.AssignmentsResponse{})
		for {
			r, err := s.Receive()
			if err != nil {
				return err
			}
			requests <- r
			// A replica that lags sends a state that the worker has already.
			_ = s.Send(&replicav1.AssignmentsResponse{Worker: r.Worker, Index: r.Index - 1})
		}
	})
	r := startPoller(t, idle)
	for !r.serving.Load() {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		got, err := r.Assignments(t.Context(), "w", 5, 20*time.Millisecond)
		assert.NilError(t, err)
		assert.Assert(t, !got.Changed && got.Index == 5)
	}
	assert.Equal(t, (<-requests).Index, uint64(5))
	assert.Equal(t, len(requests), 0)

	silent := startPoller(t, servePolls(t, func(s *pollStream) error { _, err := s.Receive(); return err }))
	_, err := silent.Assignments(t.Context(), "w", 5, 20*time.Millisecond)
	assert.ErrorIs(t, err, errNoReplica)
}
