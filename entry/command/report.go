package command

import (
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/entry"
)

// fleetReport summarizes requests in flight and heartbeats by instance.
func (m *Machine) fleetReport(now time.Time) entry.FleetReport {
	var out entry.FleetReport
	listed := map[model.InstanceID]entry.InstanceReport{}
	silent := map[model.InstanceID]bool{}
	for _, t := range m.targets {
		running, at, owned := m.owner.LastHeartbeat(t.key())
		if m.inService(t.Instance) {
			if owned && now.Sub(at) > m.heartbeatTimeout() {
				silent[t.Instance] = true
			}
			continue
		}
		r := listed[t.Instance]
		r.Instance = t.Instance
		r.InFlight += t.active
		if owned && !at.IsZero() && (!r.HasHeartbeat || now.Sub(at) < r.HeartbeatAge) {
			r.HasHeartbeat, r.HeartbeatAge = true, now.Sub(at)
		}
		r.Running += running
		listed[t.Instance] = r
	}
	for _, r := range listed {
		out.OutOfService = append(out.OutOfService, r)
	}
	for id := range silent {
		out.Silent = append(out.Silent, id)
	}
	return out
}

// inService reports whether the instance is in the active phase.
func (m *Machine) inService(id model.InstanceID) bool {
	i, ok := m.traffic.Instances.Get(id)
	return ok && i.Phase == model.PhaseActive
}
