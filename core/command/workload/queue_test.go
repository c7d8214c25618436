package workload

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Guards against a caller that uses the ID of another queue's workload, and is told that its
// own was accepted or cancels the other.
func TestWorkloadOfAnotherQueueIsNotTouched(t *testing.T) {
	w := newFixture(t)
	const other = "/other/"
	w.s.Catalog.Queues = append(w.s.Catalog.Queues, model.Queue{Name: "other", Host: host, Prefix: other, Pool: "pool"})
	submit := func(at string) result.Code {
		return w.apply(model.SubmitWorkload{Host: host, Path: at + string(id), Workload: model.Workload{Steps: []model.Step{{Count: 1}}}}).Code
	}
	assert.Equal(t, submit(prefix), result.Accepted)
	assert.Equal(t, submit(other), result.Exists)
	assert.Equal(t, submit(prefix), result.Unchanged)
	cancel := func(at string, inQueue bool) result.Code {
		return w.apply(model.CancelWorkload{Host: host, Path: at + string(id), InQueue: inQueue}).Code
	}
	assert.Equal(t, cancel(other, true), result.Exists)
	assert.Equal(t, w.s.Workloads.Len(), 1)
	before := w.s
	assert.Equal(t, cancel(other, false), result.OK) // an entry of an earlier release
	w.s = before
	assert.Equal(t, cancel(prefix, true), result.OK)
}
