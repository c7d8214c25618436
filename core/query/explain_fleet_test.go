package query_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

func state(t *testing.T, commands ...model.Command) model.State {
	c := model.Config{
		Weights: model.Weights{RollOut: 1}, Waves: model.WavePolicy{MaxStep: 2},
		Limits: model.Limits{SlotsPerTarget: 8, ConnectionsPerTarget: 64, KeyRetention: time.Minute, MaxClaims: 10},
		Pools:  []model.Pool{{Name: "a", Budget: model.Budget{MinAvailable: 2}}},
	}
	for _, id := range []model.InstanceID{"a0", "a1", "a2"} {
		c.Instances = append(c.Instances, model.InstanceSpec{
			ID: id, Pool: "a", Domain: model.Domain{DataCenter: "d", Rack: "r"}, Capacity: model.Resources{MilliCPU: 1, MemoryMB: 1},
		})
	}
	s := model.State{}
	for n, cmd := range append([]model.Command{model.AcceptConfig{Config: c}}, commands...) {
		r := s.Revision
		next, res := command.Apply(s, model.Index(n+1), 1, model.Envelope{Time: 1000, Command: cmd})
		assert.NilError(t, res.Err(), "revision %d", r)
		s = next
	}
	return s
}

// Guards against an explanation of a drain that omits the jobs and requests in
// flight it waits for, and of a wave that omits the exhausted budget.
func TestExplainDrainAndWave(t *testing.T) {
	s := state(t, model.StartWave{ID: "w", Pools: []model.PoolName{"a"}}, model.TakeWaveStep{ID: "w", Instance: "a0"},
		model.SubmitJob{Job: model.Job{ID: "j", Pool: "a"}})
	j, _ := s.Jobs.Get("j")
	j.Phase, j.Lease.Worker = model.JobRunning, "a0"
	s.Jobs = s.Jobs.Set("j", j)
	o := model.Observations{Instances: map[model.InstanceID]model.InstanceObservation{"a0": {InFlight: 3, ReportedAt: 2000}}}
	e, ok := query.Explain(s, o, 11_000, query.KindInstance, "a0")
	assert.Assert(t, ok)
	text := strings.Join(e.Reasons, "\n")
	for _, want := range []string{"wave w holds it", "3 requests are in flight", "job j of team  is running", "has not reported", "given up 15m0s after it began"} {
		assert.Assert(t, strings.Contains(text, want), "%q is missing in:\n%s", want, text)
	}
	e, ok = query.Explain(s, o, 11_000, query.KindWave, "w")
	assert.Assert(t, ok)
	text = strings.Join(e.Reasons, "\n")
	assert.Assert(t, strings.Contains(text, "pool a has 2 of 3 instances available and must keep 2"), text)
	pools, ok := query.Pools(s, "a")
	assert.Assert(t, ok)
	assert.Equal(t, pools.Pools[0].Headroom, 0)
}
