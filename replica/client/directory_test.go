package client

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// serveDirectory runs a server with the services of the directory and returns its address.
func serveDirectory(t *testing.T, d *Directory) string {
	t.Helper()
	mux := http.NewServeMux()
	d.Route(mux.Handle)
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against a client that finds no leader because all of its seeds are
// instances without a replica.
func TestSeedWithoutReplicaNamesTheReplicas(t *testing.T) {
	leader := &fakeReplica{}
	leader.replicas = []string{serve(t, leader)}
	c := New(leader.replicas, NewHTTPClient())
	d := NewDirectory(c)
	_, err := d.refresh(t.Context())
	assert.NilError(t, err)
	seed := serveDirectory(t, d)

	reader := New([]string{seed}, NewHTTPClient())
	_, err = reader.Find(t.Context(), "h", "/q/1", nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, *reader.members.Load(), leader.replicas)
	results, err := New([]string{seed}, NewHTTPClient()).Propose(t.Context(), submission)
	assert.NilError(t, err)
	assert.Equal(t, results[0].Code, result.Accepted)
}

// Guards against replicas that no client finds after a restart of all instances,
// because the seeds have no replica, and against such a seed being counted as a
// replica when a site is bootstrapped.
func TestSeedWithoutReplicaLearnsJoiningReplica(t *testing.T) {
	leader := &fakeReplica{}
	leader.replicas = []string{serve(t, leader)}
	seed := serveDirectory(t, NewDirectory(New(nil, NewHTTPClient())))
	rpc := replicav1connect.NewReplicationServiceClient(NewHTTPClient(), "http://"+seed)
	_, err := rpc.Identify(t.Context(), connect.NewRequest(&replicav1.IdentifyRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnimplemented)
	_, err = rpc.Join(t.Context(), connect.NewRequest(&replicav1.JoinRequest{Replica: &replicav1.ReplicaInfo{Address: leader.address}}))
	assert.NilError(t, err)
	found, err := New([]string{seed}, NewHTTPClient()).Find(t.Context(), "h", "/q/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, found.Phase, model.WorkloadCompleted)
}

// Guards against the loss of the known members when the seeds are replaced.
func TestNewSeedsKeepKnownMembers(t *testing.T) {
	leader := &fakeReplica{}
	leader.replicas = []string{serve(t, leader)}
	c := New(leader.replicas, NewHTTPClient())
	_, err := c.Find(t.Context(), "h", "/q/1", nil)
	assert.NilError(t, err)
	c.SetSeeds([]string{"127.0.0.1:1"})
	c.leader.Store(nil)
	_, err = c.Find(t.Context(), "h", "/q/1", nil)
	assert.NilError(t, err)
}
