package fleet

import (
	"fmt"
	"slices"
	"time"

	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// MaxRepairFailures is the number of failures after repair at which a wave is
// stopped.
const MaxRepairFailures = 2

// RepairWindow is the time after an instance's return from maintenance within which
// its loss counts as a failure after repair. Losses often follow a repair by minutes.
const RepairWindow = 10 * time.Minute

// maxRetained is the number of waves, and of moves, above which the oldest ended
// ones are deleted. Ended ones are retained so that queries can show them.
const maxRetained = 200

// startWave starts a wave over the instances of the pools that were last maintained
// before MaintainedBefore, or over all of them if it is 0. At most one wave that has
// not ended may include a pool.
func startWave(s *model.State, env model.Envelope, c model.StartWave) result.Result {
	if c.ID == "" || len(c.Pools) == 0 {
		return result.New(result.InvalidInput, "a wave needs an ID and at least one pool")
	}
	if old, ok := s.Waves.Get(c.ID); ok {
		if slices.Equal(old.Pools, c.Pools) {
			return unchanged
		}
		return result.New(result.Exists, "wave %s exists", c.ID)
	}
	for _, p := range c.Pools {
		if _, ok := budget.FindPool(*s, p); !ok {
			return result.New(result.NotFound, "no pool %q", p)
		}
	}
	for _, w := range s.Waves.All() {
		if !w.Phase.Ended() && slices.ContainsFunc(c.Pools, func(p model.PoolName) bool { return slices.Contains(w.Pools, p) }) {
			return result.New(result.WaveActive, "wave %s over pools %v is %s", w.ID, w.Pools, w.Phase)
		}
	}
	w := model.Wave{
		ID: c.ID, Pools: slices.Clone(c.Pools), Phase: model.WaveRunning, Actor: env.Actor,
		StartedAt: env.Time, Step: s.WavePolicy().MaxStep,
	}
	for id, i := range s.Instances.All() {
		due := c.MaintainedBefore == 0 || i.Maintained < c.MaintainedBefore
		if due && !i.Retiring && slices.Contains(c.Pools, i.Pool) {
			w.Pending = append(w.Pending, id)
		}
	}
	if len(w.Pending) == 0 {
		return result.New(result.NotFound, "pools %v have no instances to maintain", c.Pools)
	}
	s.Waves = s.Waves.Set(w.ID, w)
	trimWaves(s)
	return result.Result{Code: result.Accepted, Value: string(w.ID)}
}

func setWavePhase(s *model.State, c model.SetWavePhase) result.Result {
	w, ok := s.Waves.Get(c.ID)
	if !ok {
		return result.New(result.NotFound, "no wave %q", c.ID)
	}
	if w.Phase == c.Phase {
		return unchanged
	}
	if w.Phase.Ended() || !slices.Contains(wavePredecessors[c.Phase], w.Phase) {
		return result.New(result.WrongPhase, "wave %s is %s and cannot become %s", w.ID, w.Phase, c.Phase)
	}
	if w.Phase == model.WaveStopped && c.Phase == model.WaveRunning {
		w.Faults = 0 // the operator who resumes the wave has seen the failures; count anew
	}
	w.Phase, w.Reason = c.Phase, c.Reason
	if c.Phase == model.WaveCancelled {
		w.EndedAt = s.Clock
	}
	s.Waves = s.Waves.Set(w.ID, w)
	return accepted
}

// wavePredecessors lists, for each phase that can be requested, the phases that it
// may follow. WaveDone cannot be requested; a wave enters it by itself when it has
// no pending or running instances.
var wavePredecessors = map[model.WavePhase][]model.WavePhase{
	model.WaveRunning:   {model.WavePaused, model.WaveStopped},
	model.WavePaused:    {model.WaveRunning},
	model.WaveStopped:   {model.WaveRunning, model.WavePaused},
	model.WaveCancelled: {model.WaveRunning, model.WavePaused, model.WaveStopped},
}

// takeWaveStep starts the drain of one pending instance of a wave, within the
// wave's step and the pool's budget.
func takeWaveStep(s *model.State, c model.TakeWaveStep) result.Result {
	w, ok := s.Waves.Get(c.ID)
	if !ok {
		return result.New(result.NotFound, "no wave %q", c.ID)
	}
	if w.Phase != model.WaveRunning {
		return result.New(result.WrongPhase, "wave %s is %s", w.ID, w.Phase)
	}
	i, ok := s.Instances.Get(c.Instance)
	if !ok || !slices.Contains(w.Pending, c.Instance) {
		return result.New(result.NotFound, "instance %q does not wait in wave %s", c.Instance, w.ID)
	}
	if !slices.Contains(w.Pools, i.Pool) {
		return result.New(result.PoolMismatch, "instance %s has moved to pool %s", i.ID, i.Pool)
	}
	if i.Phase != model.PhaseActive {
		return result.New(result.WrongPhase, "instance %s is %s", i.ID, i.Phase)
	}
	if i.Operation != "" {
		return result.New(result.OperationPending, "operation %s on instance %s has not ended", i.Operation, i.ID)
	}
	if n := countRunning(*s, w, i.Pool); n >= w.Step {
		return result.New(result.StepFull, "wave %s holds %d instances of pool %s, its step", w.ID, n, i.Pool)
	}
	if r := checkOutage(s, i); !r.Code.OK() {
		return r
	}
	enterPhase(s, withHolder(i, model.WaveHolder(w.ID)), model.PhaseDraining)
	changeWave(s, w.ID, func(w *model.Wave) { w.Pending, w.Running = without(w.Pending, i.ID), with(w.Running, i.ID) })
	return accepted
}

// countRunning counts the instances of the pool that the wave holds.
func countRunning(s model.State, w model.Wave, pool model.PoolName) int {
	n := 0
	for _, id := range w.Running {
		if i, ok := s.Instances.Get(id); ok && i.Pool == pool {
			n++
		}
	}
	return n
}

// skipWaveInstance removes a pending instance from a wave without maintenance.
func skipWaveInstance(s *model.State, c model.SkipWaveInstance) result.Result {
	w, ok := s.Waves.Get(c.ID)
	if !ok {
		return result.New(result.NotFound, "no wave %q", c.ID)
	}
	if w.Phase.Ended() || !slices.Contains(w.Pending, c.Instance) {
		return unchanged
	}
	changeWave(s, w.ID, func(w *model.Wave) { w.Pending, w.Passed = without(w.Pending, c.Instance), with(w.Passed, c.Instance) })
	return accepted
}

// changeWave edits a wave and ends it when it has no pending or running instances.
func changeWave(s *model.State, id model.WaveID, edit func(*model.Wave)) {
	w, ok := s.Waves.Get(id)
	if !ok {
		return
	}
	edit(&w)
	if !w.Phase.Ended() && len(w.Pending) == 0 && len(w.Running) == 0 {
		w.Phase, w.EndedAt = model.WaveDone, s.Clock
	}
	s.Waves = s.Waves.Set(id, w)
}

// countFault counts a failure after repair. Each one halves the wave's step; at
// MaxRepairFailures the wave is stopped.
func countFault(s *model.State, id model.WaveID, failed model.InstanceID, why string) {
	changeWave(s, id, func(w *model.Wave) {
		w.Faults++
		w.Step = max(1, w.Step/2)
		if w.Faults >= MaxRepairFailures && (w.Phase == model.WaveRunning || w.Phase == model.WavePaused) {
			w.Phase = model.WaveStopped
			w.Reason = fmt.Sprintf("%d failures after repair, the last on instance %s: %s", w.Faults, failed, why)
		}
	})
}

// trimWaves deletes the oldest ended waves above maxRetained. A wave that still
// holds instances is never deleted.
func trimWaves(s *model.State) {
	for s.Waves.Len() > maxRetained {
		oldest, found := model.Wave{}, false
		for _, w := range s.Waves.All() {
			if w.Phase.Ended() && len(w.Running) == 0 && (!found || w.EndedAt < oldest.EndedAt) {
				oldest, found = w, true
			}
		}
		if !found {
			return
		}
		s.Waves = s.Waves.Delete(oldest.ID)
	}
}

// with and without return new slices, because states that were published earlier
// share the backing arrays of the slices passed in.
func with(list []model.InstanceID, id model.InstanceID) []model.InstanceID {
	return append(slices.Clone(list), id)
}

func without(list []model.InstanceID, id model.InstanceID) []model.InstanceID {
	return slices.DeleteFunc(slices.Clone(list), func(o model.InstanceID) bool { return o == id })
}
