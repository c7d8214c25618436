package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// fleet plays time on workers of a site: it ends runs, submits work and plans.
type fleet struct {
	*site
	capacity int64 // of each worker, in thousandths of a processor
	workers  int
	ends     map[model.RunStart]model.Timestamp
	// stopping holds the runs that workers still have although they are not assigned, with
	// their accounts.
	stopping map[model.RunStart]model.AccountName
}

func newFleet(t *testing.T, workers int, capacity int64) *fleet {
	return &fleet{newSite(t), capacity, workers, map[model.RunStart]model.Timestamp{}, map[model.RunStart]model.AccountName{}}
}

// tick plays 100 ms: runs that are over end, and free capacity gets work.
func (f *fleet) tick() {
	f.s.Clock = f.s.Clock.Add(100 * time.Millisecond)
	var over []model.RunStart
	for run, at := range f.ends {
		if at <= f.s.Clock {
			over = append(over, run)
			delete(f.ends, run)
		}
	}
	slices.SortFunc(over, func(a, b model.RunStart) int { return compareRuns(a, b) })
	f.end(over, model.RunDone)
	f.plan()
}

func compareRuns(a, b model.RunStart) int {
	return slices.Compare([]string{fmt.Sprint(a)}, []string{fmt.Sprint(b)})
}

func (f *fleet) plan() {
	used := map[model.WorkerID]int64{}
	for _, a := range f.s.Assignments.All() {
		for run := range a.Runs.All() {
			used[a.Worker] += f.need(run)
		}
	}
	var offers []Worker
	for i := range f.workers {
		w := worker(fmt.Sprint(i), f.capacity)
		w.Free.MilliCPU -= used[w.ID]
		offers = append(offers, w)
	}
	starts := Plan(f.s, offers, Options{Now: f.s.Clock})
	f.commit(starts)
	for _, s := range starts {
		w, _ := f.s.Workloads.Get(s.Run.Task.Workload)
		if !w.Steps[s.Run.Task.Step].Lasting {
			f.ends[s] = f.s.Clock.Add(w.Steps[s.Run.Task.Step].Estimate)
		}
	}
}

func (f *fleet) need(run model.RunRef) int64 {
	w, _ := f.s.Workloads.Get(run.Task.Workload)
	return w.Steps[run.Task.Step].Need.MilliCPU
}

// running returns the processor time in use by the account.
func (f *fleet) running(name model.AccountName) (sum int64) {
	for _, w := range f.s.Workloads.All() {
		for ref, task := range w.Begun() {
			if w.Account == name {
				sum += w.Steps[ref.Step].Need.MilliCPU * int64(len(task.Active))
			}
		}
	}
	return sum
}

// Guards against shares that do not follow the weights while all is full, and against an
// account whose wide steps take the capacity in one turn.
func TestCapacityFollowsTheWeights(t *testing.T) {
	f := newFleet(t, 12, 10_000)
	for i, weight := range []float64{1, 2, 3} {
		name := model.AccountName(fmt.Sprint("a", i))
		f.addAccount(model.ClientAccount{Name: name, Weight: weight})
		for j := range 40 {
			f.submitAs(name, 0, 1000*i+j+1, step(60, 1000))
		}
	}
	for tick := range 60 {
		f.tick()
		if tick < 10 {
			continue
		}
		for i, weight := range []int64{1, 2, 3} {
			fair := 120_000 * weight / 6
			got := f.running(model.AccountName(fmt.Sprint("a", i)))
			assert.Assert(t, got >= fair-maxTurnRuns*1000 && got <= fair+maxTurnRuns*1000, "tick %d, account %d: %d of %d", tick, i, got, fair)
		}
	}
}

