package fleet

import (
	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// startMove starts the drain of an instance that is to change its pool.
func startMove(s *model.State, env model.Envelope, c model.StartMove) result.Result {
	if c.ID == "" || c.From == c.To {
		return result.New(result.InvalidInput, "a move needs an ID and two different pools")
	}
	if old, ok := s.Moves.Get(c.ID); ok {
		if old.Instance == c.Instance && old.From == c.From && old.To == c.To {
			return unchanged
		}
		return result.New(result.Exists, "move %s exists", c.ID)
	}
	i, ok := s.Instances.Get(c.Instance)
	if !ok {
		return result.New(result.NotFound, "no instance %q", c.Instance)
	}
	if i.Pool != c.From {
		return result.New(result.PoolMismatch, "instance %s is in pool %s", i.ID, i.Pool)
	}
	if i.Phase != model.PhaseActive || i.Retiring {
		return result.New(result.WrongPhase, "instance %s is %s, retiring: %t", i.ID, i.Phase, i.Retiring)
	}
	if i.Operation != "" {
		return result.New(result.OperationPending, "operation %s on instance %s has not ended", i.Operation, i.ID)
	}
	if r := checkMove(s, i, c.To); !r.Code.OK() {
		return r
	}
	s.Moves = s.Moves.Set(c.ID, model.Move{
		ID: c.ID, Instance: c.Instance, From: c.From, To: c.To, Phase: model.MoveDraining,
		Actor: env.Actor, Since: env.Time, Lend: c.Lend,
	})
	trimMoves(s)
	enterPhase(s, withHolder(i, model.MoveHolder(c.ID)), model.PhaseDraining)
	return result.Result{Code: result.Accepted, Value: string(c.ID)}
}

// checkMove checks the budgets of the source and the destination pool.
func checkMove(s *model.State, i model.Instance, to model.PoolName) result.Result {
	if r := checkOutage(s, i); !r.Code.OK() {
		return r
	}
	dest, ok := budget.ForPool(*s, to)
	if !ok {
		return result.New(result.NotFound, "no pool %q", to)
	}
	return dest.CheckAddMember()
}

// undoMove cancels a move before the instance changes its pool and returns the
// instance to service in the source pool.
func undoMove(s *model.State, c model.UndoMove) result.Result {
	m, ok := s.Moves.Get(c.ID)
	if !ok {
		return result.New(result.NotFound, "no move %q", c.ID)
	}
	if m.Phase == model.MoveUndone {
		return unchanged
	}
	if m.Phase != model.MoveDraining {
		return result.New(result.WrongPhase, "move %s is %s and can only be completed", m.ID, m.Phase)
	}
	i, ok := s.Instances.Get(m.Instance)
	if ok && i.HeldBy == model.MoveHolder(m.ID) {
		if i.Operation != "" {
			return result.New(result.OperationPending, "operation %s on instance %s has not ended", i.Operation, i.ID)
		}
		enterPhase(s, withHolder(i, ""), model.PhaseActive)
	}
	endMove(s, m, model.MoveUndone, c.Reason)
	return accepted
}

// advanceMove changes the pool of a drained instance, or completes the move of an
// instance that has arrived. The budgets of both pools are checked again before the
// change, because faults since the start of the move may have brought the source pool
// below its budget.
func advanceMove(s *model.State, c model.AdvanceMove) result.Result {
	m, ok := s.Moves.Get(c.ID)
	if !ok {
		return result.New(result.NotFound, "no move %q", c.ID)
	}
	i, ok := s.Instances.Get(m.Instance)
	if !ok || i.HeldBy != model.MoveHolder(m.ID) {
		return result.New(result.WrongPhase, "move %s is %s and does not hold instance %s", m.ID, m.Phase, m.Instance)
	}
	switch {
	case m.Phase == model.MoveDraining && i.Phase == model.PhaseDrained:
		return changePool(s, m, i)
	case m.Phase == model.MoveArrived && i.Phase == model.PhaseArriving:
		enterPhase(s, withHolder(i, ""), model.PhaseActive)
		endMove(s, m, model.MoveDone, m.Reason)
		return accepted
	}
	return result.New(result.WrongPhase, "move %s is %s and instance %s is %s", m.ID, m.Phase, i.ID, i.Phase)
}

func changePool(s *model.State, m model.Move, i model.Instance) result.Result {
	if i.Operation != "" {
		return result.New(result.OperationPending, "operation %s on instance %s has not ended", i.Operation, i.ID)
	}
	source, ok := budget.ForPool(*s, m.From)
	if !ok {
		return result.New(result.NotFound, "no pool %q", m.From)
	}
	if r := source.CheckRemoveMember(); !r.Code.OK() {
		return r
	}
	dest, ok := budget.ForPool(*s, m.To)
	if !ok {
		return result.New(result.NotFound, "no pool %q", m.To)
	}
	if r := dest.CheckAddMember(); !r.Code.OK() {
		return r
	}
	i.Pool, i.Home = m.To, ""
	if m.Lend {
		i.Home = m.From
	}
	enterPhase(s, i, model.PhaseArriving)
	m.Phase, m.Since = model.MoveArrived, s.Clock
	s.Moves = s.Moves.Set(m.ID, m)
	return accepted
}

// endMove stores a move with a final phase, which begins now.
func endMove(s *model.State, m model.Move, p model.MovePhase, reason string) {
	m.Phase, m.Reason, m.Since = p, reason, s.Clock
	s.Moves = s.Moves.Set(m.ID, m)
}

// trimMoves deletes the oldest ended moves above maxRetained.
func trimMoves(s *model.State) {
	for s.Moves.Len() > maxRetained {
		oldest, found := model.Move{}, false
		for _, m := range s.Moves.All() {
			if m.Phase.Ended() && (!found || m.Since < oldest.Since) {
				oldest, found = m, true
			}
		}
		if !found {
			return
		}
		s.Moves = s.Moves.Delete(oldest.ID)
	}
}
