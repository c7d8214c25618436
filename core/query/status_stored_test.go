package query_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

// Guards against a status that does not show who fills the memory for workloads, or that lists
// hundreds of queues.
func TestStatusShowsWhoTakesTheMemory(t *testing.T) {
	s := model.State{Clock: 1000, Catalog: &model.Catalog{Version: 1, Pools: []model.WorkerPool{{Name: "p"}}}}
	for i := range 8 {
		name := fmt.Sprintf("q%d", i)
		s.Catalog.Queues = append(s.Catalog.Queues, model.Queue{Name: model.QueueName(name), Host: "h", Prefix: "/" + name + "/", Pool: "p"})
	}
	submit := func(queue, id int) {
		s, _ = command.Apply(s, s.Index+1, 1, model.Envelope{Command: model.SubmitWorkload{
			Host: "h", Path: fmt.Sprintf("/q%d/%016x", queue, id), Workload: model.Workload{Steps: []model.Step{{Count: 1}}},
		}})
	}
	for i := range 8 {
		submit(i, i)
	}
	submit(3, 20)
	submit(3, 21)
	submit(5, 22)
	v := query.Status(s, query.LocalStatus{}).Stored
	assert.Equal(t, v.Bytes, s.Stored.Total)
	assert.Equal(t, len(v.Largest), 5)
	assert.Equal(t, v.Largest[0].Name, "queue q3")
	assert.Equal(t, v.Largest[1].Name, "queue q5")
	assert.Equal(t, v.Largest[0].Bytes, 3*v.Largest[4].Bytes)
	s, _ = command.Apply(s, s.Index+1, 1, model.Envelope{Command: model.CancelWorkload{Host: "h", Path: "/q3/0000000000000014"}})
	after := query.Status(s, query.LocalStatus{}).Stored
	assert.Equal(t, after.Ended, 1)
	assert.Assert(t, after.Bytes < v.Bytes && after.Bytes > s.Stored.Total)
}
