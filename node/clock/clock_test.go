package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against trust in what was known before the machine was suspended.
func TestSuspensionEndsTrust(t *testing.T) {
	g := NewGuard()
	before := time.Now()
	assert.Assert(t, g.Trusted(before))
	g.offset.Add(-int64(time.Second)) // the other clock gains a second
	assert.Assert(t, !g.Trusted(before))
	assert.Assert(t, g.Trusted(time.Now()))
}
