package fleet

import (
	"slices"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// observed lists the phases that an observation may lead to. Drains, reboots
// and arrivals begin and end by their own commands.
var observed = map[model.Phase][]model.Phase{
	model.PhaseActive:    {model.PhaseLost},
	model.PhaseDraining:  {model.PhaseLost, model.PhaseDrained},
	model.PhaseDrained:   {model.PhaseLost},
	model.PhaseRebooting: {model.PhaseFailed},
	model.PhaseVerifying: {model.PhaseFailed, model.PhaseSoaking},
	model.PhaseSoaking:   {model.PhaseFailed, model.PhaseActive},
	model.PhaseLost:      {model.PhaseActive},
	model.PhaseFailed:    {model.PhaseSoaking},
	model.PhaseArriving:  {model.PhaseLost},
}

// setPhase records an observation. One of an earlier generation or phase comes
// late or twice and changes nothing.
func setPhase(s *model.State, c model.SetInstancePhase) result.Result {
	i, ok := s.Instances.Get(c.Instance)
	if !ok || i.Generation != c.Generation || i.Phase != c.From {
		return unchanged
	}
	if !slices.Contains(observed[c.From], c.To) {
		return result.New(result.WrongPhase, "an observation cannot take instance %s from %s to %s", i.ID, c.From, c.To)
	}
	switch c.To {
	case model.PhaseDrained:
		return finishDrain(s, i)
	case model.PhaseActive:
		return comeBack(s, i)
	case model.PhaseLost:
		lose(s, i, c.Reason)
	case model.PhaseFailed:
		fail(s, i, c.Reason)
	default:
		enter(s, i, c.To)
	}
	return accepted
}

// finishDrain ends a drain once nothing runs on the instance. Leases are
// checked here because a job may have been placed before the drain began.
func finishDrain(s *model.State, i model.Instance) result.Result {
	if i.Operation != "" {
		return result.New(result.OperationPending, "operation %s on instance %s has not ended", i.Operation, i.ID)
	}
	if id, busy := leasedTo(s, i.ID); busy {
		return result.New(result.InstanceBusy, "job %s holds a lease on instance %s", id, i.ID)
	}
	enter(s, i, model.PhaseDrained)
	return accepted
}

func leasedTo(s *model.State, id model.InstanceID) (model.JobID, bool) {
	for _, j := range s.JobIndex.Worker(id) {
		return j.ID, true
	}
	return "", false
}

// comeBack returns an instance to service after maintenance, failure or loss.
// One that an operator drained before it was lost goes on draining.
func comeBack(s *model.State, i model.Instance) result.Result {
	if i.Operation != "" {
		return result.New(result.OperationPending, "operation %s on instance %s has not ended", i.Operation, i.ID)
	}
	i.Generation++
	i.Quarantined, i.Failures = false, 0 // the restart may have ended what made its jobs fail
	if id, held := i.HeldByWave(); held {
		i.Maintained, i.MaintainedBy = s.Clock, id
		changeWave(s, id, func(w *model.Wave) { w.Running, w.Done = without(w.Running, i.ID), with(w.Done, i.ID) })
		enter(s, hold(i, ""), model.PhaseActive)
		return accepted
	}
	if i.HeldBy != "" {
		enter(s, i, model.PhaseDraining)
		return accepted
	}
	enter(s, i, model.PhaseActive)
	return accepted
}

// lose records an unplanned loss. It frees the instance from the wave or move
// that held it: a wave takes it again later, a move is undone unless the pool
// has changed already.
func lose(s *model.State, i model.Instance, reason string) {
	if id, held := i.HeldByWave(); held {
		changeWave(s, id, func(w *model.Wave) { w.Running, w.Pending = without(w.Running, i.ID), with(w.Pending, i.ID) })
		i.HeldBy = ""
	}
	if id, held := i.HeldByMove(); held {
		if m, ok := s.Moves.Get(id); ok {
			end := model.MoveUndone
			if m.Phase == model.MoveArrived {
				end = model.MoveDone
			}
			endMove(s, m, end, "the instance was lost: "+reason)
		}
		i.HeldBy = ""
	}
	afterRepair := i.Phase == model.PhaseActive && i.MaintainedBy != "" && s.Clock.Sub(i.Maintained) <= RepairWindow
	enter(s, i, model.PhaseLost)
	if afterRepair {
		countFault(s, i.MaintainedBy, i.ID, reason)
	}
}

// fail records that an instance did not come back from maintenance. The wave
// passes it by and counts a failure after repair.
func fail(s *model.State, i model.Instance, reason string) {
	id, held := i.HeldByWave()
	enter(s, hold(i, ""), model.PhaseFailed)
	if !held {
		return
	}
	changeWave(s, id, func(w *model.Wave) { w.Running, w.Passed = without(w.Running, i.ID), with(w.Passed, i.ID) })
	countFault(s, id, i.ID, reason)
}
