package fleet_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

const (
	day        = 24 * time.Hour
	replaySeed = 1204
)

// siteConfig returns the configuration of a site with four instances in each rack.
// Adjacent instances of a rack belong to different pools, except for spares.
func siteConfig(instances, pools, spares, centers int, w model.Weights) model.Config {
	c := model.Config{
		Site: "replay", Weights: w, Waves: model.WavePolicy{MaxStep: 4, Every: 14 * day},
		Limits: model.Limits{SlotsPerTarget: 8, ConnectionsPerTarget: 64, KeyRetention: time.Minute, MaxClaims: 10},
	}
	for n := range pools - 1 {
		c.Pools = append(c.Pools, model.Pool{Name: model.PoolName(fmt.Sprintf("pool%02d", n)), Budget: model.Budget{MinAvailableShare: 0.8, MaxPerRack: 1}})
	}
	c.Pools = append(c.Pools, model.Pool{Name: "spare", Spare: true})
	for n := range instances {
		pool := c.Pools[n%(pools-1)].Name
		if n >= instances-spares {
			pool = "spare"
		}
		c.Instances = append(c.Instances, model.InstanceSpec{
			ID: model.InstanceID(fmt.Sprintf("i%03d", n)), Pool: pool, Capacity: model.Resources{MilliCPU: 1, MemoryMB: 1},
			Domain: model.Domain{Region: fmt.Sprint("r", n/4%centers%3), DataCenter: fmt.Sprint("dc", n/4%centers), Rack: fmt.Sprint("rack", n/4)},
		})
	}
	return c
}

var (
	balanced = model.Weights{ShortWait: 0.25, BufferCost: 0.25, RollOut: 0.25, Moves: 0.25}
	cautious = model.Weights{ShortWait: 0.2, BufferCost: 0.4, RollOut: 0.05, Moves: 0.35} // favours a small reserve and few moves, like the sample karaoke
	hurried  = model.Weights{ShortWait: 0.4, BufferCost: 0.05, RollOut: 0.5, Moves: 0.05}
)

// fault is an outage of some instances.
type fault struct {
	at    time.Duration
	hit   []model.InstanceID
	lasts time.Duration
}

