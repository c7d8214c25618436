package fleet

import "lacewingturn.example/core/model"

// driveDraining waits for the work in flight, has the platform confirm that
// the instance is empty, and gives up after the drain timeout rather than cut
// work short.
func (p *plan) driveDraining(i model.Instance) {
	if p.interrupted(i) {
		return
	}
	if !p.idle(i) {
		p.checkpoint(i)
		if i.HeldBy != model.HolderRetire && p.timedOut(i) {
			p.giveUp(i, "work on the instance did not end within the drain timeout")
		}
		return
	}
	if i.OperationSince < i.PhaseSince || p.at(i.OperationSince.Add(OperationRetry)) {
		p.propose(model.BeginOperation{Instance: i.ID, Operation: i.NextOperation(), Kind: model.OperationDrain})
	}
}

// checkpoint asks jobs that do not end soon to save their progress and continue
// on another instance. Those that cannot are waited for; none is stopped.
func (p *plan) checkpoint(i model.Instance) {
	for _, j := range p.s.JobIndex.Worker(i.ID) {
		if j.Action == model.ActionNone && !j.Cancelling && p.at(i.PhaseSince.Add(CheckpointAfter)) {
			p.propose(model.ControlJob{
				ID: j.ID, Token: j.Lease.Token, Action: model.ActionCheckpoint, Reason: "instance " + string(i.ID) + " is draining",
			})
		}
	}
}

// timedOut is only asked of waves and moves; an operator's drain has no limit.
func (p *plan) timedOut(i model.Instance) bool {
	_, wave := i.HeldByWave()
	_, move := i.HeldByMove()
	return (wave || move) && p.at(i.PhaseSince.Add(p.policy.DrainTimeout))
}

// unwanted reports why a planned drain should be taken back while that is
// still free: its wave no longer runs, faults have left the pool with less than
// its budget, or the configuration declares the instance again.
func (p *plan) unwanted(i model.Instance) (string, bool) {
	if i.HeldBy == model.HolderRetire {
		return "the configuration declares it again", !i.Retiring
	}
	_, moving := i.HeldByMove()
	id, waving := i.HeldByWave()
	if !moving && !waving {
		return "", false
	}
	if w, _ := p.s.Waves.Get(id); waving && w.Phase != model.WaveRunning {
		return "the wave is " + w.Phase.String(), true
	}
	if u, ok := p.usage[i.Pool]; ok && u.Headroom() < 0 {
		u.Available++ // counted as returned, so that no more are returned than needed
		return "faults have left the pool with less than its budget", true
	}
	return "", false
}

func (p *plan) giveUp(i model.Instance, reason string) {
	if id, ok := i.HeldByMove(); ok {
		p.propose(model.UndoMove{ID: id, Reason: reason})
		return
	}
	p.propose(model.ReturnInstance{Instance: i.ID, HeldBy: i.HeldBy})
}

// interrupted handles what comes before the next step of a drain: a loss, a
// platform operation in progress, and a holder that no longer wants the instance.
func (p *plan) interrupted(i model.Instance) bool {
	if reason, lost := p.lost(i); lost {
		p.observe(i, model.PhaseLost, reason)
		return true
	}
	if i.Operation != "" {
		return true
	}
	reason, unwanted := p.unwanted(i)
	if unwanted {
		p.giveUp(i, reason)
	}
	return unwanted
}

// driveDrained takes a drained instance to the step that it was drained for.
func (p *plan) driveDrained(i model.Instance) {
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

func (p *plan) changePool(i model.Instance, id model.MoveID) {
	if u, ok := p.usage[i.Pool]; ok && !u.CheckGive().Code.OK() {
		p.propose(model.UndoMove{ID: id, Reason: "the source pool can no longer spare the instance"})
		return
	}
	p.propose(model.AdvanceMove{ID: id})
}