// Guards against room that stays empty for an account that has no work, and against room
// that does not come back when the account has work again: the runs in the way end within
// their run time.
func TestIdleCapacityIsLentAndComesBack(t *testing.T) {
	f := newFleet(t, 4, 10_000)
	f.addAccount(model.ClientAccount{Name: "a", Weight: 1})
	f.addAccount(model.ClientAccount{Name: "b", Weight: 1})
	for j := range 40 {
		f.submitAs("a", 0, j+1, step(40, 1000))
	}
	for range 5 {
		f.tick()
	}
	assert.Equal(t, f.running("a"), int64(40_000))
	for j := range 10 {
		f.submitAs("b", 0, 1000+j, step(40, 1000))
	}
	for range 10 { // the run time of a task
		f.tick()
	}
	assert.Assert(t, f.running("b") >= 20_000-maxTurnRuns*1000, "%d", f.running("b"))
}

// Guards against an account that sends ten times its rate and takes the room of the others:
// each account's work within its rate is served in time, the worst tenth too.
func TestAccountBeyondItsRateCostsNoOther(t *testing.T) {
	const accounts, seconds, heavy = 20, 20, 7
	f := newFleet(t, 16, 10_000)
	for i := range accounts {
		f.addAccount(model.ClientAccount{Name: model.AccountName(fmt.Sprint("a", i)), Weight: 1, Rate: 1})
	}
	owed, served := map[model.AccountName]int{}, map[model.AccountName]int{}
	type sent struct {
		account model.AccountName
		id      model.WorkloadID
		until   model.Timestamp
	}
	var open []sent
	id := 0
	for range seconds {
		for i := range accounts {
			name := model.AccountName(fmt.Sprint("a", i))
			n := 1
			if i == heavy {
				n = 10
			}
			for range n {
				id++
				w := f.submitAs(name, 0, id, step(5, 1000))
				if x, _ := f.s.Workloads.Get(w); !x.BeyondRate {
					owed[name]++
					open = append(open, sent{name, w, f.s.Clock.Add(3 * time.Second)})
				}
			}
		}
		for range 10 {
			f.tick()
			open = slices.DeleteFunc(open, func(s sent) bool {
				if f.s.Finished.Has(s.id) {
					served[s.account]++
					return true
				}
				return f.s.Clock > s.until
			})
		}
	}
	for i := range accounts {
		name := model.AccountName(fmt.Sprint("a", i))
		late := 3 // workloads of the last seconds may still be open
		assert.Assert(t, owed[name] >= seconds-1 && owed[name] <= seconds+1, "account %d is owed %d", i, owed[name])
		assert.Assert(t, served[name] >= owed[name]-late, "account %d: %d of %d", i, served[name], owed[name])
	}
}

// Guards against work that never starts: each account's work of each class gets its turn.
func TestNoAccountStarves(t *testing.T) {
	for seed := range uint64(10) {
		r := rand.New(rand.NewPCG(seed, 2))
		f := newFleet(t, 3, 4000)
		var all []model.WorkloadID
		for i := range 6 {
			name := model.AccountName(fmt.Sprint("a", i))
			f.addAccount(model.ClientAccount{Name: name, Weight: 0.1 + 10*r.Float64(), Rate: float64(r.IntN(3)), Cap: milliCPU(int64(r.IntN(2) * 3000))})
			for j := range 1 + r.IntN(10) {
				all = append(all, f.submitAs(name, r.IntN(2), 100*i+j+1, step(1+r.IntN(10), int64(500*(1+r.IntN(5))))))
			}
		}
		for range 2000 {
			f.tick()
		}
		for _, w := range all {
			assert.Assert(t, f.s.Finished.Has(w), "seed %d: %s", seed, w)
		}
	}
}

