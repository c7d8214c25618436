package credit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a heartbeat load of an entry instance that grows with the number of targets of
// the site, and against a timeout so short that a target is announced as lost between two
// heartbeats.
func TestHeartbeatRateOfAnEntryInstanceIsBounded(t *testing.T) {
	for _, c := range []struct {
		targets, members int
		interval         time.Duration
	}{{0, 0, 500 * time.Millisecond}, {50, 12, 500 * time.Millisecond}, {720, 12, 3 * time.Second}, {720, 6, 6 * time.Second}} {
		interval := HeartbeatInterval(c.targets, c.members)
		assert.Equal(t, interval, c.interval)
		assert.Assert(t, HeartbeatTimeout(interval) >= 3*interval)
		perSecond := float64(c.targets) / float64(max(c.members, 1)) / interval.Seconds()
		assert.Assert(t, perSecond <= 20.001, "%d targets, %d members: %.1f heartbeats a second, want at most 20", c.targets, c.members, perSecond)
	}
}
