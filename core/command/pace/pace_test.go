package pace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func tail(ms int) []Serving {
	return []Serving{{Tail: time.Duration(ms) * time.Millisecond, Target: 100 * time.Millisecond}}
}

// Guards against fillers that keep a serving task over its target.
func TestFillersYield(t *testing.T) {
	w := NewWorker().Next(at(0), tail(120))
	assert.Equal(t, w.Percent, 50)
	w = w.Next(at(500), tail(120))
	assert.Equal(t, w.Percent, 25)
	w = w.Next(at(1000), tail(120))
	assert.Equal(t, w.Percent, 0)
}

// Guards against fillers that stand still once the serving task is well, and
// against a pace that swings.
func TestFillersReturnStepByStep(t *testing.T) {
	w := Worker{Percent: 0, changedAt: at(0)}
	w = w.Next(at(300), tail(20))
	assert.Equal(t, w.Percent, 0)
	w = w.Next(at(700), tail(20))
	assert.Equal(t, w.Percent, raise)
	w = w.Next(at(1400), tail(75))
	assert.Equal(t, w.Percent, raise)
	assert.Equal(t, NewWorker().Next(at(0), nil).Percent, Full)
}
