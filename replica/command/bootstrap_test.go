package command

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/wait"
)

// serveWithoutReplica runs a server that serves no replica at the address.
func serveWithoutReplica(t *testing.T, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	diskless := server(http.NotFoundHandler())
	go func() { _ = diskless.Serve(listener) }()
	t.Cleanup(func() { _ = diskless.Close() })
}

// Guards against a site that is never bootstrapped because one of the configured
// peers is an instance without a disk, which serves no replica.
func TestSiteFormsWhenAPeerServesNoReplica(t *testing.T) {
	settings := siteSettings(t, 3)
	serveWithoutReplica(t, settings[0].Address)
	site := []*instance{start(t, settings[1]), start(t, settings[2])}
	commit(t, site, 0, 5)
	for _, r := range site {
		eventually(t, r.Replica, "both replicas are members", func() bool { return r.View().State.Replicas.Len() == 2 })
	}
}

// Guards against replicas that lost their disks and bootstrap a second site while
// the replicas that have the log are down.
func TestEmptyReplicasOfAnExistingSiteDoNotFormANewOne(t *testing.T) {
	settings := siteSettings(t, 2)
	var site []*instance
	for _, s := range settings {
		s.JoinOnly = true
		site = append(site, start(t, s))
	}
	assert.NilError(t, wait.Sleep(t.Context(), 3*enrollInterval))
	for _, r := range site {
		assert.Equal(t, r.Status().Last, model.Index(0))
	}
}

// Guards against two initial memberships for one site: one from the peers and one
// from a replica that the peers do not list.
func TestReplicaThatIsNoPeerDoesNotFormASite(t *testing.T) {
	settings := siteSettings(t, 3)
	outsider := settings[0]
	outsider.Peers = settings[0].Peers[1:]
	for _, s := range settings[1:] {
		s.JoinOnly = true
		start(t, s)
	}
	r := start(t, outsider)
	assert.NilError(t, wait.Sleep(t.Context(), 3*enrollInterval))
	assert.Equal(t, r.Status().Last, model.Index(0))
}

// Guards against replicas that each bootstrap a separate site because all of their
// configured peers are instances without a disk.
func TestReplicaDoesNotFormASiteWithoutAPeerThatKeepsAReplica(t *testing.T) {
	settings := siteSettings(t, 2)
	outsider := settings[1]
	outsider.Peers = settings[1].Peers[:1]
	serveWithoutReplica(t, settings[0].Address)
	r := start(t, outsider)
	assert.NilError(t, wait.Sleep(t.Context(), 3*enrollInterval))
	assert.Equal(t, r.Status().Last, model.Index(0))
}
