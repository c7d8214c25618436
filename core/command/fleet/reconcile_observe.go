package fleet

import (
	"time"

	"lacewingturn.example/core/model"
)

// lost reports whether the instance has left service without a plan, and asks
// the platform about one that is silent.
func (p *plan) lost(i model.Instance) (string, bool) {
	o := p.obs.Instances[i.ID]
	seen := max(o.LastSeen, o.UpAt)
	if o.DownAt > seen {
		return "the platform reports it down", true
	}
	heard := o.LastSeen
	if heard == 0 && p.hasTargets(i.ID) {
		heard = max(p.obs.LeaderSince, i.PhaseSince)
	}
	if heard > 0 && p.at(heard.Add(UnseenLimit)) {
		return "it has not been seen for " + UnseenLimit.String(), true
	}
	if p.at(max(seen, p.obs.LeaderSince).Add(LossTimeout)) {
		p.await(i, InstancePoll)
	}
	return "", false
}

// seenSince reports whether the instance has shown itself after t. Where
// targets are known to run on it, only their heartbeat counts.
func (p *plan) seenSince(i model.Instance, t model.Timestamp) bool {
	o := p.obs.Instances[i.ID]
	return o.LastSeen > t || (o.UpAt > t && o.UpAt > o.DownAt && !p.hasTargets(i.ID))
}

// await asks the platform about the instance at most once in every.
func (p *plan) await(i model.Instance, every time.Duration) {
	if p.at(p.obs.Instances[i.ID].QueriedAt.Add(every)) {
		p.act(model.PlatformAction{Kind: model.ActionQueryInstance, Instance: i.ID})
	}
}

// idle reports whether no request is in flight on the instance and no job has
// a lease on it. Reports from before the last request could be sent do not count.
func (p *plan) idle(i model.Instance) bool {
	from := i.PhaseSince.Add(model.NoNewWorkAfter)
	return p.at(from) && p.obs.Instances[i.ID].ReportedAt >= from && p.load(i) == 0
}

func (p *plan) load(i model.Instance) int {
	n := p.obs.Instances[i.ID].InFlight
	for range p.s.JobIndex.Worker(i.ID) {
		n++
	}
	return n
}

func (p *plan) hasTargets(id model.InstanceID) bool {
	if p.targets == nil {
		p.targets = map[model.InstanceID]bool{}
		for _, t := range p.s.Targets.All() {
			p.targets[t.Instance] = true
		}
	}
	return p.targets[id]
}
