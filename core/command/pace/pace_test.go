package pace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a leader that gets more reports per second the larger its fleet is, and
// against a small fleet that reports less often than before.
func TestReportsPerSecondAreBounded(t *testing.T) {
	const base, maxPerSecond = 200 * time.Millisecond, 3000
	for workers := 1; workers <= 4000; workers += 7 {
		interval := Interval(workers, base)
		assert.Assert(t, float64(workers)/interval.Seconds() <= maxPerSecond, "%d workers report every %s", workers, interval)
		assert.Assert(t, interval >= Interval(workers-1, base))
		assert.Assert(t, interval <= MaxInterval)
	}
	assert.Equal(t, Interval(smallFleet, base), base)
	assert.Equal(t, Interval(3000, 5*time.Second), 5*time.Second)
}
