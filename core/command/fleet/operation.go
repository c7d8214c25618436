package fleet

import (
	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// beginOperation records a platform operation before the platform is called. The
// ID must be the next one of the instance, so that a delayed proposal of an earlier
// leader cannot begin a second operation.
func beginOperation(s *model.State, c model.BeginOperation) result.Result {
	i, ok := s.Instances.Get(c.Instance)
	if !ok {
		return result.New(result.NotFound, "no instance %q", c.Instance)
	}
	if i.Operation == c.Operation && c.Operation != "" {
		return unchanged
	}
	if i.Operation != "" {
		return result.New(result.OperationPending, "operation %s on instance %s has not ended", i.Operation, i.ID)
	}
	if c.Operation != i.NextOperation() {
		return result.New(result.OperationStale, "the next operation of instance %s is %s", i.ID, i.NextOperation())
	}
	if r := checkOperation(s, i, c.Kind); !r.Code.OK() {
		return r
	}
	i.Operation, i.OperationKind, i.OperationSince = c.Operation, c.Kind, s.Clock
	i.OperationSeq++
	if c.Kind == model.OperationReboot {
		enterPhase(s, i, model.PhaseRebooting)
	} else {
		s.Instances = s.Instances.Set(i.ID, i)
	}
	return accepted
}

// checkOperation reports whether the instance is in the right phase for the
// operation. A reboot also requires that faults have not brought the pool below its
// budget.
func checkOperation(s *model.State, i model.Instance, kind model.OperationKind) result.Result {
	switch kind {
	case model.OperationDrain:
		if i.Phase != model.PhaseDraining {
			return result.New(result.WrongPhase, "instance %s is %s", i.ID, i.Phase)
		}
		return result.Result{Code: result.OK}
	case model.OperationReboot:
		if _, held := i.HeldByWave(); !held || i.Phase != model.PhaseDrained {
			return result.New(result.WrongPhase, "instance %s is %s and held by %q", i.ID, i.Phase, i.HeldBy)
		}
		u, ok := budget.ForPool(*s, i.Pool)
		if !ok {
			return result.New(result.NotFound, "no pool %q", i.Pool)
		}
		return u.CheckContinue()
	}
	return result.New(result.InvalidInput, "unknown kind of operation %d", kind)
}

// endOperation records the result of the operation in progress; the result of any
// other operation is ignored as a duplicate. A successful drain leaves the instance
// drained, unless a job still holds a lease on it. After a successful reboot the
// instance is verified; after a failed one it counts as failed.
func endOperation(s *model.State, c model.EndOperation) result.Result {
	i, ok := s.Instances.Get(c.Instance)
	if !ok || c.Operation == "" || i.Operation != c.Operation {
		return unchanged
	}
	kind := i.OperationKind
	i.Operation, i.OperationKind = "", model.OperationNone
	s.Instances = s.Instances.Set(i.ID, i)
	switch {
	case kind == model.OperationDrain && i.Phase == model.PhaseDraining && c.Succeeded:
		if _, busy := jobOn(s, i.ID); !busy {
			enterPhase(s, i, model.PhaseDrained)
		}
	case kind == model.OperationReboot && i.Phase == model.PhaseRebooting && c.Succeeded:
		enterPhase(s, i, model.PhaseVerifying)
	case kind == model.OperationReboot && i.Phase == model.PhaseRebooting:
		markFailed(s, i, "the platform could not reboot it: "+c.Reason)
	}
	return accepted
}
