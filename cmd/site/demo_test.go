package site

import (
	"io"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against parts that pass their own tests but fail in combination:
// configuration, targets, traffic, jobs, drain, maintenance, failover, shutdown and
// replay of the recordings. An outcome that the demo no longer checks fails it too.
func TestDemoOutcomesHold(t *testing.T) {
	outcomes, err := RunDemo(t.Context(), io.Discard, logFile(t))
	assert.NilError(t, err)
	for _, o := range outcomes {
		assert.Check(t, o.Holds, "%s: %s", o.Stated, o.Observed)
	}
	assert.Assert(t, len(outcomes) >= 23, "only %d outcomes were checked", len(outcomes))
}

// logFile returns a file for the logs of all processes. If the test fails, the file is
// kept and its name logged.
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
