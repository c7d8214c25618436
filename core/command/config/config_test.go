package config_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/command/config"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
)

func valid() model.Config {
	place := model.Domain{Region: "r", DataCenter: "d", Rack: "k"}
	size := model.Resources{MilliCPU: 1000, MemoryMB: 1024}
	return model.Config{
		Site:  "s",
		Pools: []model.Pool{{Name: "p", Budget: model.Budget{MinAvailable: 1}}},
		Instances: []model.InstanceSpec{
			{ID: "i1", Pool: "p", Domain: place, Capacity: size}, {ID: "i2", Pool: "p", Domain: place, Capacity: size},
		},
		Services: []model.Service{{Name: "v", Pool: "p", Timeout: time.Second, QueueLimit: 1, Idempotent: []string{"/a"}}},
		Teams:    []model.Team{{Name: "t"}},
		Weights:  model.Weights{ShortWait: 1},
		Limits:   model.Limits{SlotsPerTarget: 8, ConnectionsPerTarget: 64, KeyRetention: time.Minute, MaxClaims: 1},
	}
}

// Guards against accepting an invalid or contradictory configuration from a client that does not
// generate its configuration from answers.
func TestValidateFindsEveryProblem(t *testing.T) {
	assert.Equal(t, len(config.Validate(valid())), 0)
	for want, change := range map[string]func(*model.Config){
		"pools: a name needs":                    func(c *model.Config) { c.Pools = append(c.Pools, model.Pool{}) },
		"pools.p: the name is used twice":        func(c *model.Config) { c.Pools = append(c.Pools, c.Pools[0]) },
		"instances: the character '/'":           func(c *model.Config) { c.Instances[0].ID = "a/b" },
		"instances.i2: the ID is used twice":     func(c *model.Config) { c.Instances[0].ID = "i2" },
		"instances.i1.pool: there is no":         func(c *model.Config) { c.Instances[0].Pool = "q" },
		"instances.i1.domain":                    func(c *model.Config) { c.Instances[0].Domain.Rack = "" },
		"instances.i1.capacity":                  func(c *model.Config) { c.Instances[0].Capacity.MemoryMB = 0 },
		"pools.p.budget: 2 of 2":                 func(c *model.Config) { c.Pools[0].Budget.MinAvailable = 2 },
		"pools.p.budget: a share of 0.4":         func(c *model.Config) { c.Pools[0].Budget.MaxUnavailableShare = 0.4 },
		"pools.p.budget: shares must":            func(c *model.Config) { c.Pools[0].Budget.MinAvailableShare = 1.5 },
		"pools.p.budget: numbers must":           func(c *model.Config) { c.Pools[0].Budget.MaxPerRack = -1 },
		"services.v.pool: there is no":           func(c *model.Config) { c.Services[0].Pool = "q" },
		"services.v.timeout":                     func(c *model.Config) { c.Services[0].Timeout = 2 * time.Hour },
		"services.v.queue_limit":                 func(c *model.Config) { c.Services[0].QueueLimit = 0 },
		`services.v: the path "a" must start`:    func(c *model.Config) { c.Services[0].Idempotent = []string{"a"} },
		`services.v: the path "/a" is both`:      func(c *model.Config) { c.Services[0].NonIdempotent = []string{"/a"} },
		"teams.t: the name is used twice":        func(c *model.Config) { c.Teams = append(c.Teams, c.Teams[0]) },
		"teams.t.quota: must not be negative":    func(c *model.Config) { c.Teams[0].Quota.MemoryMB = -1 },
		"weights: the weights sum to 1.5":        func(c *model.Config) { c.Weights.Moves = 0.5 },
		"limits: slots must be positive":         func(c *model.Config) { c.Limits.ConnectionsPerTarget = 4 },
		"limits.retry_share":                     func(c *model.Config) { c.Limits.RetryShare = 2 },
		"limits: key retention":                  func(c *model.Config) { c.Limits.MaxClaims = 0 },
		"waves: durations and the step must not": func(c *model.Config) { c.Waves.Soak = -1 },
	} {
		c := valid()
		change(&c)
		problems := config.Validate(c)
		assert.Assert(t, len(problems) > 0, want)
		assert.Assert(t, strings.HasPrefix(problems[0].String(), want), "got  %s\nwant %s", problems[0], want)
	}
}

