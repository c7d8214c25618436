package query_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

// Guards against an inflow that counts lasting tasks, running tasks as waiting, or work of
// another window, and against one that misses steps that wait for others.
func TestInflows(t *testing.T) {
	s := workloadState(t,
		model.Step{Count: 4, Need: model.Resources{MilliCPU: 1000}, Estimate: 1500 * time.Millisecond},
		model.Step{Count: 2, Need: model.Resources{MilliCPU: 1000}, Estimate: 500 * time.Millisecond, After: []int{0}},
		model.Step{Count: 9, Need: model.Resources{MilliCPU: 1000}, Lasting: true})
	s = started(s, 0, 0)
	windows := query.InflowWindows{Window: time.Second, Lead: 2 * time.Second, PerRun: 500 * time.Millisecond}
	accepted := s.Clock
	at := func(d time.Duration) query.Inflow { return query.Inflows(s, accepted.Add(d), windows)["p"] }

	now := at(0)
	assert.Equal(t, now.Waiting.Seconds.MilliCPU, int64(3*2000+2*1000))
	assert.Equal(t, now.Recent, query.Work{Seconds: model.Resources{MilliCPU: 4*2000 + 2*1000}, Rounds: 1})
	assert.Equal(t, now.Earlier, query.Work{})
	assert.Equal(t, at(time.Second).Earlier, now.Recent)
	assert.Equal(t, at(time.Second).Recent, query.Work{})
	assert.Equal(t, at(2*time.Second).Earlier, query.Work{})

	// A round that is due within the lead time waits, and has not arrived yet.
	assert.Equal(t, at(-2*time.Second).Waiting, now.Waiting)
	assert.Equal(t, at(-2*time.Second).Recent, query.Work{})
	assert.Equal(t, at(-3*time.Second).Waiting, query.Work{})
}
