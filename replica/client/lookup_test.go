package client

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/result"
)

// proposeAtOnce proposes n submissions at the same time and returns the codes of their
// results.
func proposeAtOnce(t *testing.T, c *Client, n int, timeout time.Duration) []result.Code {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	codes := make([]result.Code, n)
	var calls sync.WaitGroup
	for i := range codes {
		calls.Go(func() {
			results, err := c.Propose(ctx, submission)
			assert.Check(t, err)
			codes[i] = results[0].Code
		})
	}
	calls.Wait()
	return codes
}

// Guards against waiting calls that each ask all replicas again and again while there is no
// leader: after a restart of all replicas, these calls use up the processor time that the
// election needs.
func TestWaitingCallsShareOneLookup(t *testing.T) {
	const (
		waiting = 200
		timeout = 500 * time.Millisecond
	)
	replicas := []*fakeReplica{{leader: "127.0.0.1:1"}, {leader: "127.0.0.1:1"}, {leader: "127.0.0.1:1"}}
	var addresses []string
	for _, r := range replicas {
		addresses = append(addresses, serve(t, r))
	}
	for _, code := range proposeAtOnce(t, New(addresses, NewHTTPClient()), waiting, timeout) {
		assert.Equal(t, code, result.NoQuorum)
	}
	calls := int64(0)
	for _, r := range replicas {
		calls += r.calls.Load()
	}
	assert.Assert(t, calls < waiting, "%d calls", calls)
}

// Guards against commands that are sent to a leader that has stopped answering, so that
// their callers cannot be told that they have not run.
func TestCommandsAreNotSentToASilentLeader(t *testing.T) {
	silent := &fakeReplica{silent: true}
	address := serve(t, silent)
	c := New([]string{address}, NewHTTPClient())
	c.leader.Store(&address)
	assert.Equal(t, proposeAtOnce(t, c, 1, 200*time.Millisecond)[0], result.Unknown)
	for _, code := range proposeAtOnce(t, c, 20, 200*time.Millisecond) {
		assert.Equal(t, code, result.NoQuorum)
	}
}

// Guards against waiting calls that miss the election of a leader.
func TestWaitingCallsReachTheNewLeader(t *testing.T) {
	next := &fakeReplica{}
	address := serve(t, next)
	silent := serve(t, &fakeReplica{silent: true})
	c := New([]string{silent, serve(t, &fakeReplica{leader: address}), serve(t, &fakeReplica{silent: true})}, NewHTTPClient())
	c.leader.Store(&silent)
	for _, code := range proposeAtOnce(t, c, 20, 2*time.Second) {
		assert.Equal(t, code, result.Accepted)
	}
}

// Guards against a command whose answer is given up while there is time left: the leader
// that has just been elected takes long for the many calls that have waited for it.
func TestBusyNewLeaderIsAwaited(t *testing.T) {
	busy := serve(t, &fakeReplica{delay: 600 * time.Millisecond})
	codes := proposeAtOnce(t, New([]string{busy}, NewHTTPClient()), 1, time.Second)
	assert.Equal(t, codes[0], result.Accepted)
}

// Guards against a lookup that finds no leader on a site whose replicas do not serve queries
// about workloads.
func TestLeaderIsFoundWithoutQueries(t *testing.T) {
	server := httptest.NewUnstartedServer(http.NewServeMux())
	server.Config.Handler.(*http.ServeMux).Handle(replicav1connect.NewReplicaCommandServiceHandler(&fakeReplica{}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	codes := proposeAtOnce(t, New([]string{server.Listener.Addr().String()}, NewHTTPClient()), 1, 2*time.Second)
	assert.Equal(t, codes[0], result.Accepted)
}