// ordinaryFaults returns random faults: 4 failures (4 to 12 h) and 120 restarts (1 to
// 3 min) a day for every 720 instances, and a 6 h outage of one random rack 5 days
// after the start.
func ordinaryFaults(c model.Config, length time.Duration, rng *rand.Rand) []fault {
	var out []fault
	add := func(perDay float64, shortest, longest time.Duration) {
		count := int(math.Round(perDay * float64(len(c.Instances)) / 720 * length.Hours() / 24))
		for range count {
			id := c.Instances[rng.IntN(len(c.Instances))].ID
			lasts := shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
			out = append(out, fault{time.Duration(rng.Int64N(int64(length))), []model.InstanceID{id}, lasts})
		}
	}
	add(4, 4*time.Hour, 12*time.Hour)
	add(120, time.Minute, 3*time.Minute)
	rack := fault{at: 5 * day, lasts: 6 * time.Hour}
	lost := c.Instances[rng.IntN(len(c.Instances))].Domain
	for _, i := range c.Instances {
		if i.Domain == lost {
			rack.hit = append(rack.hit, i.ID)
		}
	}
	out = append(out, rack)
	slices.SortFunc(out, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return out
}

// busyUntil returns the end of the work on an instance. A job begins in half of the
// 10-minute slots. One job in ten is a straggler, which takes six times as long.
func busyUntil(id model.InstanceID, now model.Timestamp) model.Timestamp {
	const slot = model.Timestamp(10 * time.Minute / time.Millisecond)
	end := model.Timestamp(0)
	for k := range model.Timestamp(3) {
		begin := now/slot*slot - k*slot
		n := splitmix(seedOf(id) ^ uint64(begin))
		if n%2 == 0 {
			continue
		}
		lasts := time.Duration(n>>8%240) * time.Second
		if n>>4%10 == 0 {
			lasts *= 6
		}
		end = max(end, begin.Add(lasts))
	}
	return end
}

// seedOf returns a seed for the pseudo-random work of an instance.
func seedOf(id model.InstanceID) uint64 {
	n := uint64(0)
	for k := range len(id) {
		n = n*10 + uint64(id[k])
	}
	return n << 48
}

// splitmix is the finalizer of splitmix64.
func splitmix(n uint64) uint64 {
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}

// outcome holds the results of a replay.
type outcome struct {
	rollout  time.Duration // from the start of the wave until it is done
	moves    int
	reserve  time.Duration // instance time out of service for maintenance
	margin   float64       // average headroom of the pool after an accepted TakeWaveStep
	refused  int           // TakeWaveStep commands that were not accepted
	violated error         // first violation of an invariant
	longest  time.Duration // longest time between two maintenances of an instance
	shortest time.Duration // shortest time between two maintenances of an instance
	count    int           // maintenances
	commands int           // commands applied
}

// replay is a simulation that measures an outcome.
type replay struct {
	*simulation
	out   outcome
	held  map[model.InstanceID]model.Timestamp // start of the drain of each instance that a wave holds
	last  map[model.InstanceID]model.Timestamp // last maintenance of each instance
	takes int                                  // accepted TakeWaveStep commands
	check *checker
}

func newReplay(c model.Config) *replay {
	r := &replay{
		simulation: newSimulation(c), held: map[model.InstanceID]model.Timestamp{}, last: map[model.InstanceID]model.Timestamp{},
		check: &checker{reboots: map[string]int{}, begun: map[model.OperationID]bool{}},
	}
	r.out.shortest = math.MaxInt64
	for id := range r.s.Instances.All() {
		r.last[id] = r.now
	}
	r.load = func(id model.InstanceID, now model.Timestamp) int {
		if busyUntil(id, now) > now {
			return 1
		}
		return 0
	}
	r.applied = r.record
	return r
}

// record updates the outcome after each command.
func (r *replay) record(before, after model.State, c model.Command, res result.Result) {
	r.check.step(before, after, c, res)
	r.out.commands++
	switch c := c.(type) {
	case model.TakeWaveStep:
		if res.Code != result.Accepted {
			r.out.refused++
			return
		}
		r.held[c.Instance] = r.now
		r.machines[c.Instance].busyUntil = busyUntil(c.Instance, r.now)
		u, _ := budget.ForPool(after, r.instance(c.Instance).Pool)
		r.out.margin += float64(u.Headroom())
		r.takes++
	case model.StartMove:
		if res.Code == result.Accepted {
			r.out.moves++
			r.machines[c.Instance].busyUntil = busyUntil(c.Instance, r.now)
		}
	case model.ReturnInstance:
		r.release(c.Instance, false)
	case model.SetInstancePhase:
		if res.Code == result.Accepted {
			r.release(c.Instance, c.From == model.PhaseSoaking && c.To == model.PhaseActive)
		}
	}
}

// release adds the time out of service of an instance to the reserve, unless a wave
// still holds the instance. If the instance was maintained, it also records the time
// since its previous maintenance.
func (r *replay) release(id model.InstanceID, maintained bool) {
	since, held := r.held[id]
	if _, still := r.instance(id).HeldByWave(); still || !held {
		return
	}
	delete(r.held, id)
	r.out.reserve += r.now.Sub(since)
	if maintained {
		gap := r.now.Sub(r.last[id])
		r.out.longest, r.out.shortest = max(r.out.longest, gap), min(r.out.shortest, gap)
		r.last[id] = r.now
		r.out.count++
	}
}

func (r *replay) run(length time.Duration, faults []fault, stop func() bool) outcome {
	start := r.now
	for r.now < start.Add(length) && !stop() {
		for len(faults) > 0 && start.Add(faults[0].at) <= r.now {
			for _, id := range faults[0].hit {
				r.fail(id, r.now.Add(faults[0].lasts))
			}
			faults = faults[1:]
		}
		until := start.Add(length)
		if len(faults) > 0 {
			until = min(until, start.Add(faults[0].at))
		}
		r.runUntil(until, stop)
	}
	r.out.rollout = r.now.Sub(start)
	r.out.margin /= float64(max(r.takes, 1))
	r.out.violated = r.check.failed
	for id := range r.s.Instances.All() {
		r.out.longest = max(r.out.longest, r.now.Sub(r.last[id]))
	}
	return r.out
}

// oneAtATime maintains one instance of a wave at a time. It and fixedBatch are
// baselines: they replace only the selection of the next instances and use the
// production handling of drains and reboots.
func oneAtATime(sim *simulation, commands []model.Command) []model.Command {
	return replaceTakes(sim, commands, func(v model.Wave, _ model.PoolName) int { return 1 - len(v.Running) })
}

// fixedBatch takes as many instances of each pool as the largest step allows and
// waits until all of them have returned.
func fixedBatch(sim *simulation, commands []model.Command) []model.Command {
	return replaceTakes(sim, commands, func(v model.Wave, pool model.PoolName) int {
		for _, id := range v.Running {
			if sim.instance(id).Pool == pool {
				return 0
			}
		}
		return sim.s.WavePolicy().MaxStep
	})
}

// replaceTakes replaces the TakeWaveStep commands. For each pool of a running wave,
// free returns the number of new ones.
func replaceTakes(sim *simulation, commands []model.Command, free func(model.Wave, model.PoolName) int) []model.Command {
	out := slices.DeleteFunc(commands, func(c model.Command) bool {
		_, take := c.(model.TakeWaveStep)
		return take
	})
	for _, v := range sim.s.Waves.All() {
		if v.Phase != model.WaveRunning {
			continue
		}
		for _, pool := range v.Pools {
			n := free(v, pool)
			for _, id := range v.Pending {
				if n <= 0 {
					break
				}
				if i := sim.instance(id); i.Pool == pool && i.Available() {
					out = append(out, model.TakeWaveStep{ID: v.ID, Instance: id})
					v.Running = append(slices.Clone(v.Running), id)
					n--
				}
			}
		}
	}
	return out
}

// round maintains all instances in one wave. If the wave stops after failures, the
// operator resumes it an hour later.
func round(c model.Config, override func(*simulation, []model.Command) []model.Command) (outcome, model.Wave) {
	c.Waves.Every = 0
	r := newReplay(c)
	r.override = override
	var pools []model.PoolName
	for _, p := range c.Pools {
		pools = append(pools, p.Name)
	}
	faults := ordinaryFaults(c, 14*day, rand.New(rand.NewPCG(replaySeed, 1)))
	r.do(model.StartWave{ID: "round", Pools: pools})
	var stoppedAt model.Timestamp
	out := r.run(14*day, faults, func() bool {
		w, _ := r.s.Waves.Get("round")
		switch {
		case w.Phase != model.WaveStopped:
			stoppedAt = 0
		case stoppedAt == 0:
			stoppedAt = r.now
		case r.now.Sub(stoppedAt) > time.Hour:
			r.do(model.SetWavePhase{ID: "round", Phase: model.WaveRunning})
		}
		return w.Phase == model.WaveDone
	})
	w, _ := r.s.Waves.Get("round")
	return out, w
}

// rolling runs scheduled maintenance for four weeks.
func rolling(c model.Config) outcome {
	r := newReplay(c)
	return r.run(28*day, ordinaryFaults(c, 28*day, rand.New(rand.NewPCG(replaySeed, 2))), forever)
}

// Guards against a schedule that maintains an instance too late or too often, and
// against planned work that exceeds a budget, on a site of 50 instances.
func TestReplayOfScheduleAt50(t *testing.T) {
	out := rolling(siteConfig(50, 6, 8, 3, balanced))
	assert.NilError(t, out.violated)
	assert.Assert(t, out.longest <= 14*day, "an instance was not maintained for %s, the limit is 14 days", out.longest)
	assert.Assert(t, out.count <= 3*50, "%d maintenances of 50 instances in 4 weeks, the limit is 3 for each", out.count)
	t.Logf("%+v", out)
}

// Guards against a wave over all pools that exceeds a budget or omits instances, on a
// site of 50 instances.
func TestReplayOfRoundAt50(t *testing.T) {
	out, w := round(siteConfig(50, 6, 8, 3, balanced), nil)
	assert.NilError(t, out.violated)
	assert.Equal(t, w.Phase, model.WaveDone)
	assert.Equal(t, len(w.Done)+len(w.Passed), 50)
	t.Logf("%+v, skipped %d", out, len(w.Passed))
}

// sizes returns the configurations of the benchmarks by number of instances.
func sizes() map[string]func(model.Weights) model.Config {
	return map[string]func(model.Weights) model.Config{
		"50":  func(w model.Weights) model.Config { return siteConfig(50, 6, 8, 3, w) },
		"720": func(w model.Weights) model.Config { return siteConfig(720, 29, 20, 7, w) },
	}
}

// BenchmarkRound compares one wave over all pools, for several weights and in fixed
// batches, with maintenance of one instance at a time.
func BenchmarkRound(b *testing.B) {
	for size, build := range sizes() {
		b.Run(size, func(b *testing.B) {
			for range b.N {
				base, first := round(build(balanced), oneAtATime)
				report := func(name string, out outcome, w model.Wave) {
					if out.violated != nil {
						b.Fatal(out.violated)
					}
					b.Logf("%s %s: rollout %s (%.3f), moves %d, reserve %.1f instance h (%.3f), margin %.2f (%.2f), refused %d, done %d, skipped %d, faults %d",
						size, name, out.rollout.Round(time.Second), out.rollout.Hours()/base.rollout.Hours(), out.moves, out.reserve.Hours(),
						out.reserve.Hours()/base.reserve.Hours(), out.margin, out.margin/base.margin, out.refused, len(w.Done), len(w.Passed), w.Faults)
					b.ReportMetric(out.rollout.Hours()/base.rollout.Hours(), name+"-rollout/base")
					b.ReportMetric(out.reserve.Hours()/base.reserve.Hours(), name+"-reserve/base")
				}
				report("one", base, first)
				batch, second := round(build(balanced), fixedBatch)
				report("batch", batch, second)
				for name, weights := range map[string]model.Weights{"balanced": balanced, "cautious": cautious, "hurried": hurried} {
					out, w := round(build(weights), nil)
					report(name, out, w)
				}
			}
		})
	}
}

// BenchmarkSchedule runs four weeks of scheduled maintenance with faults.
func BenchmarkSchedule(b *testing.B) {
	for size, build := range sizes() {
		b.Run(size, func(b *testing.B) {
			for range b.N {
				out := rolling(build(balanced))
				if out.violated != nil {
					b.Fatal(out.violated)
				}
				b.Logf("%s: longest gap %s, shortest %s, %d maintenances, %d moves, reserve %.1f instance h, margin %.2f, %d commands",
					size, out.longest.Round(time.Minute), out.shortest.Round(time.Minute), out.count, out.moves, out.reserve.Hours(), out.margin, out.commands)
				b.ReportMetric(out.longest.Hours()/(14*24), "longest/2weeks")
			}
		})
	}
}

// BenchmarkReconcile measures one decision while a wave is running in every pool.
func BenchmarkReconcile(b *testing.B) {
	for size, build := range sizes() {
		r := newReplay(build(balanced))
		for _, p := range r.s.Config.Pools {
			r.do(model.StartWave{ID: model.WaveID(p.Name), Pools: []model.PoolName{p.Name}})
		}
		r.runUntil(r.now.Add(10*time.Minute), forever)
		o := r.observe()
		b.Run(size, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				command.Reconcile(r.s, o, r.now)
			}
		})
	}
}
