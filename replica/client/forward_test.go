package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/replica"
)

// localReplica is the replica of the process.
type localReplica struct {
	view   replica.View
	answer result.Code
	hangs  bool // until the deadline, as a leader does that was cut off
	calls  int
}

func (r *localReplica) View() *replica.View { return &r.view }

func (r *localReplica) Propose(ctx context.Context, commands []model.Envelope) ([]result.Result, error) {
	r.calls++
	if r.hangs {
		<-ctx.Done()
	}
	return []result.Result{{Code: r.answer}}, nil
}

func withMembers(v replica.View, addresses ...string) replica.View {
	for _, a := range addresses {
		v.State.Replicas = v.State.Replicas.Set(model.ReplicaID(a), model.ReplicaMember{ID: model.ReplicaID(a), Address: a})
	}
	return v
}

// orderDeadline is how long the operator of the platform waits, less a reserve.
const orderDeadline = 900 * time.Millisecond

func order(t *testing.T, f *Forwarder, command model.Command) result.Code {
	t.Helper()
	return propose(t, f, model.Envelope{Command: command})
}

func propose(t *testing.T, f *Forwarder, env model.Envelope) result.Code {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), orderDeadline)
	defer cancel()
	results, err := f.Propose(ctx, []model.Envelope{env})
	assert.NilError(t, err)
	return results[0].Code
}

// Guards against an operator who loses an attempt because a follower still
// takes a replica for the leader that is gone.
func TestFollowerCommitsOrderWhenTheLeaderIsGone(t *testing.T) {
	gone, next := serve(t, &standIn{silent: true}), serve(t, &standIn{})
	local := &localReplica{view: withMembers(replica.View{LeaderAddress: gone}, gone, next)}
	remote := New([]string{gone}, NewHTTPClient())
	remote.leader.Store(&gone)
	assert.Equal(t, order(t, NewForwarder(local, remote), model.PublishCatalog{}), result.Accepted)
	assert.Equal(t, local.calls, 0)
}

// Guards against an order that waits for the leader of an earlier order, which
// stands still, although this replica follows the next one.
func TestForwardedOrderGoesToTheLeaderThatIsFollowed(t *testing.T) {
	gone, next := serve(t, &standIn{silent: true}), serve(t, &standIn{})
	local := &localReplica{view: withMembers(replica.View{LeaderAddress: next}, gone, next)}
	remote := New(nil, NewHTTPClient())
	remote.leader.Store(&gone)
	began := time.Now()
	assert.Equal(t, order(t, NewForwarder(local, remote), model.PublishCatalog{}), result.Accepted)
	assert.Assert(t, time.Since(began) < orderDeadline/3)
}

// Guards against an operator whose command waits for a leader without a quorum
// until its deadline, while another one leads.
func TestLeaderThatWasCutOffHandsCommandOn(t *testing.T) {
	next := serve(t, &standIn{})
	for _, env := range []model.Envelope{{Command: model.PublishCatalog{}}, {Command: model.AcceptConfig{}, RequestID: "r"}} {
		for _, local := range []*localReplica{
			{view: withMembers(replica.View{IsLeader: true}, next), answer: result.Unknown, hangs: true},
			{view: withMembers(replica.View{IsLeader: true}, next), answer: result.NotLeader},
		} {
			assert.Equal(t, propose(t, NewForwarder(local, New(nil, NewHTTPClient())), env), result.Accepted)
			assert.Equal(t, local.calls, 1)
		}
	}
}

// Guards against a command that is committed twice, and against one that is said
// not to have been appended although it may have been.
func TestUnknownResultIsKept(t *testing.T) {
	next, follower := serve(t, &standIn{}), serve(t, &standIn{leader: "127.0.0.1:1"})
	unknown := func(members ...string) *Forwarder {
		local := &localReplica{view: withMembers(replica.View{IsLeader: true}, members...), answer: result.Unknown}
		return NewForwarder(local, New(nil, NewHTTPClient()))
	}
	assert.Equal(t, order(t, unknown(next), model.SetReplicas{}), result.Unknown)
	assert.Equal(t, order(t, unknown(follower), model.PublishCatalog{}), result.Unknown)
}

// Guards against a leader that goes on being asked first after it was silent,
// while the others name it until they have elected the next one.
func TestSilentLeaderIsAskedLast(t *testing.T) {
	c := New([]string{"a", "b", "c"}, NewHTTPClient())
	leader := "a"
	c.leader.Store(&leader)
	assert.Equal(t, c.candidates(nil)[0], "a")
	list := c.candidates(map[string]bool{"a": true})
	assert.Equal(t, list[2], "a")
	c.learn([]string{"a", "d"})
	assert.DeepEqual(t, c.candidates(map[string]bool{"a": true}), []string{"d", "a"})
	assert.Equal(t, len(c.candidates(map[string]bool{"a": true, "d": true})), 4, "seeds are asked once no member answers")
}

// Guards against an instance that is cut off and holds every order as long as
// the first, and against one that goes on refusing once a leader answers.
func TestLeaderIsLostUntilOneAnswers(t *testing.T) {
	c := New([]string{serve(t, &standIn{silent: true})}, NewHTTPClient())
	propose := func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := c.Propose(ctx, submission)
		assert.NilError(t, err)
	}
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	propose(gone)
	assert.Assert(t, !c.LeaderLost(), "the caller has gone, which says nothing about the leader")
	propose(t.Context())
	assert.Assert(t, c.LeaderLost())
	c.SetSeeds([]string{serve(t, &standIn{})})
	_, err := c.Find(t.Context(), "h", "/q/1")
	assert.NilError(t, err)
	assert.Assert(t, !c.LeaderLost())
}

// Guards against a large order that takes longer over a slow link than its sender waits.
func TestLargeOrderIsCompressed(t *testing.T) {
	sizes := make(chan int64, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		sizes <- n
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	c := New(nil, NewHTTPClient())
	c.attempt(t.Context(), server.Listener.Addr().String(), &replicav1.ProposeRequest{Envelopes: [][]byte{bytes.Repeat([]byte(`{"name":"queue"}`), 4096)}})
	assert.Assert(t, <-sizes < 8<<10)
}
