package place

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
)

func accountKey(a model.AccountName) model.KeyDigest { return model.DigestKey("key of " + string(a)) }

// addAccount adds an account with a key to the catalog.
func (x *site) addAccount(a model.ClientAccount) {
	c := x.s.Catalog
	c.RequireKeys = true
	c.Accounts = append(c.Accounts, a)
	key := model.AccountKey{Digest: accountKey(a.Name), Account: a.Name}
	i := 0
	for i < len(c.Keys) && c.Keys[i].Digest.Compare(&key.Digest) < 0 {
		i++
	}
	c.Keys = append(c.Keys[:i:i], append([]model.AccountKey{key}, c.Keys[i:]...)...)
}

func (x *site) submitAs(a model.AccountName, priority, id int, steps ...model.Step) model.WorkloadID {
	name := fmt.Sprintf("%016x", id)
	key := accountKey(a)
	next, r := command.Apply(x.s, x.s.Index+1, 1, model.Envelope{Time: x.s.Clock, Command: model.SubmitWorkload{
		Host: "h", Path: fmt.Sprintf("/q%d/%s", priority, name), Key: &key, Workload: model.Workload{Steps: steps},
	}})
	assert.Assert(x.t, r.Code.OK(), r)
	x.s = next
	return model.WorkloadID(name)
}

func milliCPU(n int64) model.Resources { return model.Resources{MilliCPU: n} }

// newCappedSite returns a site with the account "a" and its cap, and "b" without one.
func newCappedSite(t *testing.T, limit model.Resources) *site {
	x := newSite(t)
	x.addAccount(model.ClientAccount{Name: "a", Weight: 1, Cap: limit})
	x.addAccount(model.ClientAccount{Name: "b", Weight: 1})
	return x
}

// Guards against an account that has more running than its cap, in one plan or over
// several, and against a step beyond the cap that does not run in waves.
func TestStepBeyondTheCapRunsInWaves(t *testing.T) {
	x := newCappedSite(t, milliCPU(2500))
	x.submitAs("a", 0, 1, step(5, 1000))
	done := 0
	for wave := range 3 {
		starts := x.plan(Options{}, worker("w", 8000), worker("v", 8000))
		assert.Equal(t, len(starts), min(2, 5-done), "wave %d", wave)
		x.commit(starts)
		assert.Equal(t, len(x.plan(Options{}, worker("u", 8000))), 0)
		done += len(starts)
		x.end(starts, model.RunDone)
	}
	assert.Equal(t, x.s.Workloads.Len(), 0)
}

// end records the ends of runs.
func (x *site) end(starts []model.RunStart, outcome model.RunOutcome) {
	var ends []model.RunEnd
	for _, s := range starts {
		ends = append(ends, model.RunEnd{Run: s.Run, Worker: s.Worker, Outcome: outcome})
	}
	x.s, _ = command.Apply(x.s, x.s.Index+1, 1, model.Envelope{Time: x.s.Clock, Command: model.RecordProgress{Ends: ends}})
}

// Guards against a cap that counts each pool or workload for itself.
func TestCapHoldsForAllPools(t *testing.T) {
	x := newCappedSite(t, milliCPU(3000))
	x.s.Catalog.Pools = append(x.s.Catalog.Pools, model.WorkerPool{Name: "other"})
	x.s.Catalog.Queues[1].Pool = "other"
	x.submitAs("a", 0, 1, step(2, 1000))
	x.submitAs("a", 1, 2, step(2, 1000))
	x.submitAs("b", 1, 3, step(2, 1000))
	other := worker("o", 8000)
	other.Pool = "other"
	starts := x.plan(Options{}, worker("w", 8000), other)
	assert.Equal(t, len(starts), 5, "three of the capped account and two of the other")
}

// Guards against a gang of which only a part starts because the rest is above the cap.
func TestGangStartsWithinTheCapOrNotAtAll(t *testing.T) {
	x := newCappedSite(t, milliCPU(3500))
	gang := step(3, 1000)
	gang.Gang = true
	x.submitAs("a", 0, 1, gang)
	x.submitAs("a", 0, 2, gang)
	assert.Equal(t, len(x.plan(Options{}, worker("w", 8000))), 3)
	x.s.Catalog.Accounts[0].Cap = milliCPU(2999)
	assert.Equal(t, len(x.plan(Options{}, worker("w", 8000))), 0)
	// A gang that does not fit on the workers leaves the cap as it was.
	x.s.Catalog.Accounts[0].Cap = milliCPU(3500)
	x.submitAs("a", 1, 3, step(1, 1000))
	assert.Equal(t, len(x.plan(Options{}, worker("w", 2000))), 1)
}

