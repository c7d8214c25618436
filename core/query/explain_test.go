package query_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/table"
)

// fleetState returns a state with a pool of three instances, of which two must stay
// available, one queued and one running job.
func fleetState(t *testing.T) model.State {
	t.Helper()
	size := model.Resources{MilliCPU: 4000, MemoryMB: 4096}
	c := model.Config{
		Pools:  []model.Pool{{Name: "p", Budget: model.Budget{MinAvailable: 2}}, {Name: "q"}},
		Teams:  []model.Team{{Name: "t", Quota: model.Resources{MilliCPU: 4000, MemoryMB: 4096}}},
		Limits: model.Limits{SlotsPerTarget: 1, ConnectionsPerTarget: 1, KeyRetention: 1, MaxClaims: 1}, Weights: model.Weights{Moves: 1},
	}
	for _, id := range []model.InstanceID{"a", "b", "c"} {
		c.Instances = append(c.Instances, model.InstanceSpec{ID: id, Pool: "p", Domain: model.Domain{DataCenter: "d", Rack: "r"}, Capacity: size})
	}
	s, r := command.Apply(model.State{}, 1, 1, model.Envelope{Time: 1000, Command: model.AcceptConfig{Config: c}})
	assert.Assert(t, r.Code.OK(), r.Error())
	s.Jobs = table.FromValues([]model.Job{
		{ID: "big", Team: "t", Pool: "p", Phase: model.JobQueued, SubmittedAt: 1000, Declared: model.Resources{MilliCPU: 3000, MemoryMB: 1}},
		{ID: "run", Team: "t", Pool: "p", Phase: model.JobRunning, StartedAt: 1000, Declared: model.Resources{MilliCPU: 2000, MemoryMB: 1}, Reserved: model.Resources{MilliCPU: 2000, MemoryMB: 1}, Lease: model.Lease{Worker: "a", Token: 7}},
	}, func(j model.Job) model.JobID { return j.ID })
	return s
}

func apply(t *testing.T, s model.State, commands ...model.Command) model.State {
	t.Helper()
	for _, c := range commands {
		next, r := command.Apply(s, s.Index+1, 1, model.Envelope{Time: s.Clock + 5000, Command: c})
		assert.Assert(t, r.Code.OK(), r.Error())
		s = next
	}
	return s
}

// Guards against an explanation that omits the reason why a job, instance, wave,
// move or pool waits, or the next action of the operator. The reasons come from
// different parts of the state, so one can be missed.
func TestExplainNamesTheReason(t *testing.T) {
	start := fleetState(t)
	drained := apply(t, start, model.DrainInstance{Instance: "a"}, model.StartWave{ID: "w", Pools: []model.PoolName{"p"}})
	stopped := apply(t, start, model.StartWave{ID: "w", Pools: []model.PoolName{"p"}},
		model.SetWavePhase{ID: "w", Phase: model.WaveStopped, Reason: "2 failures after repair"})
	moving := apply(t, start, model.StartMove{ID: "m", Instance: "a", From: "p", To: "q"})
	for _, c := range []struct {
		state    model.State
		kind, id string
		want     []string
	}{
		{start, query.KindJob, "big", []string{
			"queued, team t, pool p, declared 3 processors", "team t would use 5 processors",
			"of 3 instances of pool p: 0 are too small, 0 out of service, 0 quarantined or retiring, 1 have not enough free capacity, 2 have room"}},
		{drained, query.KindInstance, "a", []string{"draining for 1m5s in pool p", "an operator drained it", "job run of team t is running on it", "`lacewingturn return a` ends the drain"}},
		{drained, query.KindInstance, "b", []string{"cannot be drained now: pool p has 2 of 3 instances available and must keep 2"}},
		{drained, query.KindWave, "w", []string{"running over pools [p]: 0 done, 0 in progress, 3 waiting", "instance a of pool p waits because it is draining", "instance b waits: pool p has 2 of 3"}},
		{drained, query.KindPool, "p", []string{"2 of 3 instances available, 2 must stay", "instance a in rack r of d is draining", "the budget is used up"}},
		{stopped, query.KindWave, "w", []string{"stopped over pools [p]", "2 failures after repair", "wave resume w"}},
		{moving, query.KindMove, "m", []string{"draining for 1m0s: instance a from pool p to pool q", "job run of team t", "given up 15m0s after", "undo-move m"}},
	} {
		e, ok := query.Explain(c.state, model.Observations{}, c.state.Clock+60_000, c.kind, c.id)
		assert.Assert(t, ok)
		text := strings.Join(append(append([]string{e.Condition}, e.Reasons...), e.Next...), "\n")
		for _, w := range c.want {
			assert.Assert(t, strings.Contains(text, w), "missing %q in\n%s", w, text)
		}
	}
	_, ok := query.Explain(start, model.Observations{}, 0, "planet", "x")
	assert.Assert(t, !ok)
}

// Guards against a status that omits an exceeded budget, and against one that
// reports a revision as in force everywhere although an entry instance has not
// confirmed it, or confirmed it under an earlier epoch.
func TestStatusShowsWhatNeedsAttention(t *testing.T) {
	s := apply(t, fleetState(t), model.JoinEntry{ID: "e1", Address: "x"}, model.JoinEntry{ID: "e2", Address: "y"})
	for _, id := range []model.InstanceID{"a", "b"} {
		i, _ := s.Instances.Get(id)
		i.Phase = model.PhaseLost
		s.Instances = s.Instances.Set(id, i)
	}
	localStatus := func(epoch uint64, revision model.Revision) query.LocalStatus {
		return query.LocalStatus{Leader: "c1", IsLeader: true, Entries: []query.EntryContact{
			{ID: "e1", Epoch: 2, Revision: 1, Renewed: true}, {ID: "e2", Epoch: epoch, Revision: revision, Renewed: true},
		}}
	}
	assert.DeepEqual(t, query.EntriesWithoutRevision(s, localStatus(3, 0), 1), []string{"e2"})
	assert.DeepEqual(t, query.EntriesWithoutRevision(s, localStatus(2, 1), 1), []string{"e2"})
	assert.Assert(t, query.Status(s, localStatus(3, 1)).InForceEverywhere)
	assert.Assert(t, !query.Status(s, query.LocalStatus{Leader: "c1"}).InForceEverywhere)

	v := query.Status(s, localStatus(3, 1))
	assert.Equal(t, v.Counts.Instances["lost"], 2)
	text := strings.Join(v.Warnings, "\n")
	assert.Assert(t, strings.Contains(text, "pool p has 1 of 3 instances available and must keep 2"), text)
	assert.Assert(t, strings.Contains(text, "instance a of pool p is lost"), text)
}
