package throttle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func measured(ms int) []Serving {
	return []Serving{{TailLatency: time.Duration(ms) * time.Millisecond, Target: 100 * time.Millisecond}}
}

// Guards against fillers that keep a serving task above its target: their speed must be
// halved at each measurement, and they must be paused after pauseAfter.
func TestFillersSlowDownAboveTarget(t *testing.T) {
	w := NewWorker().Update(at(0), measured(120))
	assert.Equal(t, w.Percent, 50)
	w = w.Update(at(500), measured(120))
	assert.Equal(t, w.Percent, 25)
	w = w.Update(at(1000), measured(120))
	assert.Equal(t, w.Percent, 0)
}

// Guards against fillers that stay paused after the serving task is below its
// target again, and against oscillation: the speed must rise in steps, and not at
// all while the latency is between the two ratios.
func TestFillersSpeedUpInSteps(t *testing.T) {
	w := WorkerState{Percent: 0, changedAt: at(0)}
	w = w.Update(at(300), measured(20))
	assert.Equal(t, w.Percent, 0)
	w = w.Update(at(700), measured(20))
	assert.Equal(t, w.Percent, raisePercent)
	w = w.Update(at(1400), measured(75))
	assert.Equal(t, w.Percent, raisePercent)
	assert.Equal(t, NewWorker().Update(at(0), nil).Percent, FullPercent)
}
