package scale

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

var capacity = model.Resources{MilliCPU: 16000, MemoryMB: 65536}

func instances(pool model.PoolName, n int, movable, off bool) []Instance {
	var out []Instance
	for i := range n {
		out = append(out, Instance{
			ID: model.InstanceID(fmt.Sprintf("%s-%d", pool, i)), Pool: pool, Capacity: capacity, Movable: movable, PoweredOff: off, IdleTime: time.Minute,
		})
	}
	return out
}

func cores(n int64) model.Resources { return model.Resources{MilliCPU: n * 1000} }

func countTo(moves []Move, to model.PoolName) int {
	n := 0
	for _, m := range moves {
		if m.To == to {
			n++
		}
	}
	return n
}

// Guards against a pool that stays below its demand while instances are powered
// off in the standby pool.
func TestBusyPoolGetsStandbyInstances(t *testing.T) {
	d := Decide(Input{
		Pools:     []Pool{{Name: "a", Demand: cores(100)}, {Name: "off", Standby: true}},
		Instances: append(instances("a", 3, false, false), instances("off", 8, true, true)...),
	})
	assert.Equal(t, countTo(d.Moves, "a"), 5) // 7 for the demand and 1 as headroom, less the 3 present
}

// Guards against a pool that grows by taking instances that another pool needs
// for its own demand.
func TestPoolKeepsInstancesItNeeds(t *testing.T) {
	d := Decide(Input{
		Pools:     []Pool{{Name: "a", Demand: cores(160)}, {Name: "b", Demand: cores(60)}},
		Instances: append(instances("a", 2, false, false), instances("b", 6, true, false)...),
	})
	assert.Equal(t, countTo(d.Moves, "a"), 1) // b keeps 4 for its demand and 1 as headroom
}

// Guards against idle instances that stay powered on, and against powering off
// an instance that is not movable or became idle too recently.
func TestIdleInstancesArePoweredOff(t *testing.T) {
	all := append(instances("a", 9, true, false), instances("off", 1, true, true)...)
	all[0].Movable = false
	all[1].IdleTime, all[1].SurplusTime = 0, minIdle/2
	d := Decide(Input{Pools: []Pool{{Name: "a", MinInstances: 5}, {Name: "off", Standby: true}}, Instances: all})
	assert.Equal(t, countTo(d.Moves, "off"), 3) // 5 for the spread of lasting tasks and 1 as headroom stay
	for _, m := range d.Moves {
		assert.Assert(t, m.Instance != all[0].ID && m.Instance != all[1].ID)
	}
}

// Guards against surplus instances that never become empty because they keep
// getting new work, and against retiring an instance with lasting tasks.
func TestLeastLoadedInstancesAreRetired(t *testing.T) {
	all := append(instances("a", 6, false, false), instances("off", 1, true, true)...)
	for i := range all {
		all[i].Retirable, all[i].LoadMilliCPU = i != 0, int64(i)
	}
	d := Decide(Input{Pools: []Pool{{Name: "a", Demand: cores(40)}, {Name: "off", Standby: true}}, Instances: all})
	assert.DeepEqual(t, d.Retire, []model.InstanceID{"a-1", "a-2"}) // 3 for the demand and 1 as headroom stay
}

// Guards against two moves where one does: an idle surplus instance is powered off while a
// powered-off one is moved to the pool that needs an instance.
func TestSurplusInstancesGoWhereTheyAreNeeded(t *testing.T) {
	d := Decide(Input{
		Pools:     []Pool{{Name: "a", Demand: cores(64)}, {Name: "b"}, {Name: "off", Standby: true}},
		Instances: append(append(instances("a", 3, false, false), instances("b", 4, true, false)...), instances("off", 8, true, true)...),
	})
	assert.Equal(t, countTo(d.Moves, "a"), 2)
	assert.Equal(t, len(d.Moves), 2)
	for _, m := range d.Moves {
		assert.Equal(t, m.From, model.PoolName("b"))
	}
}

// Guards against a pool without an instance for the tasks that leave those being emptied for
// upkeep, so that they wait until the upkeep is over.
func TestDrainingInstancesAreReplaced(t *testing.T) {
	draining := instances("a", 4, false, false)
	draining[0].Draining, draining[1].Draining = true, true
	d := Decide(Input{
		Pools:     []Pool{{Name: "a", MinInstances: 3}, {Name: "off", Standby: true}},
		Instances: append(draining, instances("off", 8, true, true)...),
	})
	assert.Equal(t, countTo(d.Moves, "a"), 2)
}
