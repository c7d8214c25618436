package credit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against heartbeats that take more of an entry instance the more
// targets a site has, and against targets announced as lost between two beats.
func TestPaceBoundsHeartbeatsOfAnEntryInstance(t *testing.T) {
	for _, c := range []struct {
		targets, members int
		pace             time.Duration
	}{{0, 0, 500 * time.Millisecond}, {50, 12, 500 * time.Millisecond}, {720, 12, 3 * time.Second}, {720, 6, 6 * time.Second}} {
		pace := Pace(c.targets, c.members)
		assert.Equal(t, pace, c.pace)
		assert.Assert(t, Silence(pace) >= 3*pace)
		perSecond := float64(c.targets) / float64(max(c.members, 1)) / pace.Seconds()
		assert.Assert(t, perSecond <= 20.001, "%d targets, %d members: %.1f heartbeats a second", c.targets, c.members, perSecond)
	}
}