// Guards against an account above its cap in any order of starts, ends, cancellations, runs
// that are slow to stop, lost workers and changed caps.
func TestCapHoldsInRandomFleets(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 3))
		x := newSite(t)
		x.addAccount(model.ClientAccount{Name: "a", Weight: 1, Cap: milliCPU(int64(1000 * (1 + r.IntN(10))))})
		x.addAccount(model.ClientAccount{Name: "b", Weight: 2, Cap: model.Resources{MemoryMB: 50}})
		var active []model.RunStart
		stopping := map[model.AccountName]model.Resources{}
		for i := range 40 {
			steps := randomSteps(r)
			for j := range steps {
				steps[j].Need.MemoryMB = int64(r.IntN(10))
			}
			// The caps are lower than when the workload was accepted.
			capped := slices.Clone(x.s.Catalog.Accounts)
			for k := range capped {
				x.s.Catalog.Accounts[k].Cap = model.Resources{}
			}
			x.submitAs([]model.AccountName{"a", "b"}[r.IntN(2)], r.IntN(2), i+1, steps...)
			x.s.Catalog.Accounts = capped
			before := x.needs(stopping)
			starts := x.plan(Options{Unassigned: stopping, NeedsCopy: func(model.RunRef) bool { return r.IntN(2) == 0 }}, worker("u", 9000), worker("v", 20_000))
			x.commit(starts)
			active = append(active, starts...)
			for name, use := range x.needs(stopping) {
				account, _ := x.s.Catalog.Account(name)
				if use != before[name] {
					within := (account.Cap.MilliCPU == 0 || use.MilliCPU <= account.Cap.MilliCPU) && (account.Cap.MemoryMB == 0 || use.MemoryMB <= account.Cap.MemoryMB)
					assert.Assert(t, within, "seed %d: %s has %+v of %+v", seed, name, use, account.Cap)
				}
			}
			active = x.endSome(r, active, stopping)
			if r.IntN(5) == 0 {
				x.s.Catalog.Accounts[0].Cap = milliCPU(int64(1000 * (1 + r.IntN(10))))
			}
		}
	}
}

// needs returns what each account has running, with the runs that are being stopped.
func (x *site) needs(stopping map[model.AccountName]model.Resources) map[model.AccountName]model.Resources {
	out := map[model.AccountName]model.Resources{}
	for name, need := range stopping {
		out[name] = need
	}
	for _, w := range x.s.Workloads.All() {
		for ref, task := range w.Begun() {
			for range task.Active {
				out[w.Account] = out[w.Account].Add(w.Steps[ref.Step].Need)
			}
		}
	}
	return out
}

// endSome ends some of the runs. A run whose task has ended elsewhere goes on for a while on
// its worker.
func (x *site) endSome(r *rand.Rand, active []model.RunStart, stopping map[model.AccountName]model.Resources) []model.RunStart {
	for name := range stopping {
		if r.IntN(3) == 0 {
			delete(stopping, name)
		}
	}
	var left []model.RunStart
	for _, s := range active {
		w, known := x.s.Workloads.Get(s.Run.Task.Workload)
		if r.IntN(4) > 0 {
			left = append(left, s)
			continue
		}
		x.end([]model.RunStart{s}, []model.RunOutcome{model.RunDone, model.RunFailed, model.RunInterrupted}[r.IntN(3)])
		if known && r.IntN(2) == 0 {
			stopping[w.Account] = stopping[w.Account].Add(w.Steps[s.Run.Task.Step].Need)
		}
	}
	return left
}

// BenchmarkPlanAccounts measures Plan at 720 workers with a backlog of 20,000 tasks, without
// accounts and with 35 of them.
func BenchmarkPlanAccounts(b *testing.B) {
	for _, accounts := range []int{0, 35} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			x := newSite(&testing.T{})
			for i := range accounts {
				x.addAccount(model.ClientAccount{Name: model.AccountName(fmt.Sprint("a", i)), Weight: 1, Rate: 1, Cap: milliCPU(1_000_000)})
			}
			for i := range 1000 {
				if accounts == 0 {
					x.submit(i%2, i+1, step(20, 1000))
				} else {
					x.submitAs(model.AccountName(fmt.Sprint("a", i%accounts)), i%2, i+1, step(20, 1000))
				}
			}
			free := make([]Worker, 720)
			for i := range free {
				free[i] = worker(fmt.Sprint(i), 500)
				if i%10 == 0 {
					free[i] = worker(fmt.Sprint(i), 1000)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				x.plan(Options{}, free...)
			}
		})
	}
}
