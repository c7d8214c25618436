package client

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"lacewingturn.example/api/codec"
	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	workloadv1 "lacewingturn.example/api/gen/lacewingturn/workload/v1"
	"lacewingturn.example/api/gen/lacewingturn/workload/v1/workloadv1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/replica"
)

// fakeReplica responds to every call, or to none while silent is set.
type fakeReplica struct {
	replicav1connect.UnimplementedReplicaCommandServiceHandler
	workloadv1connect.UnimplementedWorkloadQueryServiceHandler
	silent   bool
	delay    time.Duration // of each result of Propose
	calls    atomic.Int64
	answer   result.Code // of Propose; Accepted if 0
	address  string
	leader   string // address; empty if this replica is the leader
	replicas []string
}

// wait blocks a call to a silent replica until its context ends. The deadline is
// sent with the call and may expire here before it expires at the caller.
func (s *fakeReplica) wait(ctx context.Context) error {
	s.calls.Add(1)
	if !s.silent {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s *fakeReplica) Propose(ctx context.Context, req *connect.Request[replicav1.ProposeRequest]) (*connect.Response[replicav1.ProposeResponse], error) {
	if err := s.wait(ctx); err != nil {
		return nil, err
	}
	if s.leader != "" {
		return connect.NewResponse(&replicav1.ProposeResponse{NotLeader: true, LeaderAddress: s.leader}), nil
	}
	time.Sleep(s.delay)
	data, err := codec.EncodeResult(result.Result{Code: cmp.Or(s.answer, result.Accepted)})
	return connect.NewResponse(&replicav1.ProposeResponse{Results: [][]byte{data}}), err
}

func (s *fakeReplica) Find(ctx context.Context, _ *connect.Request[workloadv1.FindRequest]) (*connect.Response[workloadv1.FindResponse], error) {
	if err := s.wait(ctx); err != nil {
		return nil, err
	}
	lead := &workloadv1.Leadership{NotLeader: s.leader != "", LeaderAddress: s.leader, Replicas: s.replicas}
	return connect.NewResponse(&workloadv1.FindResponse{Leadership: lead, CatalogKnown: true, QueueKnown: true, WorkloadKnown: true, Phase: 3}), nil
}

func serve(t *testing.T, s *fakeReplica) string {
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewReplicaCommandServiceHandler(s))
	mux.Handle(workloadv1connect.NewWorkloadQueryServiceHandler(s))
	server := httptest.NewUnstartedServer(mux)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = protocols
	server.Start()
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s.address
}

var submission = []model.Envelope{{Command: model.SubmitWorkload{Host: "h", Path: "/q/1"}}}

// Guards against a submission that fails because the first replica does not
// respond, although the leader could commit it before the deadline.
func TestSilentReplicaLeavesTimeForAnother(t *testing.T) {
	silent, leader := serve(t, &fakeReplica{silent: true}), serve(t, &fakeReplica{})
	c := New([]string{silent, leader}, NewHTTPClient())
	c.leader.Store(&silent)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	results, err := c.Propose(ctx, submission)
	assert.NilError(t, err)
	assert.Equal(t, results[0].Code, result.Accepted)
}

// Guards against a client that does not discover the current members and later
// knows only replicas that have been replaced.
func TestClientDiscoversMembers(t *testing.T) {
	leader := &fakeReplica{}
	address := serve(t, leader)
	follower := serve(t, &fakeReplica{leader: address, replicas: []string{address}})
	leader.replicas = []string{address}
	c := New([]string{follower}, NewHTTPClient())
	found, err := c.Find(t.Context(), "h", "/q/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, found, WorkloadStatus{QueueKnown: true, WorkloadKnown: true, Phase: model.WorkloadCompleted})
	assert.DeepEqual(t, *c.members.Load(), []string{address})
}

// Guards against a command that counts as possibly committed although no replica was ever
// connected: replicas without power refuse no connection, so that the attempts end with
// their deadlines while connections are being opened.
func TestUnconnectedCommandWasNotAppended(t *testing.T) {
	transport := NewHTTPClient().Transport.(*http.Transport)
	transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c := New([]string{"10.0.0.1:1", "10.0.0.2:1"}, &http.Client{Transport: transport})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	results, err := c.Propose(ctx, submission)
	assert.NilError(t, err)
	assert.Equal(t, results[0].Code, result.NoQuorum)
}

// Guards against a command that counts as certainly not committed although it was sent to a
// replica that did not answer.
func TestUnansweredCommandMayBeAppended(t *testing.T) {
	silent := serve(t, &fakeReplica{silent: true})
	c := New([]string{silent}, NewHTTPClient())
	c.leader.Store(&silent)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	results, err := c.Propose(ctx, submission)
	assert.NilError(t, err)
	assert.Equal(t, results[0].Code, result.Unknown)
}

// Guards against a refusal of a replica that appended nothing which rules out that the
// command was appended by the replica that was tried before and did not answer.
func TestRefusalOfAnotherReplicaLeavesTheCommandUnknown(t *testing.T) {
	for _, refusal := range []result.Code{result.Overloaded, result.Stopping} {
		silent, other := serve(t, &fakeReplica{silent: true}), serve(t, &fakeReplica{answer: refusal})
		c := New([]string{silent, other}, NewHTTPClient())
		c.leader.Store(&silent)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		results, err := c.Propose(ctx, submission)
		cancel()
		assert.NilError(t, err)
		assert.Equal(t, results[0].Code, result.Unknown, refusal.String())
	}
}

// Guards against a caller that is told that its submission was rejected although it runs: the first
// attempt was committed, and its key or its queue was withdrawn before the second one.
func TestRefusedRepetitionLeavesTheSubmissionUnknown(t *testing.T) {
	for code, want := range map[result.Code]result.Code{
		result.UnknownKey: result.Unknown, result.NotFound: result.Unknown, result.WrongAccount: result.Unknown, result.Unchanged: result.Unchanged,
	} {
		silent, next := serve(t, &fakeReplica{silent: true}), serve(t, &fakeReplica{answer: code})
		c := New([]string{silent, next}, NewHTTPClient())
		c.leader.Store(&silent)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		results, err := c.Propose(ctx, submission)
		cancel()
		assert.NilError(t, err)
		assert.Equal(t, results[0].Code, want, code.String())

		local := &localReplica{view: withMembers(replica.View{IsLeader: true}, next), answer: result.Unknown}
		assert.Equal(t, proposeCommand(t, NewForwarder(local, New(nil, NewHTTPClient())), submission[0].Command), want, code.String())
	}
}

// Guards against a first refusal that is taken for one that leaves something open.
func TestRefusalOfTheFirstAttemptIsFinal(t *testing.T) {
	c := New([]string{serve(t, &fakeReplica{answer: result.UnknownKey})}, NewHTTPClient())
	results, err := c.Propose(t.Context(), submission)
	assert.NilError(t, err)
	assert.Equal(t, results[0].Code, result.UnknownKey)
}

// Guards against a command that is refused because the replica that led is stopping,
// although another one could commit it before the deadline.
func TestCommandPassesStoppingReplica(t *testing.T) {
	stopping, next := serve(t, &fakeReplica{answer: result.Stopping}), serve(t, &fakeReplica{})
	c := New([]string{stopping, next}, NewHTTPClient())
	c.leader.Store(&stopping)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	results, err := c.Propose(ctx, submission)
	assert.NilError(t, err)
	assert.Equal(t, results[0].Code, result.Accepted)
}
