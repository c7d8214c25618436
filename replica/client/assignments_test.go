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

// pollHandler answers polls of workers.
type pollHandler struct {
	replicav1connect.UnimplementedReplicaQueryServiceHandler
	answer func(*replicav1.AssignmentsRequest) (*replicav1.AssignmentsResponse, error)
}

func (h pollHandler) Assignments(_ context.Context, r *connect.Request[replicav1.AssignmentsRequest]) (*connect.Response[replicav1.AssignmentsResponse], error) {
	m, err := h.answer(r.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(m), nil
}

func servePolls(t *testing.T, answer func(*replicav1.AssignmentsRequest) (*replicav1.AssignmentsResponse, error)) *httptest.Server {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewReplicaQueryServiceHandler(pollHandler{answer: answer}))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s
}

// Guards against a poll that fails because one replica is lost, is cut off or
// ends while it waits, and against a reader that goes back to it each time.
func TestReaderGoesOnWithAnotherReplica(t *testing.T) {
	cutOff := 0
	first := servePolls(t, func(*replicav1.AssignmentsRequest) (*replicav1.AssignmentsResponse, error) {
		cutOff++
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no contact with a leader"))
	})
	lost := servePolls(t, nil)
	lost.Close()
	third := servePolls(t, func(r *replicav1.AssignmentsRequest) (*replicav1.AssignmentsResponse, error) {
		assert.Check(t, r.WaitMs <= 10_000 && r.WaitMs > 5_000, r.WaitMs)
		return &replicav1.AssignmentsResponse{Index: r.Index + 1, Changed: true, Assignments: []*replicav1.Assignment{{Job: r.Worker + "-job", Token: 7}}}, nil
	})
	var addresses []string
	for _, s := range []*httptest.Server{first, lost, third} {
		addresses = append(addresses, s.Listener.Addr().String())
	}
	r := NewReader(addresses, http.DefaultClient)
	for range 2 {
		got, err := r.Assignments(t.Context(), "w", 3, 10*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, got.Index, model.Index(4))
		assert.Equal(t, got.Jobs[0].Job, model.JobID("w-job"))
	}
	assert.Equal(t, cutOff, 1)
	third.Close()
	_, err := r.Assignments(t.Context(), "w", 3, 10*time.Second)
	assert.ErrorContains(t, err, "no contact with a leader")
}