// Guards against a revert that reuses a revision number, loses the history, or overwrites a
// change accepted meanwhile.
func TestRevertMakesANewRevision(t *testing.T) {
	s := model.State{}
	do := func(actor string, c model.Command) result.Result {
		var r result.Result
		s, r = command.Apply(s, s.Index+1, 1, model.Envelope{Actor: actor, Command: c})
		return r
	}
	second := valid()
	second.Limits.SlotsPerTarget = 4
	assert.Equal(t, do("ann", model.AcceptConfig{Base: 0, Config: valid()}).Revision, uint64(1))
	assert.Equal(t, do("bob", model.AcceptConfig{Base: 1, Config: second}).Revision, uint64(2))

	refused := do("ann", model.RevertConfig{Base: 1, To: 1})
	assert.Equal(t, refused.Code, result.Conflicting)
	assert.Equal(t, refused.Conflict.Actor, "bob")
	assert.DeepEqual(t, refused.Conflict.Difference, []string{"limits.slots_per_target: 4 -> 8"})

	assert.Equal(t, do("ann", model.RevertConfig{Base: 2, To: 1}).Revision, uint64(3))
	assert.Equal(t, s.Config.Limits.SlotsPerTarget, 8)
	assert.Equal(t, do("ann", model.RevertConfig{Base: 3, To: 9}).Code, result.NotFound)

	h := query.History(s)
	assert.Equal(t, len(h.Revisions), 3)
	assert.Equal(t, h.Revisions[0].Digest, h.Revisions[2].Digest)
	assert.Assert(t, h.Revisions[0].Digest != h.Revisions[1].Digest)
	assert.DeepEqual(t, h.Revisions[0].Changes, []string{"limits.slots_per_target: 4 -> 8"})
}

// Guards against a refused configuration that changes part of the state.
func TestInvalidConfigChangesNothing(t *testing.T) {
	bad := valid()
	bad.Services[0].Timeout, bad.Teams[0].Quota.MemoryMB = 0, -1
	s, r := command.Apply(model.State{}, 1, 1, model.Envelope{Command: model.AcceptConfig{Config: bad}})
	assert.Equal(t, r.Code, result.ConfigInvalid)
	assert.Assert(t, strings.Contains(r.Detail, "services.v.timeout") && strings.Contains(r.Detail, "teams.t.quota"), r.Detail)
	assert.Equal(t, s.Revision, model.Revision(0))
	assert.Equal(t, s.Instances.Len(), 0)
}

// Guards against a valid share that is refused because of rounding: 1/49 of 49 is
// 0.9999999999999999 in floating point.
func TestShareRoundingMatchesBudgets(t *testing.T) {
	c := valid()
	c.Instances = nil
	for i := range 49 {
		c.Instances = append(c.Instances, model.InstanceSpec{
			ID: model.InstanceID(fmt.Sprint("i", i)), Pool: "p", Domain: valid().Instances[0].Domain, Capacity: valid().Instances[0].Capacity,
		})
	}
	c.Pools[0].Budget = model.Budget{MaxUnavailableShare: 1.0 / 49}
	assert.Equal(t, len(config.Validate(c)), 0, "%v", config.Validate(c))
}

// Guards against an accepted job that never runs because the next configuration lacks its
// pool, and against log entries of the first release that are refused now.
func TestPoolWithJobsIsNotRemoved(t *testing.T) {
	s := model.State{}
	do := func(rules model.Rules, c model.Command) result.Result {
		var r result.Result
		s, r = command.Apply(s, s.Index+1, 1, model.Envelope{Rules: rules, Actor: "a", Command: c})
		return r
	}
	two := valid()
	two.Pools = append(two.Pools, model.Pool{Name: "q"})
	two.Instances = append(two.Instances, model.InstanceSpec{ID: "i3", Pool: "q", Domain: two.Instances[0].Domain, Capacity: two.Instances[0].Capacity})
	assert.Equal(t, do(model.CurrentRules, model.AcceptConfig{Config: two}).Code, result.Accepted)
	job := model.Job{ID: "j", Team: "t", Pool: "q", Declared: model.Resources{MilliCPU: 1, MemoryMB: 1}}
	assert.Equal(t, do(model.CurrentRules, model.SubmitJob{Job: job}).Code, result.Accepted)
	s.Instances = s.Instances.Delete("i3") // moved away or removed
	refused := do(model.CurrentRules, model.AcceptConfig{Base: 1, Config: valid()})
	assert.Equal(t, refused.Code, result.ConfigInvalid)
	assert.Assert(t, strings.Contains(refused.Detail, "pool q still has job j"), refused.Detail)
	before := s
	assert.Equal(t, do(model.FirstRules, model.AcceptConfig{Base: 1, Config: valid()}).Code, result.Accepted)
	s = before
	assert.Assert(t, do(model.CurrentRules, model.CancelJob{ID: "j"}).Code.OK())
	assert.Equal(t, do(model.CurrentRules, model.AcceptConfig{Base: 1, Config: valid()}).Code, result.Accepted)
}
