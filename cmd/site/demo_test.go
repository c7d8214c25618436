package site

import (
	"io"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a system whose parts pass their own tests and do not work
// together: configuration, targets, traffic, drain, failover and shutdown.
func TestDemoOutcomesHold(t *testing.T) {
	outcomes, err := RunDemo(t.Context(), io.Discard, logFile(t))
	assert.NilError(t, err)
	for _, o := range outcomes {
		assert.Check(t, o.Holds, "%s: %s", o.Stated, o.Observed)
	}
	assert.Assert(t, len(outcomes) >= 23, "only %d outcomes were checked", len(outcomes))
}

// logFile returns a file for the logs of all processes. It is kept and named if the test fails.
func logFile(t *testing.T) *os.File {
	t.Helper()
	f, err := os.CreateTemp("", "lacewingturn-demo-*.log")
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.Check(t, f.Close())
		if t.Failed() {
			t.Logf("logs: %s", f.Name())
			return
		}
		assert.Check(t, os.Remove(f.Name()))
	})
	return f
}
