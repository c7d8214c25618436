package query

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// Guards against a plan that omits effects of a configuration on instances: needed
// moves, retiring instances, and lent instances that must not count as moves.
func TestPlanShowsMovesBudgetsAndReserve(t *testing.T) {
	spec := func(id model.InstanceID, pool model.PoolName) model.InstanceSpec {
		return model.InstanceSpec{ID: id, Pool: pool}
	}
	old := model.Config{
		Pools:     []model.Pool{{Name: "a", Budget: model.Budget{MinAvailableShare: 0.5}}, {Name: "gone"}, {Name: "s", Spare: true}},
		Instances: []model.InstanceSpec{spec("i1", "a"), spec("i2", "a"), spec("i3", "gone"), spec("i4", "s")},
	}
	next := model.Config{
		Pools:     []model.Pool{{Name: "a", Budget: model.Budget{MaxUnavailable: 1}}, {Name: "s", Spare: true}},
		Instances: []model.InstanceSpec{spec("i1", "a"), spec("i2", "s"), spec("i4", "s"), spec("i5", "a")},
	}
	current := ConfigView{Revision: 7, Config: &old, Instances: []InstancePlace{
		{ID: "i1", Pool: "a"}, {ID: "i2", Pool: "a"}, {ID: "i3", Pool: "gone"}, {ID: "i4", Pool: "a", Home: "s"},
	}}
	v := Plan(current, next)
	assert.Equal(t, v.Base, uint64(7))
	assert.DeepEqual(t, v.Moves, []PlannedMove{{Instance: "i2", From: "a", To: "s"}})
	assert.DeepEqual(t, v.Retiring, []string{"i3"})
	assert.DeepEqual(t, v.New, []string{"i5"})
	assert.DeepEqual(t, v.Reserve, Reserve{Instances: 2, InstancesBefore: 1, Share: "50%"})
	assert.DeepEqual(t, v.Pools, []PoolPlan{
		{Pool: "a", Members: 2, MembersBefore: 2, Keep: 1, KeepBefore: 1, MayBeOut: 1},
		{Pool: "s", Members: 2, MembersBefore: 1, MayBeOut: 2},
		{Pool: "gone", MembersBefore: 1},
	})
	assert.Equal(t, len(v.Warnings), 1)
	assert.Equal(t, len(Plan(ConfigView{}, next).Changes) > 0, true)
	assert.Equal(t, len(Plan(ConfigView{Config: &next}, next).Changes), 0)
}
