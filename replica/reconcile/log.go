package reconcile

import (
	"go.uber.org/zap"

	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
)

// logChanges logs the changes between two states that matter to operators.
func (m *Machine) logChanges(a, b model.State) {
	if !a.Instances.Same(b.Instances) {
		m.logInstances(a, b)
	}
	if !a.Waves.Same(b.Waves) {
		m.logWaves(a, b)
	}
	if !a.Moves.Same(b.Moves) {
		m.logMoves(a, b)
	}
	m.logBudgets(b)
}

// logInstances logs instances that were lost, failed or became active again.
func (m *Machine) logInstances(a, b model.State) {
	for id, i := range b.Instances.All() {
		old, known := a.Instances.Get(id)
		if !known || old.Phase == i.Phase {
			continue
		}
		fields := []zap.Field{zap.String("instance", string(id)), zap.String("pool", string(i.Pool)),
			zap.Stringer("before", old.Phase), zap.Stringer("phase", i.Phase)}
		switch i.Phase {
		case model.PhaseLost, model.PhaseFailed:
			event.InstanceOutOfService.Log(m.log, fields...)
		case model.PhaseActive:
			event.InstanceInService.Log(m.log, fields...)
		}
	}
}

// logWaves logs maintenance waves that are new or have changed their phase.
func (m *Machine) logWaves(a, b model.State) {
	for id, w := range b.Waves.All() {
		old, known := a.Waves.Get(id)
		if known && old.Phase == w.Phase {
			continue
		}
		e := event.WaveChanged
		if w.Phase == model.WaveStopped {
			e = event.WaveStopped
		}
		e.Log(m.log, zap.String("wave", string(id)), zap.Stringer("phase", w.Phase), zap.String("actor", w.Actor),
			zap.String("reason", w.Reason), zap.Int("waiting", len(w.Pending)), zap.Int("done", len(w.Done)), zap.Int("passed", len(w.Passed)))
	}
}

// logMoves logs moves that are new or have changed their phase.
func (m *Machine) logMoves(a, b model.State) {
	for id, v := range b.Moves.All() {
		if old, known := a.Moves.Get(id); known && old.Phase == v.Phase {
			continue
		}
		event.MoveChanged.Log(m.log, zap.String("move", string(id)), zap.String("instance", string(v.Instance)),
			zap.String("from", string(v.From)), zap.String("to", string(v.To)), zap.Stringer("phase", v.Phase), zap.String("reason", v.Reason))
	}
}

// logBudgets logs pools that have fallen below their availability budget or are
// within it again.
func (m *Machine) logBudgets(s model.State) {
	for name, usage := range budget.ForState(s) {
		below := usage.Headroom() < 0
		if below == m.belowBudget[name] {
			continue
		}
		m.belowBudget[name] = below
		e := event.PoolWithinBudget
		if below {
			e = event.PoolBelowBudget
		}
		e.Log(m.log, zap.String("pool", string(name)), zap.Int("available", usage.Available), zap.Int("members", usage.Members), zap.Int("least", usage.MinAvailable()))
	}
}
