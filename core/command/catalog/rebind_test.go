package catalog

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command/workload"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// site is a state in which each queue of the first catalog has accepted a workload.
type site struct {
	t       *testing.T
	s       model.State
	version model.CatalogVersion
}

// queueAt returns a queue whose pool has the name of the prefix.
func queueAt(name, prefix string) model.Queue {
	return model.Queue{Name: model.QueueName(name), Host: "h", Prefix: prefix, Pool: model.PoolName(prefix)}
}

func newSite(t *testing.T, rules model.Rules) *site {
	x := &site{t: t}
	x.publish(rules, queueAt("a", "/1/"), queueAt("b", "/2/"))
	for _, path := range []string{"/1/" + workloadIn("/1/"), "/2/" + workloadIn("/2/")} {
		r, _ := workload.Apply(&x.s, model.Envelope{Rules: rules, Command: model.SubmitWorkload{
			Host: "h", Path: path, Workload: model.Workload{Steps: []model.Step{{Count: 1}}},
		}})
		assert.Equal(t, r.Code, result.Accepted)
	}
	return x
}

// workloadIn returns the ID of the workload that was accepted at the prefix.
func workloadIn(prefix string) string { return "000000000000000" + prefix[1:2] }

func (x *site) publish(rules model.Rules, queues ...model.Queue) {
	x.t.Helper()
	x.version++
	c := model.Catalog{Version: x.version, Queues: queues, Pools: []model.WorkerPool{{Name: "/1/"}, {Name: "/2/"}, {Name: "/3/"}}}
	r, _ := Apply(&x.s, model.Envelope{Rules: rules, Command: model.PublishCatalog{Catalog: c}})
	assert.Equal(x.t, r.Code, result.OK, r.Detail)
}

// pool returns the pool that runs the workload that was accepted at the prefix; "none" if
// its queue is not in the catalog.
func (x *site) pool(prefix string) string {
	w, ok := x.s.Workloads.Get(model.WorkloadID(workloadIn(prefix)))
	assert.Assert(x.t, ok)
	q, ok := x.s.Catalog.QueueOf(w)
	if !ok {
		assert.Equal(x.t, q, model.Queue{}, "views would show another queue")
		return "none"
	}
	assert.Equal(x.t, w.Queue, q.Name)
	indexed, ok := x.s.Catalog.QueuesByName().Of(&w)
	assert.Assert(x.t, ok)
	assert.Equal(x.t, *indexed, q)
	return string(q.Pool)
}

// Guards against an accepted workload that starts nothing any more because its queue has
// got another name, at once or by way of a catalog without it.
func TestRenamedQueueKeepsItsWorkloads(t *testing.T) {
	x := newSite(t, model.CurrentRules)
	x.publish(model.CurrentRules, queueAt("c", "/1/"), queueAt("b", "/2/"))
	assert.Equal(t, x.pool("/1/"), "/1/")
	x.publish(model.CurrentRules, queueAt("b", "/2/"))
	assert.Equal(t, x.pool("/1/"), "none")
	x.publish(model.CurrentRules, queueAt("d", "/1/"), queueAt("b", "/2/"))
	assert.Equal(t, x.pool("/1/"), "/1/")
	assert.Equal(t, x.pool("/2/"), "/2/")
}

// Guards against a workload that runs on the workers of another queue because that queue
// has got its name.
func TestNameOfAnotherQueueTakesNoWorkloads(t *testing.T) {
	x := newSite(t, model.CurrentRules)
	x.publish(model.CurrentRules, queueAt("b", "/1/"), queueAt("a", "/2/"))
	assert.Equal(t, x.pool("/1/"), "/1/")
	assert.Equal(t, x.pool("/2/"), "/2/")
	x.publish(model.CurrentRules, queueAt("b", "/2/")) // the catalog before had b at /1/
	assert.Equal(t, x.pool("/1/"), "none")
	assert.Equal(t, x.pool("/2/"), "/2/")
	x.publish(model.CurrentRules, queueAt("b", "/3/"), queueAt("a", "/2/"))
	assert.Equal(t, x.pool("/1/"), "none")
	assert.Equal(t, x.pool("/2/"), "/2/")
}

// Guards against a queue that is removed and loses its workloads to a later one of the same
// name at another address.
func TestRemovedQueueDoesNotComeBackElsewhere(t *testing.T) {
	x := newSite(t, model.CurrentRules)
	x.publish(model.CurrentRules, queueAt("b", "/2/"))
	x.publish(model.CurrentRules, queueAt("a", "/3/"), queueAt("b", "/2/"))
	assert.Equal(t, x.pool("/1/"), "none")
}

// Guards against a workload that stops because operators have moved its queue to another
// address under the same name.
func TestMovedQueueKeepsItsWorkloads(t *testing.T) {
	x := newSite(t, model.CurrentRules)
	x.publish(model.CurrentRules, queueAt("a", "/3/"), queueAt("b", "/2/"))
	assert.Equal(t, x.pool("/1/"), "/3/")
	x.publish(model.CurrentRules, queueAt("c", "/3/"), queueAt("b", "/2/"))
	assert.Equal(t, x.pool("/1/"), "/3/")
}

// Guards against workloads that were accepted by the first release and lose their queue by
// a rename after the upgrade, and against entries of its log that have another effect.
func TestWorkloadsOfFirstRulesAreBound(t *testing.T) {
	x := newSite(t, model.FirstRules)
	x.publish(model.FirstRules, queueAt("c", "/1/"), queueAt("b", "/2/"))
	assert.Equal(t, x.pool("/1/"), "none")
	x.publish(model.FirstRules, queueAt("a", "/1/"), queueAt("b", "/2/"))
	assert.Equal(t, x.pool("/1/"), "/1/")
	x.publish(model.CurrentRules, queueAt("c", "/1/"), queueAt("b", "/2/"))
	assert.Equal(t, x.pool("/1/"), "/1/")
	assert.Equal(t, x.pool("/2/"), "/2/")
}
