package scale

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

var one = model.Resources{MilliCPU: 16000, MemoryMB: 65536}

func instances(pool model.PoolName, n int, movable, off bool) []Instance {
	var out []Instance
	for i := range n {
		out = append(out, Instance{
			ID: model.InstanceID(fmt.Sprintf("%s-%d", pool, i)), Pool: pool, Capacity: one, Movable: movable, Off: off, Idle: time.Minute,
		})
	}
	return out
}

func cores(n int64) model.Resources { return model.Resources{MilliCPU: n * 1000} }

func count(moves []Move, to model.PoolName) int {
	n := 0
	for _, m := range moves {
		if m.To == to {
			n++
		}
	}
	return n
}

// Guards against a busy pool that gets no instances while others are off.
func TestBusyPoolGetsStandbyInstances(t *testing.T) {
	d := Decide(Input{
		Pools:     []Pool{{Name: "a", Demand: cores(100)}, {Name: "off", Standby: true}},
		Instances: append(instances("a", 3, false, false), instances("off", 8, true, true)...),
	})
	assert.Equal(t, count(d.Moves, "a"), 5) // 7 for the demand and 1 in reserve
}

// Guards against instances that a pool needs being taken by another one.
func TestPoolKeepsWhatItNeeds(t *testing.T) {
	d := Decide(Input{
		Pools:     []Pool{{Name: "a", Demand: cores(160)}, {Name: "b", Demand: cores(60)}},
		Instances: append(instances("a", 2, false, false), instances("b", 6, true, false)...),
	})
	assert.Equal(t, count(d.Moves, "a"), 1) // b keeps 4 for its demand and 1 in reserve
}

// Guards against instances that stay powered on without work, and against a
// move of one on which something runs.
func TestIdleInstancesArePoweredOff(t *testing.T) {
	list := append(instances("a", 9, true, false), instances("off", 1, true, true)...)
	list[0].Movable = false
	list[1].Idle = 0
	d := Decide(Input{Pools: []Pool{{Name: "a", Spread: 5}, {Name: "off", Standby: true}}, Instances: list})
	assert.Equal(t, count(d.Moves, "off"), 3) // 5 to keep tasks apart and 1 in reserve stay
	for _, m := range d.Moves {
		assert.Assert(t, m.Instance != list[0].ID && m.Instance != list[1].ID)
	}
}

// Guards against instances beyond the demand that get new work again and again,
// and against one with lasting tasks that is emptied.
func TestLeastLoadedInstancesAreRetired(t *testing.T) {
	list := append(instances("a", 6, false, false), instances("off", 1, true, true)...)
	for i := range list {
		list[i].Retirable, list[i].Load = i != 0, int64(i)
	}
	d := Decide(Input{Pools: []Pool{{Name: "a", Demand: cores(40)}, {Name: "off", Standby: true}}, Instances: list})
	assert.DeepEqual(t, d.Retire, []model.InstanceID{"a-1", "a-2"}) // 3 for the demand and 1 in reserve stay
}
