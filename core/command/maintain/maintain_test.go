package maintain

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// newInput returns an input with one pool of 12 idle instances and one order for
// the first n of them.
func newInput(n, limit int) Input {
	in := Input{
		Now: 1000, Down: map[model.InstanceID]bool{}, Cordoned: map[model.InstanceID]model.Timestamp{},
		Serving:   func(model.TaskRef) bool { return true },
		StopLimit: func(model.TaskRef) (int, int) { return 3, 1 },
	}
	u := model.Upkeep{Number: 1, Limit: limit, Duration: 20 * time.Second, OrderedAt: 1000}
	for i := range 12 {
		id := model.InstanceID(fmt.Sprintf("i%02d", i))
		in.Instances = append(in.Instances, model.WorkerObservation{ID: id, Pool: "p", NoUnassignedRuns: true})
		if i < n {
			u.Instances = append(u.Instances, model.UpkeepInstance{ID: id})
		}
	}
	in.Upkeeps = []model.Upkeep{u}
	return in
}

func longRunning(index int) model.ObservedRun {
	return model.ObservedRun{Run: model.RunRef{Task: model.TaskRef{Workload: "w", Index: index}, Number: 1}, Lasting: true}
}

// Guards against more simultaneous upkeep than the order's limit allows: instances
// that are down already must count towards the limit.
func TestLimitCountsInstancesThatAreDown(t *testing.T) {
	in := newInput(5, 3)
	in.Down["i00"], in.Down["i01"] = true, true
	d := Decide(in)
	assert.Equal(t, len(d.Begin), 1)
	in.Down["i02"] = true
	assert.Equal(t, len(Decide(in).Begin), 0)
}

// Guards against upkeep that takes a large part of a pool out of service at once.
// The limit per pool ends only when most of the order's duration has passed.
func TestPoolKeepsMostInstances(t *testing.T) {
	in := newInput(12, 12)
	assert.Equal(t, len(Decide(in).Begin), 12/poolDivisor)
	in.Now = in.Now.Add(19 * time.Second)
	assert.Equal(t, len(Decide(in).Begin), 12)
}

// Guards against long-running tasks of one step that are stopped at the same time,
// or while another task of the step is not running.
func TestLastingTasksAreStoppedWithinTheirBudget(t *testing.T) {
	in := newInput(2, 2)
	in.Instances[0].Runs = []model.ObservedRun{longRunning(0)}
	in.Instances[1].Runs = []model.ObservedRun{longRunning(1)}
	d := Decide(in)
	assert.Equal(t, len(d.Stop), 1)
	assert.Equal(t, len(d.Begin), 0)
	in.Serving = func(r model.TaskRef) bool { return r.Index != 2 }
	assert.Equal(t, len(Decide(in).Stop), 0)
}

// Guards against runs that are stopped although they would soon finish, and
// against upkeep that never starts because a run does not finish within the grace
// period.
func TestRunsMayFinishWithinGracePeriod(t *testing.T) {
	in := newInput(1, 1)
	in.Instances[0].Runs = []model.ObservedRun{{Run: model.RunRef{Number: 1}}}
	assert.Equal(t, len(Decide(in).Stop), 0)
	in.Cordoned["i00"] = in.Now.Add(-runGracePeriod - time.Second)
	assert.Equal(t, len(Decide(in).Stop), 1)
	in.Instances[0].Runs[0].Stopping = true
	assert.Equal(t, len(Decide(in).Stop), 0)
}

// Guards against upkeep that starts on an instance that is being moved or
// maintained already, or whose worker has announced its end.
func TestUpkeepDoesNotStartOnUnavailableOrLeavingInstances(t *testing.T) {
	in := newInput(2, 2)
	in.Instances[0].Unavailable, in.Instances[1].Leaving = true, true
	assert.Equal(t, len(Decide(in).Begin), 0)
}
