package command

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/node/wait"
)

// catchUpBound is how long a machine that lost its disk has after it is back, until the next one
// may lose its disk.
const catchUpBound = 4 * time.Second

// Guards against a site that loses its quorum for good because leaders lose their disks one after
// the other: the new incarnation at the same address has to be a voter in time.
func TestLeadersThatLoseTheirDisksInTurnAreReplacedInTime(t *testing.T) {
	const losses = 4
	settings := siteSettings(t, 3)
	site := make([]*instance, len(settings))
	for i, s := range settings {
		site[i] = start(t, s)
	}
	commit(t, site, 0, 10)
	for n := range losses {
		lost := leaderOf(t, site)
		lost.stop()
		assert.NilError(t, os.RemoveAll(lost.settings.DataFolder))
		s := lost.settings
		s.JoinOnly = true
		assert.NilError(t, os.MkdirAll(s.DataFolder, 0o700))
		assert.NilError(t, wait.Sleep(t.Context(), 100*time.Millisecond))
		back, deadline := start(t, s), time.Now().Add(catchUpBound)
		for i := range site {
			if site[i] == lost {
				site[i] = back
			}
		}
		for members := back.Status().Members; !members.Voter(back.ID()) || len(members) != len(site); members = back.Status().Members {
			assert.Assert(t, time.Now().Before(deadline), "loss %d: %s is no voter of %v", n, back.ID(), members)
			assert.NilError(t, wait.Sleep(t.Context(), 20*time.Millisecond))
		}
		commit(t, site, 10*(n+1), 10)
	}
}
