package site

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a system whose parts pass their own tests and do not work
// together: configuration, targets, traffic, drain, failover and shutdown.
func TestDemoOutcomesHold(t *testing.T) {
	outcomes, err := RunDemo(t.Context(), io.Discard, io.Discard)
	assert.NilError(t, err)
	for _, o := range outcomes {
		assert.Assert(t, o.Holds, "%s: %s", o.Stated, o.Observed)
	}
	assert.Assert(t, len(outcomes) >= 23, "only %d outcomes were checked", len(outcomes))
}
