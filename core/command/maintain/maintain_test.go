package maintain

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// site returns an order for n instances of one pool of 12 and an input for it.
func site(n, limit int) Input {
	in := Input{
		Now: 1000, Down: map[model.InstanceID]bool{}, Cordoned: map[model.InstanceID]model.Timestamp{},
		Present: func(model.TaskRef) bool { return true },
		Allowed: func(model.TaskRef) (int, int) { return 3, 1 },
	}
	u := model.Upkeep{Number: 1, Limit: limit, Duration: 20 * time.Second, OrderedAt: 1000}
	for i := range 12 {
		id := model.InstanceID(fmt.Sprintf("i%02d", i))
		in.Instances = append(in.Instances, model.ObservedInstance{ID: id, Pool: "p", Settled: true})
		if i < n {
			u.Instances = append(u.Instances, model.UpkeepInstance{ID: id})
		}
	}
	in.Upkeeps = []model.Upkeep{u}
	return in
}

func lastingRun(index int) model.ObservedRun {
	return model.ObservedRun{Run: model.RunRef{Task: model.TaskRef{Workload: "w", Index: index}, Number: 1}, Lasting: true}
}

// Guards against more upkeep at the same time than the order allows.
func TestLimitCountsInstancesThatAreDown(t *testing.T) {
	in := site(5, 3)
	in.Down["i00"], in.Down["i01"] = true, true
	d := Decide(in)
	assert.Equal(t, len(d.Begin), 1)
	in.Down["i02"] = true
	assert.Equal(t, len(Decide(in).Begin), 0)
}

// Guards against upkeep that takes a large part of a pool away at once.
func TestPoolKeepsMostInstances(t *testing.T) {
	in := site(12, 12)
	assert.Equal(t, len(Decide(in).Begin), 12/maxPoolShare)
	in.Now = in.Now.Add(19 * time.Second)
	assert.Equal(t, len(Decide(in).Begin), 12)
}

// Guards against lasting tasks of one step that are stopped together, or while
// another of them is away.
func TestLastingTasksAreStoppedWithinTheirBudget(t *testing.T) {
	in := site(2, 2)
	in.Instances[0].Runs = []model.ObservedRun{lastingRun(0)}
	in.Instances[1].Runs = []model.ObservedRun{lastingRun(1)}
	d := Decide(in)
	assert.Equal(t, len(d.Stop), 1)
	assert.Equal(t, len(d.Begin), 0)
	in.Present = func(r model.TaskRef) bool { return r.Index != 2 }
	assert.Equal(t, len(Decide(in).Stop), 0)
}

// Guards against work that is thrown away although it would soon be done, and
// against upkeep that never begins because of a long run.
func TestShortRunsMayEnd(t *testing.T) {
	in := site(1, 1)
	in.Instances[0].Runs = []model.ObservedRun{{Run: model.RunRef{Number: 1}}}
	assert.Equal(t, len(Decide(in).Stop), 0)
	in.Cordoned["i00"] = in.Now.Add(-patience - time.Second)
	assert.Equal(t, len(Decide(in).Stop), 1)
	in.Instances[0].Runs[0].Stopping = true
	assert.Equal(t, len(Decide(in).Stop), 0)
}

// Guards against upkeep of an instance that is away or is leaving.
func TestAwayInstancesWait(t *testing.T) {
	in := site(2, 2)
	in.Instances[0].Away, in.Instances[1].Leaving = true, true
	assert.Equal(t, len(Decide(in).Begin), 0)
}
