// Package fleet applies the commands on instances, moves and maintenance waves.
// Every planned outage is checked against the availability budgets here, in log
// order. The reconciler (Reconcile) proposes the next commands; Apply checks them
// again against the state in which they are committed.
package fleet

import (
	"strings"

	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Apply applies a command on an instance, wave or move. It reports false for any
// other command.
func Apply(s *model.State, env model.Envelope) (result.Result, bool) {
	switch c := env.Command.(type) {
	case model.DrainInstance:
		return drain(s, c), true
	case model.ReturnInstance:
		return returnInstance(s, c), true
	case model.SetInstancePhase:
		return setPhase(s, c), true
	case model.RemoveInstance:
		return removeInstance(s, c), true
	case model.BeginOperation:
		return beginOperation(s, c), true
	case model.EndOperation:
		return endOperation(s, c), true
	}
	if r, ok := applyWave(s, env); ok {
		return r, true
	}
	return applyMove(s, env)
}

func applyWave(s *model.State, env model.Envelope) (result.Result, bool) {
	switch c := env.Command.(type) {
	case model.StartWave:
		return startWave(s, env, c), true
	case model.SetWavePhase:
		return setWavePhase(s, c), true
	case model.TakeWaveStep:
		return takeWaveStep(s, c), true
	case model.SkipWaveInstance:
		return skipWaveInstance(s, c), true
	}
	return result.Result{}, false
}

func applyMove(s *model.State, env model.Envelope) (result.Result, bool) {
	switch c := env.Command.(type) {
	case model.StartMove:
		return startMove(s, env, c), true
	case model.UndoMove:
		return undoMove(s, c), true
	case model.AdvanceMove:
		return advanceMove(s, c), true
	}
	return result.Result{}, false
}

var (
	accepted  = result.Result{Code: result.Accepted}
	unchanged = result.Result{Code: result.Unchanged}
)

// holderOf returns the holder named in a command, or the operator if it names none.
func holderOf(heldBy string) string {
	if heldBy == "" {
		return model.HolderOperator
	}
	return heldBy
}

// drain starts a planned drain if the instance is active and the budget of its
// pool allows one more outage.
func drain(s *model.State, c model.DrainInstance) result.Result {
	i, ok := s.Instances.Get(c.Instance)
	if !ok {
		return result.New(result.NotFound, "no instance %q", c.Instance)
	}
	holder := holderOf(c.HeldBy)
	if strings.Contains(holder, "/") {
		return result.New(result.InvalidInput, "holder %q: names with a slash belong to waves and moves", c.HeldBy)
	}
	if i.Phase == model.PhaseDraining && i.HeldBy == holder {
		return unchanged
	}
	if i.Phase != model.PhaseActive {
		return result.New(result.WrongPhase, "instance %s is %s", i.ID, i.Phase)
	}
	if i.Operation != "" {
		return result.New(result.OperationPending, "operation %s on instance %s has not ended", i.Operation, i.ID)
	}
	if r := checkOutage(s, i); !r.Code.OK() {
		return r
	}
	enterPhase(s, withHolder(i, holder), model.PhaseDraining)
	return accepted
}

// returnInstance returns a drained or draining instance to service. An instance
// that is held by a wave moves to the end of the wave's pending instances.
func returnInstance(s *model.State, c model.ReturnInstance) result.Result {
	i, ok := s.Instances.Get(c.Instance)
	if !ok {
		return result.New(result.NotFound, "no instance %q", c.Instance)
	}
	if i.HeldBy != holderOf(c.HeldBy) || (i.Phase != model.PhaseDraining && i.Phase != model.PhaseDrained) {
		return result.New(result.WrongPhase, "instance %s is %s and held by %q", i.ID, i.Phase, i.HeldBy)
	}
	if _, held := i.HeldByMove(); held {
		return result.New(result.WrongPhase, "instance %s is held by a move; undo the move", i.ID)
	}
	if i.Operation != "" {
		return result.New(result.OperationPending, "operation %s on instance %s has not ended", i.Operation, i.ID)
	}
	if id, held := i.HeldByWave(); held {
		changeWave(s, id, func(w *model.Wave) { w.Running, w.Pending = without(w.Running, i.ID), with(w.Pending, i.ID) })
	}
	enterPhase(s, withHolder(i, ""), model.PhaseActive)
	return accepted
}

// removeInstance deletes a retiring instance that is out of service: lost, failed,
// or drained in order to be removed.
func removeInstance(s *model.State, c model.RemoveInstance) result.Result {
	i, ok := s.Instances.Get(c.Instance)
	if !ok || i.Generation != c.Generation || !i.Retiring {
		return unchanged
	}
	removable := i.Phase == model.PhaseLost || i.Phase == model.PhaseFailed ||
		(i.Phase == model.PhaseDrained && i.HeldBy == model.HolderRetire)
	if !removable {
		return result.New(result.WrongPhase, "instance %s is %s and held by %q", i.ID, i.Phase, i.HeldBy)
	}
	if i.Operation != "" {
		return result.New(result.OperationPending, "operation %s on instance %s has not ended", i.Operation, i.ID)
	}
	s.Instances = s.Instances.Delete(i.ID)
	s.WorkerChanges = s.WorkerChanges.Delete(i.ID)
	for id, w := range s.Waves.All() {
		if !w.Phase.Ended() {
			changeWave(s, id, func(w *model.Wave) { w.Pending = without(w.Pending, i.ID) })
		}
	}
	return accepted
}

// withHolder returns a copy of the instance with the holder.
func withHolder(i model.Instance, holder string) model.Instance {
	i.HeldBy = holder
	return i
}

// enterPhase stores the instance with a new phase, which begins now.
func enterPhase(s *model.State, i model.Instance, p model.Phase) {
	i.Phase, i.PhaseSince = p, s.Clock
	s.Instances = s.Instances.Set(i.ID, i)
}

// checkOutage reports whether the budget of its pool allows the instance to be taken
// out of service.
func checkOutage(s *model.State, i model.Instance) result.Result {
	u, ok := budget.ForPool(*s, i.Pool)
	if !ok {
		return result.New(result.NotFound, "no pool %q", i.Pool)
	}
	return u.CheckOutage(i)
}
