package site

import (
	"context"
	"slices"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
)

// drainInstance drains the instance of the first target and checks that it
// gets no new work, while requests go on.
func (d *Demo) drainInstance(ctx context.Context) error {
	leaving := d.site.Targets[0]
	var r result.Result
	var served int
	replies, err := d.during(ctx, func() error {
		r = d.submit(ctx, client.NewRequestID(), model.DrainInstance{Instance: leaving.Instance})
		if err := leaving.Leave(ctx); err != nil {
			return err
		}
		served = leaving.Served()
		return nil
	})
	if err != nil {
		return err
	}
	whole, first := countWhole(replies)
	d.outcomes.add(r.Code == result.Accepted && whole == len(replies), "a drained instance finishes what is in flight and no request is cut",
		"%s, %d of %d whole%s", r.Code, whole, len(replies), first)
	after := d.caller.play(ctx, []call{{ID: "after", Caller: "counter-1", Service: string(leaving.Service), Path: "/work/after", RunMs: 1}})
	d.outcomes.add(after[0].whole && after[0].target != string(leaving.ID) && leaving.Served() == served,
		"a target that has left gets no new work", "served by %s", after[0].target)
	return d.breakBudget(ctx, leaving)
}

// breakBudget drains further instances of the pool until the budget refuses.
func (d *Demo) breakBudget(ctx context.Context, drained *Target) error {
	pool := d.poolOf(drained.Instance)
	var last result.Result
	taken := 1
	for _, i := range d.config.Instances {
		if i.Pool != pool || i.ID == drained.Instance {
			continue
		}
		r := d.submit(ctx, client.NewRequestID(), model.DrainInstance{Instance: i.ID})
		if last = r; r.Code.OK() {
			taken++
		}
	}
	refused := last.Code == result.BudgetExceeded || last.Code == result.DomainLimit
	d.outcomes.add(refused, "draining stops at the availability budget of the pool", "%d drained, then %s", taken, last.Error())
	return nil
}

func (d *Demo) poolOf(id model.InstanceID) model.PoolName {
	i := slices.IndexFunc(d.config.Instances, func(i model.InstanceSpec) bool { return i.ID == id })
	return d.config.Instances[i].Pool
}

// wavePool is the pool that the demo maintains; targets run on two of its instances.
const wavePool = model.PoolName("quotes")

// runWave starts a maintenance wave, lets it finish its first instances and
// cancels it. Requests go on all the time.
func (d *Demo) runWave(ctx context.Context) error {
	const id = model.WaveID("demo")
	var started, cancelled result.Result
	least := 0
	replies, err := d.during(ctx, func() error {
		if started = d.submit(ctx, client.NewRequestID(), model.StartWave{ID: id, Pools: []model.PoolName{wavePool}}); !started.Code.OK() {
			return nil
		}
		least = d.watchWave(ctx, func(w model.Wave) bool { return len(w.Done) >= 2 })
		cancelled = d.submit(ctx, client.NewRequestID(), model.SetWavePhase{ID: id, Phase: model.WaveCancelled})
		least = min(least, d.watchWave(ctx, func(w model.Wave) bool { return len(w.Running) == 0 }))
		return nil
	})
	if err != nil {
		return err
	}
	w, _ := d.state().Waves.Get(id)
	d.outcomes.add(started.Code.OK() && cancelled.Code.OK() && len(w.Done) >= 2, "a maintenance wave drains, reboots and returns instances until it is cancelled",
		"%d of 8 done, %d skipped, wave %s", len(w.Done), len(w.Passed), w.Phase)
	d.outcomes.add(least >= 6, "the pool keeps its availability budget (6 of 8) during the wave", "at least %d available", least)
	whole, first := countWhole(replies)
	d.outcomes.add(whole == len(replies), "maintenance cuts no request", "%d of %d whole%s", whole, len(replies), first)
	return nil
}

// watchWave waits for a condition of the demo's wave and returns the smallest
// number of available instances seen in its pool.
func (d *Demo) watchWave(ctx context.Context, until func(model.Wave) bool) int {
	least := len(d.config.Instances)
	eventually(ctx, func() bool {
		s := d.state()
		available := 0
		for _, i := range s.Instances.All() {
			if i.Pool == wavePool && i.Available() {
				available++
			}
		}
		least = min(least, available)
		w, ok := s.Waves.Get("demo")
		return ok && until(w)
	})
	return least
}
