package fleet

import "lacewingturn.example/core/model"

// reconcileDraining waits until no work is in flight and then has the platform drain
// the instance. If the drain of a wave or move times out, the instance returns to
// service, and its work is not interrupted.
func (p *planner) reconcileDraining(i model.Instance) {
	if p.interrupted(i) {
		return
	}
	if !p.idle(i) {
		p.requestCheckpoints(i)
		if i.HeldBy != model.HolderRetire && p.timedOut(i) {
			p.revokeDrain(i, "work on the instance did not end within the drain timeout")
		}
		return
	}
	if i.OperationSince < i.PhaseSince || p.due(i.OperationSince.Add(OperationRetryDelay)) {
		p.propose(model.BeginOperation{Instance: i.ID, Operation: i.NextOperation(), Kind: model.OperationDrain})
	}
}

// requestCheckpoints tells jobs that have not ended within CheckpointDelay to save
// their progress and continue on another instance. Jobs that cannot do so are not
// stopped; the drain waits for them.
func (p *planner) requestCheckpoints(i model.Instance) {
	for _, j := range p.s.JobIndex.Worker(i.ID) {
		if j.Action == model.ActionNone && !j.Cancelling && p.due(i.PhaseSince.Add(CheckpointDelay)) {
			p.propose(model.ControlJob{
				ID: j.ID, Token: j.Lease.Token, Action: model.ActionCheckpoint, Reason: "instance " + string(i.ID) + " is draining",
			})
		}
	}
}

// timedOut reports whether the drain of a wave or move has timed out. Other drains
// have no timeout.
func (p *planner) timedOut(i model.Instance) bool {
	_, wave := i.HeldByWave()
	_, move := i.HeldByMove()
	return (wave || move) && p.due(i.PhaseSince.Add(p.policy.DrainTimeout))
}

// shouldRevoke reports whether and why a planned drain should be revoked before the
// instance is rebooted, moved or removed: its wave no longer runs, faults have
// brought the pool below its budget, or the instance is declared again. If faults are
// the reason, it counts the instance as available for the rest of this decision.
func (p *planner) shouldRevoke(i model.Instance) (string, bool) {
	if i.HeldBy == model.HolderRetire {
		return "the configuration declares it again", !i.Retiring
	}
	_, byMove := i.HeldByMove()
	id, byWave := i.HeldByWave()
	if !byMove && !byWave {
		return "", false
	}
	if w, _ := p.s.Waves.Get(id); byWave && w.Phase != model.WaveRunning {
		return "the wave is " + w.Phase.String(), true
	}
	if u, ok := p.usage[i.Pool]; ok && u.Headroom() < 0 {
		u.Available++ // the instance will return; count it, so that no more drains are revoked than needed
		return "faults have left the pool with less than its budget", true
	}
	return "", false
}

// revokeDrain proposes to return a draining or drained instance to service.
func (p *planner) revokeDrain(i model.Instance, reason string) {
	if id, ok := i.HeldByMove(); ok {
		p.propose(model.UndoMove{ID: id, Reason: reason})
		return
	}
	p.propose(model.ReturnInstance{Instance: i.ID, HeldBy: i.HeldBy})
}

// interrupted reports whether the drain cannot proceed now, because the instance is
// lost, a platform operation is in progress, or the drain is to be revoked. It
// proposes the resulting commands.
func (p *planner) interrupted(i model.Instance) bool {
	if reason, lost := p.detectLoss(i); lost {
		p.proposePhase(i, model.PhaseLost, reason)
		return true
	}
	if i.Operation != "" {
		return true
	}
	reason, revoke := p.shouldRevoke(i)
	if revoke {
		p.revokeDrain(i, reason)
	}
	return revoke
}

// reconcileDrained proposes the change that the instance was drained for: a change
// of its pool, a reboot or its removal.
func (p *planner) reconcileDrained(i model.Instance) {
	if p.interrupted(i) {
		return
	}
	if id, ok := i.HeldByMove(); ok {
		p.changePool(i, id)
		return
	}
	if _, ok := i.HeldByWave(); ok {
		p.propose(model.BeginOperation{Instance: i.ID, Operation: i.NextOperation(), Kind: model.OperationReboot})
		return
	}
	if i.HeldBy == model.HolderRetire {
		p.propose(model.RemoveInstance{Instance: i.ID, Generation: i.Generation})
	}
}

// changePool continues a move, or undoes it if the source pool, because of faults,
// would fall below its budget.
func (p *planner) changePool(i model.Instance, id model.MoveID) {
	if u, ok := p.usage[i.Pool]; ok && !u.CheckRemoveMember().Code.OK() {
		p.propose(model.UndoMove{ID: id, Reason: "the source pool can no longer spare the instance"})
		return
	}
	p.propose(model.AdvanceMove{ID: id})
}
