package fleet

import (
	"time"

	"lacewingturn.example/core/model"
)

// detectLoss reports whether and why the instance counts as lost. It queries the
// platform about an instance that, for QueryTimeout, has sent no heartbeat and has
// not been reported up.
func (p *planner) detectLoss(i model.Instance) (string, bool) {
	o := p.obs.Instances[i.ID]
	seen := max(o.LastSeen, o.UpAt)
	if o.DownAt > seen {
		return "the platform reports it down", true
	}
	heard := o.LastSeen
	if heard == 0 && p.hasTargets(i.ID) { // none since the election of this leader
		heard = max(p.obs.LeaderSince, i.PhaseSince)
	}
	if heard > 0 && p.due(heard.Add(HeartbeatTimeout)) {
		return "it has not been seen for " + HeartbeatTimeout.String(), true
	}
	if p.due(max(seen, p.obs.LeaderSince).Add(QueryTimeout)) {
		p.pollInstance(i, SilentPollInterval)
	}
	return "", false
}

// wasUpAfter reports whether the instance was up after t. If targets run on it, only
// their heartbeats count; otherwise a report of the platform counts too.
func (p *planner) wasUpAfter(i model.Instance, t model.Timestamp) bool {
	o := p.obs.Instances[i.ID]
	return o.LastSeen > t || (o.UpAt > t && o.UpAt > o.DownAt && !p.hasTargets(i.ID))
}

// pollInstance queries the platform about the instance if the last query is at least
// the interval ago.
func (p *planner) pollInstance(i model.Instance, interval time.Duration) {
	if p.due(p.obs.Instances[i.ID].QueriedAt.Add(interval)) {
		p.act(model.PlatformAction{Kind: model.ActionQueryInstance, Instance: i.ID})
	}
}

// idle reports whether no request is in flight on the instance and no job has a
// lease on it. The count of requests is used only if it was reported after entry
// instances stopped sending requests to the instance.
func (p *planner) idle(i model.Instance) bool {
	from := i.PhaseSince.Add(model.DrainPropagationDelay)
	return p.due(from) && p.obs.Instances[i.ID].ReportedAt >= from && p.load(i) == 0
}

// load returns the number of requests in flight and jobs on the instance.
func (p *planner) load(i model.Instance) int {
	n := p.obs.Instances[i.ID].InFlight
	for range p.s.JobIndex.Worker(i.ID) {
		n++
	}
	return n
}

// hasTargets reports whether a target is registered on the instance.
func (p *planner) hasTargets(id model.InstanceID) bool {
	if p.targets == nil {
		p.targets = map[model.InstanceID]bool{}
		for _, t := range p.s.Targets.All() {
			p.targets[t.Instance] = true
		}
	}
	return p.targets[id]
}
