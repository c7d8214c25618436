package place

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// recordedPlans is the digest of the plans that the release without client accounts made for
// the fleets of TestPlansWithoutAccountsAreUnchanged.
const recordedPlans = "1f48f431713aa16ac498c56c4ba25c31ec0abba2a7857c0b63712d1b4d9bfc52"

// Guards against plans that differ from those of the last release where no accounts are
// configured: several days of random work on random workers, with gangs, copies, lasting
// tasks, fillers and preemption.
func TestPlansWithoutAccountsAreUnchanged(t *testing.T) {
	sum := sha256.New()
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		x := newSite(t)
		var workers []Worker
		for i := range 2 + r.IntN(10) {
			w := worker(fmt.Sprint(i), int64(1000*(1+r.IntN(8))))
			w.Suspect, w.Retiring, w.UpkeepDue = r.IntN(5) == 0, r.IntN(5) == 0, r.IntN(5) == 0
			w.Rack = fmt.Sprint(r.IntN(3))
			workers = append(workers, w)
		}
		for round := range 6 {
			for i := range r.IntN(8) {
				x.submit(r.IntN(2), 100*round+i+1, randomSteps(r)...)
			}
			x.s.Clock = x.s.Clock.Add(time.Duration(r.IntN(3000)) * time.Millisecond)
			options := Options{Now: x.s.Clock, NeedsCopy: func(run model.RunRef) bool { return run.Task.Index%2 == 0 }}
			starts := Plan(x.s, workers, options)
			fmt.Fprintln(sum, starts, Preempt(x.s, append([]Worker(nil), workers...), options))
			x.commit(starts)
			for i := range workers {
				for _, s := range starts {
					w, _ := x.s.Workloads.Get(s.Run.Task.Workload)
					if s.Worker == workers[i].ID {
						workers[i].Free = workers[i].Free.Sub(w.Steps[s.Run.Task.Step].Reserved())
					}
				}
			}
		}
	}
	assert.Equal(t, fmt.Sprintf("%x", sum.Sum(nil)), recordedPlans)
}

func randomSteps(r *rand.Rand) []model.Step {
	var out []model.Step
	for i := range 1 + r.IntN(3) {
		s := step(1+r.IntN(12), int64(200*(1+r.IntN(8))))
		s.Estimate = time.Duration(r.IntN(3000)) * time.Millisecond
		s.Gang, s.Lasting, s.Filler, s.Speculative = r.IntN(6) == 0, r.IntN(6) == 0, r.IntN(6) == 0, r.IntN(3) == 0
		s.Checkpointing = r.IntN(2) == 0
		if i > 0 && r.IntN(2) == 0 {
			s.After = []int{i - 1}
		}
		out = append(out, s)
	}
	return out
}
