package workload

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// replicaMemory is the memory of a control replica, in bytes.
const replicaMemory = 284 << 20

// Guards against scheduled workloads that take memory for rounds that are not due, so that the
// replicas end again and again: 250 with a round every five minutes for two months have to fit.
func TestScheduledRoundsTakeNoMemoryBeforeTheyAreDue(t *testing.T) {
	const all, submitted, rounds = 250, 25, 17_280
	w := newFixture(t)
	before := heap()
	for i := range submitted {
		r := w.apply(model.SubmitWorkload{
			Host: host, Path: fmt.Sprintf("%s%016x", prefix, i), Repeat: rounds,
			Workload: model.Workload{FirstDue: 5000, Interval: 5 * time.Minute, Steps: []model.Step{{Count: 1}}},
		})
		assert.Equal(t, r.Code, result.Accepted)
	}
	grown := heap() - before
	t.Logf("%d bytes for each workload", grown/submitted)
	assert.Assert(t, grown < replicaMemory*submitted/all, "%d workloads take %d MB", submitted, grown>>20)
	runtime.KeepAlive(w.s)
}

func heap() int64 {
	runtime.GC()
	runtime.GC() // the second one frees objects with finalizers
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against an estimate of the memory that is far from what workloads take, so that the
// budget does not protect the replicas: small, wide, long and scheduled workloads.
func TestCostIsCloseToTheMemoryTaken(t *testing.T) {
	steps := make([]model.Step, 200)
	for i := range steps {
		steps[i].Count = 1
	}
	for name, c := range map[string]struct {
		payload, rounds int
		steps           []model.Step
	}{
		"small": {400, 0, []model.Step{{Count: 10}}}, "wide": {0, 0, []model.Step{{Count: 20_000}}},
		"long": {0, 0, steps}, "scheduled": {0, 17_280, []model.Step{{Count: 1}}},
	} {
		w := newFixture(t)
		before := heap()
		for i := range 2000 {
			payload := strings.Repeat("x", c.payload+i%2)
			w.apply(model.SubmitWorkload{
				Host: host, Path: fmt.Sprintf("%s%016x", prefix, i), Repeat: c.rounds, Workload: model.Workload{Payload: payload, Steps: slices.Clone(c.steps)},
			})
		}
		taken := heap() - before
		t.Logf("%s: taken %d, counted %d", name, taken, w.s.Stored.Total)
		assert.Assert(t, taken < w.s.Stored.Total, "%s: taken %d, counted %d", name, taken, w.s.Stored.Total)
		assert.Assert(t, w.s.Stored.Total < 2*taken, "%s: taken %d, counted %d", name, taken, w.s.Stored.Total)
		runtime.KeepAlive(w.s)
	}
}

// budgeted submits a workload of one task to a queue with a budget.
func (w *fixture) budgeted(queue string, id int, budget int64, payload string) result.Code {
	return w.apply(model.SubmitWorkload{
		Host: host, Path: fmt.Sprintf("/%s/%016x", queue, id), Budget: budget,
		Workload: model.Workload{Payload: payload, Steps: []model.Step{{Count: 1}}},
	}).Code
}

// Guards against one queue that fills the memory of the replicas or takes all of it from the
// others, against room that is not given back, and against work that can never be stored and is
// told to come again.
func TestStoredWorkStaysInTheBudget(t *testing.T) {
	w := newFixture(t)
	w.s.Catalog.Queues = nil
	for _, name := range []string{"a", "b"} {
		w.s.Catalog.Queues = append(w.s.Catalog.Queues, model.Queue{Name: model.QueueName(name), Host: host, Prefix: "/" + name + "/", Pool: "pool"})
	}
	const budget = 1 << 20
	accepted := 0
	for accepted < 2000 && w.budgeted("a", accepted, budget, "") == result.Accepted {
		accepted++
	}
	assert.Assert(t, accepted > 100 && accepted < 2000)
	assert.Equal(t, w.budgeted("a", 5000, budget, ""), result.Overloaded)
	assert.Equal(t, w.budgeted("b", 5001, budget, strings.Repeat("x", 4000)), result.Accepted)
	assert.Equal(t, w.budgeted("a", 5002, budget, strings.Repeat("x", budget)), result.InvalidInput)
	for i := range 8 { // outcomes take memory too
		w.apply(model.CancelWorkload{Host: host, Path: fmt.Sprintf("/a/%016x", i)})
	}
	assert.Equal(t, w.budgeted("a", 5003, budget, ""), result.Accepted)
	assert.Assert(t, w.s.StoredBytes() <= budget)
	assert.Equal(t, w.budgeted("a", 7000, 0, ""), result.Accepted) // entries of earlier releases have no budget
}

// Guards against sums that drift from what is stored, so that replicas that have read a snapshot
// decide otherwise than those that have not.
func TestStoredWorkIsCountedAlikeAfterASnapshot(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		w := newFixture(t)
		for n := range 200 {
			id := model.WorkloadID(fmt.Sprintf("%016x", rng.IntN(6)))
			path := prefix + string(id)
			task := model.TaskRef{Workload: id, Round: rng.IntN(3), Index: rng.IntN(40)}
			switch rng.IntN(20) {
			case 0:
				w.apply(model.CancelWorkload{Host: host, Path: path})
			case 1, 2:
				w.apply(model.SubmitWorkload{Host: host, Path: path, Repeat: 3, Workload: model.Workload{Steps: []model.Step{{Count: 40, Gang: rng.IntN(4) == 0}}}})
			default:
				run := model.RunRef{Task: task, Number: n}
				w.record(nil, model.RunStart{Run: run, Worker: first})
				outcome := model.RunOutcome(1 + rng.IntN(3))
				if rng.IntN(2) == 0 {
					w.record([]model.RunEnd{{Run: run, Worker: first, Outcome: outcome, Checkpoint: strings.Repeat("c", rng.IntN(3))}})
				}
			}
		}
		counted := w.s
		CountStored(&counted)
		assert.Equal(t, counted.Stored.Total, w.s.Stored.Total, "seed %d", seed)
		assert.DeepEqual(t, counted.Stored.ByHolder.Values(), w.s.Stored.ByHolder.Values())
	}
}
