package fleet

import (
	"time"

	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/model"
)

const (
	// CheckpointDelay is the time that jobs on a draining instance get to finish
	// before they are told to checkpoint and continue on another instance.
	CheckpointDelay = 30 * time.Second
	// OperationPollInterval is the interval between queries of a running platform
	// operation.
	OperationPollInterval = 5 * time.Second
	// OperationRetryDelay is the minimum time between the starts of two drain
	// operations on an instance, so that a failed one is not retried at once.
	OperationRetryDelay = 30 * time.Second
	// QueryTimeout is the time after which the platform is queried about an instance
	// that has sent no heartbeat and that the platform has not reported up.
	QueryTimeout = 10 * time.Second
	// HeartbeatTimeout is the time without a heartbeat after which an instance counts
	// as lost whatever the platform reports, because the platform reports a hung
	// machine as up.
	HeartbeatTimeout = time.Minute
	// SilentPollInterval is the interval between platform queries about an instance
	// that sends no heartbeats. For a lost or failed instance it grows to a tenth of
	// the outage, up to MaxSilentPollInterval.
	SilentPollInterval = 30 * time.Second
	// MaxSilentPollInterval is the longest interval between platform queries about a
	// lost or failed instance.
	MaxSilentPollInterval = 5 * time.Minute
	// ReturnPollInterval is the interval between platform queries about an instance
	// that is expected to return soon, after a reboot or a change of its pool.
	ReturnPollInterval = 5 * time.Second
)

// planner holds the inputs and the partial result of one decision.
type planner struct {
	s       model.State
	obs     model.Observations
	now     model.Timestamp
	policy  model.WavePolicy
	all     []model.Instance // all instances; read once, because each pass over s.Instances is costly
	usage   map[model.PoolName]*budget.Usage
	targets map[model.InstanceID]bool // instances with targets; built on first use
	out     model.Decision
}

// Reconcile returns the next commands to propose and platform actions to take, and
// when to call it again at the latest. It is a pure function, and repeated calls are
// harmless because Apply rejects commands that no longer fit the state.
func Reconcile(s model.State, o model.Observations, now model.Timestamp) model.Decision {
	if s.Config == nil {
		return model.Decision{}
	}
	p := &planner{s: s, obs: o, now: now, policy: s.WavePolicy(), all: s.Instances.Values()}
	p.usage = budget.ForConfig(s.Config, p.all)
	for _, i := range p.all {
		if i.Operation != "" {
			p.reconcileOperation(i)
		}
		p.reconcileInstance(i)
	}
	p.reconcileWaves()
	p.lendSpares()
	p.scheduleWaves()
	return p.out
}

func (p *planner) propose(c model.Command) { p.out.Commands = append(p.out.Commands, c) }

func (p *planner) act(a model.PlatformAction) { p.out.Actions = append(p.out.Actions, a) }

// due reports whether t has passed. If it has not, another decision is scheduled
// for t.
func (p *planner) due(t model.Timestamp) bool {
	if t <= p.now {
		return true
	}
	if p.out.Next == 0 || t < p.out.Next {
		p.out.Next = t
	}
	return false
}

// reconcileOperation drives a recorded operation to its end. It queries the platform
// before it starts the operation, so a new leader does not start an operation again
// that an earlier leader has started.
func (p *planner) reconcileOperation(i model.Instance) {
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
		if !p.due(r.At.Add(OperationPollInterval)) {
			return
		}
		a.Kind = model.ActionQueryOperation
	}
	p.act(a)
}

func (p *planner) reconcileInstance(i model.Instance) {
	switch i.Phase {
	case model.PhaseActive:
		p.reconcileActive(i)
	case model.PhaseDraining:
		p.reconcileDraining(i)
	case model.PhaseDrained:
		p.reconcileDrained(i)
	case model.PhaseRebooting:
		p.failAt(i, i.OperationSince.Add(p.policy.RebootTimeout), "it did not come back within the reboot timeout")
	case model.PhaseVerifying:
		p.reconcileVerifying(i)
	case model.PhaseSoaking:
		p.reconcileSoaking(i)
	case model.PhaseArriving:
		p.reconcileArriving(i)
	case model.PhaseLost, model.PhaseFailed:
		p.reconcileUnavailable(i)
	}
}

// proposePhase proposes an observed phase change.
func (p *planner) proposePhase(i model.Instance, to model.Phase, reason string) {
	p.propose(model.SetInstancePhase{Instance: i.ID, Generation: i.Generation, From: i.Phase, To: to, Reason: reason})
}

// failAt proposes that the instance counts as failed once t has passed.
func (p *planner) failAt(i model.Instance, t model.Timestamp, reason string) {
	if p.due(t) {
		p.proposePhase(i, model.PhaseFailed, reason)
	}
}

func (p *planner) reconcileActive(i model.Instance) {
	if reason, lost := p.detectLoss(i); lost {
		p.proposePhase(i, model.PhaseLost, reason)
		return
	}
	if i.Retiring && p.reserveOutage(i) {
		p.propose(model.DrainInstance{Instance: i.ID, HeldBy: model.HolderRetire})
	}
}

// reserveOutage counts the instance as unavailable for the rest of this decision if
// the budget of its pool allows that, and reports whether it does.
func (p *planner) reserveOutage(i model.Instance) bool {
	u, ok := p.usage[i.Pool]
	if !ok || i.Operation != "" || !u.CheckOutage(i).Code.OK() {
		return false
	}
	u.MarkUnavailable(i)
	return true
}

func (p *planner) reconcileVerifying(i model.Instance) {
	if p.wasUpAfter(i, i.PhaseSince) {
		p.proposePhase(i, model.PhaseSoaking, "")
		return
	}
	p.pollInstance(i, ReturnPollInterval)
	p.failAt(i, i.OperationSince.Add(p.policy.RebootTimeout), "it was not seen within the reboot timeout")
}

func (p *planner) reconcileSoaking(i model.Instance) {
	if reason, lost := p.detectLoss(i); lost {
		p.proposePhase(i, model.PhaseFailed, "lost while soaking: "+reason)
		return
	}
	if p.due(i.PhaseSince.Add(p.policy.Soak)) && i.Operation == "" {
		p.proposePhase(i, model.PhaseActive, "")
	}
}

// reconcileArriving completes the move once the instance is up in its new pool.
func (p *planner) reconcileArriving(i model.Instance) {
	if id, ok := i.HeldByMove(); ok && p.wasUpAfter(i, i.PhaseSince) {
		p.propose(model.AdvanceMove{ID: id})
		return
	}
	p.pollInstance(i, ReturnPollInterval)
	if p.due(i.PhaseSince.Add(p.policy.RebootTimeout)) {
		p.proposePhase(i, model.PhaseLost, "it was not seen in its new pool")
	}
}

// reconcileUnavailable returns a lost instance to service once it is up again, and a
// failed one to soaking. It removes the instance instead if it is retiring.
func (p *planner) reconcileUnavailable(i model.Instance) {
	switch {
	case i.Retiring && i.Operation == "":
		p.propose(model.RemoveInstance{Instance: i.ID, Generation: i.Generation})
	case i.Operation == "" && p.wasUpAfter(i, i.PhaseSince):
		to := model.PhaseActive
		if i.Phase == model.PhaseFailed {
			to = model.PhaseSoaking
		}
		p.proposePhase(i, to, "seen again")
	default:
		outage := p.obs.Instances[i.ID].QueriedAt.Sub(i.PhaseSince)
		p.pollInstance(i, min(max(SilentPollInterval, outage/10), MaxSilentPollInterval))
	}
}
