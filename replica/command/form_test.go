package command

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/wait"
)

// Guards against a site that never forms because one of the addresses that its
// replicas were told belongs to an instance without a disk.
func TestSiteFormsBesideAnInstanceWithoutAReplica(t *testing.T) {
	settings := siteSettings(t, 3)
	listener, err := net.Listen("tcp", settings[0].Address)
	assert.NilError(t, err)
	diskless := server(http.NotFoundHandler())
	go func() { _ = diskless.Serve(listener) }()
	t.Cleanup(func() { _ = diskless.Close() })
	site := []*instance{start(t, settings[1]), start(t, settings[2])}
	commit(t, site, 0, 5)
	for _, r := range site {
		eventually(t, r.Replica, "both replicas are members", func() bool { return r.View().State.Replicas.Len() == 2 })
	}
}

// Guards against replicas that lost their disks and form a second site with
// each other while those that hold the log are down.
func TestEmptyReplicasOfAnExistingSiteDoNotFormANewOne(t *testing.T) {
	settings := siteSettings(t, 2)
	var site []*instance
	for _, s := range settings {
		s.JoinOnly = true
		site = append(site, start(t, s))
	}
	assert.NilError(t, wait.For(t.Context(), 3*enrollEvery))
	for _, r := range site {
		assert.Equal(t, r.Status().Last, model.Index(0))
	}
}
