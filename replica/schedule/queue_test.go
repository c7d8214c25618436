package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// publish publishes a catalog in which the queues at /1/ and /2/ have the given names. Their
// pools are p and r.
func (h *harness) publish(version model.CatalogVersion, first, second model.QueueName) {
	h.propose(model.PublishCatalog{Catalog: model.Catalog{
		Version: version, Pools: []model.WorkerPool{{Name: "p"}, {Name: "r"}},
		Queues: []model.Queue{
			{Name: first, Host: "h", Prefix: "/1/", Pool: "p", MaxFailures: 3, Stretch: 2, Target: time.Second},
			{Name: second, Host: "h", Prefix: "/2/", Pool: "r", MaxFailures: 3, Stretch: 2, Target: time.Second},
		},
	}})
}

// Guards against an accepted workload whose second step never starts, because the queue at
// its address has got another name, or starts on the workers of another queue, because the
// two have exchanged their names.
func TestWorkloadFollowsTheAddressOfItsQueue(t *testing.T) {
	for name, rename := range map[string][2]model.QueueName{"renamed": {"c", "b"}, "exchanged": {"b", "a"}} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				h.publish(2, "a", "b")
				next := oneTask
				next.After = []int{0}
				id := "00000000000000a1"
				h.propose(model.SubmitWorkload{Host: "h", Path: "/1/" + id, Workload: model.Workload{Steps: []model.Step{oneTask, next}}})
				start := h.mustReport("a", 1, nil).Start
				assert.Equal(t, len(start), 1)
				h.publish(3, rename[0], rename[1])
				other := func(r *Report) { r.Pool = "r" }
				assert.Equal(t, len(h.mustReport("z", 1, other).Start), 0)
				h.mustReport("a", 1, ended(model.RunDone, start[0]))
				assert.Equal(t, len(h.mustReport("z", 1, other).Start), 0)
				o := h.mustReport("a", 1, nil)
				assert.Equal(t, len(o.Start), 1)
				assert.Equal(t, o.Start[0].Run.Task.Step, 1)
			})
		})
	}
}
