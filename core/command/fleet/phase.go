package fleet

import (
	"slices"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// observedTransitions lists, by current phase, the phases that an observation may
// change it to. The start of a drain, reboots and arrivals have their own commands.
var observedTransitions = map[model.Phase][]model.Phase{
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

// setPhase applies an observed phase change. A delayed or repeated observation,
// which names an earlier generation or phase, changes nothing.
func setPhase(s *model.State, c model.SetInstancePhase) result.Result {
	i, ok := s.Instances.Get(c.Instance)
	if !ok || i.Generation != c.Generation || i.Phase != c.From {
		return unchanged
	}
	if !slices.Contains(observedTransitions[c.From], c.To) {
		return result.New(result.WrongPhase, "an observation cannot take instance %s from %s to %s", i.ID, c.From, c.To)
	}
	switch c.To {
	case model.PhaseDrained:
		return finishDrain(s, i)
	case model.PhaseActive:
		return returnToService(s, i)
	case model.PhaseLost:
		markLost(s, i, c.Reason)
	case model.PhaseFailed:
		markFailed(s, i, c.Reason)
	default:
		enterPhase(s, i, c.To)
	}
	return accepted
}

// finishDrain ends a drain once nothing runs on the instance. It checks leases
// because a job may have been placed before the drain began.
func finishDrain(s *model.State, i model.Instance) result.Result {
	if i.Operation != "" {
		return result.New(result.OperationPending, "operation %s on instance %s has not ended", i.Operation, i.ID)
	}
	if id, busy := jobOn(s, i.ID); busy {
		return result.New(result.InstanceBusy, "job %s holds a lease on instance %s", id, i.ID)
	}
	enterPhase(s, i, model.PhaseDrained)
	return accepted
}

// jobOn returns a job that holds a lease on the instance, if there is one.
func jobOn(s *model.State, id model.InstanceID) (model.JobID, bool) {
	for _, j := range s.JobIndex.Worker(id) {
		return j.ID, true
	}
	return "", false
}

// returnToService ends an outage caused by maintenance, a failure or a loss. If the
// instance is held, but not by a wave, its drain continues.
func returnToService(s *model.State, i model.Instance) result.Result {
	if i.Operation != "" {
		return result.New(result.OperationPending, "operation %s on instance %s has not ended", i.Operation, i.ID)
	}
	i.Generation++
	i.Quarantined, i.Failures = false, 0 // the restart may have fixed the cause of its failed jobs
	if id, held := i.HeldByWave(); held {
		i.Maintained, i.MaintainedBy = s.Clock, id
		changeWave(s, id, func(w *model.Wave) { w.Running, w.Done = without(w.Running, i.ID), with(w.Done, i.ID) })
		enterPhase(s, withHolder(i, ""), model.PhaseActive)
		return accepted
	}
	if i.HeldBy != "" {
		enterPhase(s, i, model.PhaseDraining)
		return accepted
	}
	enterPhase(s, i, model.PhaseActive)
	return accepted
}

// markLost records an unplanned loss and releases the instance from the wave or
// move that holds it. The instance becomes pending in its wave again. Its move is
// undone, or done if the instance has changed its pool already.
func markLost(s *model.State, i model.Instance, reason string) {
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
	enterPhase(s, i, model.PhaseLost)
	if afterRepair {
		countFault(s, i.MaintainedBy, i.ID, reason)
	}
}

// markFailed records that an instance did not return from maintenance. Its wave
// skips it and counts a failure after repair.
func markFailed(s *model.State, i model.Instance, reason string) {
	id, held := i.HeldByWave()
	enterPhase(s, withHolder(i, ""), model.PhaseFailed)
	if !held {
		return
	}
	changeWave(s, id, func(w *model.Wave) { w.Running, w.Passed = without(w.Running, i.ID), with(w.Passed, i.ID) })
	countFault(s, id, i.ID, reason)
}
