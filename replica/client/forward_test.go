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

// localReplica is a fake of the local replica.
type localReplica struct {
	view   replica.View
	answer result.Code
	hangs  bool // Propose blocks until the deadline, as on a leader without a quorum
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

// commandDeadline is the time that the platform's operator waits for the result of a
// command, less a margin.
const commandDeadline = 900 * time.Millisecond

func proposeCommand(t *testing.T, f *Forwarder, command model.Command) result.Code {
	t.Helper()
	return propose(t, f, model.Envelope{Command: command})
}

func propose(t *testing.T, f *Forwarder, env model.Envelope) result.Code {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), commandDeadline)
	defer cancel()
	results, err := f.Propose(ctx, []model.Envelope{env})
	assert.NilError(t, err)
	return results[0].Code
}

// Guards against a command that fails because a follower forwards it only to a
// leader that is down but still recorded as the leader.
func TestFollowerCommitsOrderWhenTheLeaderIsGone(t *testing.T) {
	old, next := serve(t, &fakeReplica{silent: true}), serve(t, &fakeReplica{})
	local := &localReplica{view: withMembers(replica.View{LeaderAddress: old}, old, next)}
	remote := New([]string{old}, NewHTTPClient())
	remote.leader.Store(&old)
	assert.Equal(t, proposeCommand(t, NewForwarder(local, remote), model.PublishCatalog{}), result.Accepted)
	assert.Equal(t, local.calls, 0)
}

// Guards against a command that waits for the leader of an earlier command, which no
// longer responds, although the local replica follows a new leader.
func TestForwardedOrderGoesToTheLeaderThatIsFollowed(t *testing.T) {
	old, next := serve(t, &fakeReplica{silent: true}), serve(t, &fakeReplica{})
	local := &localReplica{view: withMembers(replica.View{LeaderAddress: next}, old, next)}
	remote := New(nil, NewHTTPClient())
	remote.leader.Store(&old)
	start := time.Now()
	assert.Equal(t, proposeCommand(t, NewForwarder(local, remote), model.PublishCatalog{}), result.Accepted)
	assert.Assert(t, time.Since(start) < commandDeadline/3)
}

// Guards against a command that waits until its deadline at a leader that has lost
// its quorum, although another replica has become the leader.
func TestCutOffLeaderForwardsCommand(t *testing.T) {
	next := serve(t, &fakeReplica{})
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

// Guards against a non-repeatable command that is committed twice, and against a
// result that rules out an append although the command may have been appended.
func TestUnknownResultIsKept(t *testing.T) {
	next, follower := serve(t, &fakeReplica{}), serve(t, &fakeReplica{leader: "127.0.0.1:1"})
	unknown := func(members ...string) *Forwarder {
		local := &localReplica{view: withMembers(replica.View{IsLeader: true}, members...), answer: result.Unknown}
		return NewForwarder(local, New(nil, NewHTTPClient()))
	}
	assert.Equal(t, proposeCommand(t, unknown(next), model.SetReplicas{}), result.Unknown)
	assert.Equal(t, proposeCommand(t, unknown(follower), model.PublishCatalog{}), result.Unknown)
}

// Guards against an unresponsive leader that is tried first in every round, because
// the followers name it until they have elected a new leader.
func TestSilentLeaderIsTriedLast(t *testing.T) {
	c := New([]string{"a", "b", "c"}, NewHTTPClient())
	leader := "a"
	c.leader.Store(&leader)
	assert.Equal(t, c.candidates(nil)[0], "a")
	list := c.candidates(map[string]bool{"a": true})
	assert.Equal(t, list[2], "a")
	c.setMembers([]string{"a", "d"})
	assert.DeepEqual(t, c.candidates(map[string]bool{"a": true}), []string{"d", "a"})
	assert.Equal(t, len(c.candidates(map[string]bool{"a": true, "d": true})), 4, "seeds are tried when no member responds")
}

// Guards against a partitioned instance on which every command blocks until its
// deadline, and against one that refuses commands after a leader responds again.
func TestNoRecentLeaderUntilLeaderResponds(t *testing.T) {
	c := New([]string{serve(t, &fakeReplica{silent: true})}, NewHTTPClient())
	propose := func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := c.Propose(ctx, submission)
		assert.NilError(t, err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	propose(cancelled)
	assert.Assert(t, !c.NoRecentLeader(), "a cancelled call does not show that the leader is lost")
	propose(t.Context())
	assert.Assert(t, c.NoRecentLeader())
	c.SetSeeds([]string{serve(t, &fakeReplica{})})
	_, err := c.Find(t.Context(), "h", "/q/1", nil)
	assert.NilError(t, err)
	assert.Assert(t, !c.NoRecentLeader())
}

// Guards against a large command that exceeds its deadline on a slow link because the
// request is not compressed.
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
	c.attempt(t.Context(), presumedLeader{address: server.Listener.Addr().String()}, &replicav1.ProposeRequest{Envelopes: [][]byte{bytes.Repeat([]byte(`{"name":"queue"}`), 4096)}})
	assert.Assert(t, <-sizes < 8<<10)
}
