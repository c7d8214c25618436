package site

import (
	"context"
	"slices"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
)

// drainInstance drains the instance of the first target under a steady load. It checks
// that no request is interrupted and that the target gets no new work.
func (d *Demo) drainInstance(ctx context.Context) error {
	leaving := d.site.Targets[0]
	var r result.Result
	var served int
	replies, err := d.underLoad(ctx, func() error {
		r = d.submit(ctx, client.NewRequestID(), model.DrainInstance{Instance: leaving.Instance})
		if err := leaving.Leave(ctx); err != nil {
			return err
		}
		served = leaving.Received()
		return nil
	})
	if err != nil {
		return err
	}
	complete, first := countComplete(replies)
	d.outcomes.add(r.Code == result.Accepted && complete == len(replies), "a drained instance finishes its requests in flight, and no request is cut",
		"%s, %d of %d complete%s", r.Code, complete, len(replies), first)
	after := d.caller.play(ctx, []call{{ID: "after", Caller: "counter-1", Service: string(leaving.Service), Path: "/work/after", RunMs: 1}})
	d.outcomes.add(after[0].complete && after[0].target != string(leaving.ID) && leaving.Received() == served,
		"a target that has left gets no new work", "served by %s", after[0].target)
	return d.exhaustBudget(ctx, leaving)
}

// exhaustBudget drains the other instances of the pool and checks that the availability
// budget refuses the last one.
func (d *Demo) exhaustBudget(ctx context.Context, drained *Target) error {
	pool := d.poolOf(drained.Instance)
	var last result.Result
	accepted := 1
	for _, i := range d.config.Instances {
		if i.Pool != pool || i.ID == drained.Instance {
			continue
		}
		r := d.submit(ctx, client.NewRequestID(), model.DrainInstance{Instance: i.ID})
		if last = r; r.Code.OK() {
			accepted++
		}
	}
	refused := last.Code == result.BudgetExceeded || last.Code == result.DomainLimit
	d.outcomes.add(refused, "draining stops at the availability budget of the pool", "%d drained, then %s", accepted, last.Error())
	return nil
}

func (d *Demo) poolOf(id model.InstanceID) model.PoolName {
	i := slices.IndexFunc(d.config.Instances, func(i model.InstanceSpec) bool { return i.ID == id })
	return d.config.Instances[i].Pool
}

// wavePool is the pool that the demo maintains. Targets run on two of its instances.
const wavePool = model.PoolName("quotes")

// runWave starts a maintenance wave under a steady load, waits until at least two
// instances are done and cancels the wave.
func (d *Demo) runWave(ctx context.Context) error {
	const id = model.WaveID("demo")
	var started, cancelled result.Result
	minAvailable := 0
	replies, err := d.underLoad(ctx, func() error {
		if started = d.submit(ctx, client.NewRequestID(), model.StartWave{ID: id, Pools: []model.PoolName{wavePool}}); !started.Code.OK() {
			return nil
		}
		minAvailable = d.watchWave(ctx, func(w model.Wave) bool { return len(w.Done) >= 2 })
		cancelled = d.submit(ctx, client.NewRequestID(), model.SetWavePhase{ID: id, Phase: model.WaveCancelled})
		minAvailable = min(minAvailable, d.watchWave(ctx, func(w model.Wave) bool { return len(w.Running) == 0 }))
		return nil
	})
	if err != nil {
		return err
	}
	w, _ := d.state().Waves.Get(id)
	d.outcomes.add(started.Code.OK() && cancelled.Code.OK() && len(w.Done) >= 2, "a maintenance wave drains, reboots and returns instances until it is cancelled",
		"%d of 8 done, %d skipped, wave %s", len(w.Done), len(w.Passed), w.Phase)
	d.outcomes.add(minAvailable >= 6, "the pool keeps its availability budget (6 of 8) during the wave", "at least %d available", minAvailable)
	complete, first := countComplete(replies)
	d.outcomes.add(complete == len(replies), "maintenance cuts no request", "%d of %d complete%s", complete, len(replies), first)
	return nil
}

// watchWave waits until the demo's wave meets a condition, or until stepTimeout is
// over, and returns the smallest number of available instances observed in its pool.
func (d *Demo) watchWave(ctx context.Context, until func(model.Wave) bool) int {
	minAvailable := len(d.config.Instances)
	eventually(ctx, func() bool {
		s := d.state()
		available := 0
		for _, i := range s.Instances.All() {
			if i.Pool == wavePool && i.Available() {
				available++
			}
		}
		minAvailable = min(minAvailable, available)
		w, ok := s.Waves.Get("demo")
		return ok && until(w)
	})
	return minAvailable
}