// Guards against fillers that use more than the cap because they reserve no processors, and
// against copies that do not count.
func TestFillersAndCopiesCountForTheCap(t *testing.T) {
	x := newCappedSite(t, milliCPU(2000))
	filler := step(4, 1000)
	filler.Filler = true
	x.submitAs("a", 0, 1, filler)
	assert.Equal(t, len(x.plan(Options{}, worker("w", 8000))), 2)

	x = newCappedSite(t, milliCPU(2000))
	speculative := step(2, 1000)
	speculative.Speculative = true
	x.submitAs("a", 0, 1, speculative)
	x.commit(x.plan(Options{}, worker("w", 8000)))
	slow := Options{NeedsCopy: func(model.RunRef) bool { return true }}
	assert.Equal(t, len(x.plan(slow, worker("v", 8000))), 0)
	x.s.Catalog.Accounts[0].Cap = milliCPU(3000)
	assert.Equal(t, len(x.plan(slow, worker("v", 8000))), 1)
}

// Guards against a cap that forgets runs which workers still have although they are not
// assigned any more, and against an account that is stopped by the runs of another.
func TestUnassignedRunsCountForTheCap(t *testing.T) {
	x := newCappedSite(t, milliCPU(2000))
	x.submitAs("a", 0, 1, step(2, 1000))
	stopping := Options{Unassigned: map[model.AccountName]model.Resources{"a": milliCPU(1000)}}
	assert.Equal(t, len(x.plan(stopping, worker("w", 8000))), 1)
	others := Options{Unassigned: map[model.AccountName]model.Resources{"b": milliCPU(1000)}}
	assert.Equal(t, len(x.plan(others, worker("w", 8000))), 2)
}

// Guards against a cap that is lowered below what runs and takes away running work, or lets
// more start; and against a component 0 that counts as a limit.
func TestLoweredCapStartsNothingNew(t *testing.T) {
	x := newCappedSite(t, model.Resources{MilliCPU: 4000})
	lasting := step(4, 1000)
	lasting.Lasting = true
	lasting.Need.MemoryMB = 1
	id := x.submitAs("a", 0, 1, lasting)
	x.commit(x.plan(Options{}, worker("w", 8000)))
	x.s.Catalog.Accounts[0].Cap = model.Resources{MilliCPU: 1000}
	x.submitAs("a", 0, 2, step(1, 1))
	assert.Equal(t, len(x.plan(Options{}, worker("w", 4000))), 0)
	assert.Equal(t, len(Preempt(x.s, []Worker{worker("w", 4000)}, Options{Now: x.s.Clock.Add(preemptAfter)})), 0)
	w, _ := x.s.Workloads.Get(id)
	for _, task := range w.Rounds.Step(0, 0).Tasks.All() {
		assert.Equal(t, len(task.Active), 1)
	}
}

// Guards against runs that are preempted for a task which its account's cap holds back.
func TestNothingIsPreemptedForWorkAboveItsCap(t *testing.T) {
	x := newCappedSite(t, milliCPU(1000))
	x.submitAs("b", 1, 1, step(2, 1000))
	x.submitAs("a", 0, 2, step(1, 1000))
	workers := func() []Worker { return []Worker{worker("w", 3000)} }
	x.commit(x.plan(Options{}, workers()...))
	full := worker("w", 0)
	x.submitAs("a", 0, 3, step(1, 1000))
	late := Options{Now: x.s.Clock.Add(preemptAfter)}
	assert.Equal(t, len(Preempt(x.s, []Worker{full}, late)), 0)
	x.s.Catalog.Accounts[0].Cap = milliCPU(2000)
	assert.Equal(t, len(Preempt(x.s, []Worker{full}, late)), 1)
}

// Guards against needs so large that their sum overflows and passes for a small one.
func TestHugeNeedsDoNotPassTheCap(t *testing.T) {
	x := newCappedSite(t, milliCPU(1000))
	gang := step(4, 1<<62)
	gang.Gang = true
	x.submitAs("b", 0, 1, gang)
	x.s.Catalog.Accounts[1].Cap = milliCPU(1000)
	assert.Equal(t, len(x.plan(Options{}, worker("w", 1<<62))), 0)
}
