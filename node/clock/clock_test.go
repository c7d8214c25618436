package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against the use of information, such as a lease, from before a suspension:
// it may have expired while the monotonic clock stood still.
func TestSuspensionInvalidatesEarlierInformation(t *testing.T) {
	d := NewSuspendDetector()
	before := time.Now()
	assert.Assert(t, d.StillValid(before))
	d.suspended.Add(-int64(time.Second)) // CLOCK_BOOTTIME advances by a second more than CLOCK_MONOTONIC
	assert.Assert(t, !d.StillValid(before))
	assert.Assert(t, d.StillValid(time.Now()))
}
