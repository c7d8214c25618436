package fleet

import (
	"time"

	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/model"
)

const (
	// CheckpointAfter is how long a drain waits for jobs to end by themselves
	// before it asks them to save their progress and continue elsewhere.
	CheckpointAfter = 30 * time.Second
	// OperationPoll is how often the platform is asked about a running operation.
	OperationPoll = 5 * time.Second
	// OperationRetry is the wait before a drain that the platform failed is tried again.
	OperationRetry = 30 * time.Second
	// LossTimeout is the silence after which the platform is asked about an instance.
	LossTimeout = 10 * time.Second
	// UnseenLimit is the silence after which an instance counts as lost whatever
	// the platform says, because a hung machine still looks up from outside.
	UnseenLimit = time.Minute
	// InstancePoll is how often the platform is asked about a silent instance. The
	// wait grows to a tenth of the time that it has been out, up to MaxInstancePoll.
	InstancePoll    = 30 * time.Second
	MaxInstancePoll = 5 * time.Minute
	// WaitPoll is how often it is asked about an instance that is expected back.
	WaitPoll = 5 * time.Second
)

// plan collects one decision.
type plan struct {
	s       model.State
	obs     model.Observations
	now     model.Timestamp
	policy  model.WavePolicy
	all     []model.Instance // walking the table once is cheaper than in each part
	usage   map[model.PoolName]*budget.Usage
	targets map[model.InstanceID]bool // built when first needed
	out     model.Decision
}

// Reconcile returns the next commands and platform actions of the fleet. It is
// pure and may be repeated at any time.
func Reconcile(s model.State, o model.Observations, now model.Timestamp) model.Decision {
	if s.Config == nil {
		return model.Decision{}
	}
	p := &plan{s: s, obs: o, now: now, policy: s.WavePolicy(), all: s.Instances.Values()}
	p.usage = budget.Count(s.Config, p.all)
	for _, i := range p.all {
		if i.Operation != "" {
			p.driveOperation(i)
		}
		p.driveInstance(i)
	}
	p.driveWaves()
	p.lend()
	p.schedule()
	return p.out
}

func (p *plan) propose(c model.Command) { p.out.Commands = append(p.out.Commands, c) }

func (p *plan) act(a model.PlatformAction) { p.out.Actions = append(p.out.Actions, a) }

// at asks for another decision at t, or reports that t has come.
func (p *plan) at(t model.Timestamp) bool {
	if t <= p.now {
		return true
	}
	if p.out.Next == 0 || t < p.out.Next {
		p.out.Next = t
	}
	return false
}

// driveOperation takes a committed operation to its end. The platform is always
// asked before anything is sent, so a new leader does not repeat what the
// leader before it began.
func (p *plan) driveOperation(i model.Instance) {
	r := p.obs.Operations[i.Operation]
	a := model.PlatformAction{Instance: i.ID, Operation: i.Operation, OperationKind: i.OperationKind}
	switch r.State {
	case model.OperationUnknown:
		a.Kind = model.ActionQueryOperation
	case model.OperationAbsent:
		a.Kind = model.ActionStartOperation
	case model.OperationSucceeded, model.OperationFailed:
		p.propose(model.EndOperation{
			Instance: i.ID, Operation: i.Operation, Succeeded: r.State == model.OperationSucceeded, Reason: r.Reason,
		})
		return
	default:
		if !p.at(r.At.Add(OperationPoll)) {
			return
		}
		a.Kind = model.ActionQueryOperation
	}
	p.act(a)
}

func (p *plan) driveInstance(i model.Instance) {
	switch i.Phase {
	case model.PhaseActive:
		p.driveActive(i)
	case model.PhaseDraining:
		p.driveDraining(i)
	case model.PhaseDrained:
		p.driveDrained(i)
	case model.PhaseRebooting:
		p.failAt(i, i.OperationSince.Add(p.policy.RebootTimeout), "it did not come back within the reboot timeout")
	case model.PhaseVerifying:
		p.driveVerifying(i)
	case model.PhaseSoaking:
		p.driveSoaking(i)
	case model.PhaseArriving:
		p.driveArriving(i)
	case model.PhaseLost, model.PhaseFailed:
		p.driveOut(i)
	}
}

func (p *plan) observe(i model.Instance, to model.Phase, reason string) {
	p.propose(model.SetInstancePhase{Instance: i.ID, Generation: i.Generation, From: i.Phase, To: to, Reason: reason})
}

func (p *plan) failAt(i model.Instance, t model.Timestamp, reason string) {
	if p.at(t) {
		p.observe(i, model.PhaseFailed, reason)
	}
}

func (p *plan) driveActive(i model.Instance) {
	if reason, lost := p.lost(i); lost {
		p.observe(i, model.PhaseLost, reason)
		return
	}
	if i.Retiring && p.mayTake(i) {
		p.propose(model.DrainInstance{Instance: i.ID, HeldBy: model.HolderRetire})
	}
}

// mayTake counts the instance as taken if the budget of its pool allows it.
func (p *plan) mayTake(i model.Instance) bool {
	u, ok := p.usage[i.Pool]
	if !ok || i.Operation != "" || !u.CheckTake(i).Code.OK() {
		return false
	}
	u.Take(i)
	return true
}

func (p *plan) driveVerifying(i model.Instance) {
	if p.seenSince(i, i.PhaseSince) {
		p.observe(i, model.PhaseSoaking, "")
		return
	}
	p.await(i, WaitPoll)
	p.failAt(i, i.OperationSince.Add(p.policy.RebootTimeout), "it was not seen within the reboot timeout")
}

func (p *plan) driveSoaking(i model.Instance) {
	if reason, lost := p.lost(i); lost {
		p.observe(i, model.PhaseFailed, "lost while soaking: "+reason)
		return
	}
	if p.at(i.PhaseSince.Add(p.policy.Soak)) && i.Operation == "" {
		p.observe(i, model.PhaseActive, "")
	}
}

// driveArriving completes the move once the instance is seen in its new pool.
func (p *plan) driveArriving(i model.Instance) {
	if id, ok := i.HeldByMove(); ok && p.seenSince(i, i.PhaseSince) {
		p.propose(model.AdvanceMove{ID: id})
		return
	}
	p.await(i, WaitPoll)
	if p.at(i.PhaseSince.Add(p.policy.RebootTimeout)) {
		p.observe(i, model.PhaseLost, "it was not seen in its new pool")
	}
}

// driveOut takes a lost or failed instance back once it is seen again, or
// forgets it if the configuration no longer declares it.
func (p *plan) driveOut(i model.Instance) {
	switch {
	case i.Retiring && i.Operation == "":
		p.propose(model.RemoveInstance{Instance: i.ID, Generation: i.Generation})
	case i.Operation == "" && p.seenSince(i, i.PhaseSince):
		to := model.PhaseActive
		if i.Phase == model.PhaseFailed {
			to = model.PhaseSoaking
		}
		p.observe(i, to, "seen again")
	default:
		outWhenAsked := p.obs.Instances[i.ID].QueriedAt.Sub(i.PhaseSince)
		p.await(i, min(max(InstancePoll, outWhenAsked/10), MaxInstancePoll))
	}
}
