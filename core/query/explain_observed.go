package query

import (
	"fmt"

	"lacewingturn.example/core/model"
)

// observed adds the observations of the leader about an instance: requests in
// flight, heartbeats, and the state of its platform operation.
func (e *Explanation) observed(s model.State, i model.Instance) {
	policy := s.WavePolicy()
	switch i.Phase {
	case model.PhaseDraining:
		e.observedDrain(i)
	case model.PhaseRebooting, model.PhaseVerifying:
		e.addReason("it is failed if it is not back in %s", max(0, i.OperationSince.Add(policy.RebootTimeout).Sub(e.now)))
	case model.PhaseSoaking:
		e.addReason("it returns to service in %s", max(0, i.PhaseSince.Add(policy.Soak).Sub(e.now)))
	case model.PhaseLost, model.PhaseFailed:
		e.addReason("it returns once it is seen again: %s", e.lastSeen(i))
	case model.PhaseArriving:
		e.addReason("it takes new work once it is seen in its new pool: %s", e.lastSeen(i))
	}
	e.operation(i)
}

// observedDrain lists the requests that must end before the drain is complete.
func (e *Explanation) observedDrain(i model.Instance) {
	seen := e.observations.Instances[i.ID]
	from := i.PhaseSince.Add(model.DrainPropagationDelay)
	switch {
	case e.now < from:
		e.addReason("entry instances may still send work to it for %s", from.Sub(e.now))
	case seen.ReportedAt < from:
		e.addReason("at least one entry instance has not reported its requests in flight since the drain began")
	}
	if seen.InFlight > 0 {
		e.addReason("%d requests are in flight on it", seen.InFlight)
	}
}

func (e *Explanation) operation(i model.Instance) {
	if i.Operation == "" {
		return
	}
	r := e.observations.Operations[i.Operation]
	line := fmt.Sprintf("platform operation %s (%s) of instance %s was committed %s ago and is %s", i.Operation, i.OperationKind, i.ID, e.elapsed(i.OperationSince), r.State)
	if r.Reason != "" {
		line += ": " + r.Reason
	}
	e.addReason("%s", line)
}

func (e *Explanation) lastSeen(i model.Instance) string {
	seen := e.observations.Instances[i.ID]
	line := "no heartbeat since this leader began"
	if seen.LastSeen > 0 {
		line = fmt.Sprintf("last heartbeat %s ago", e.elapsed(seen.LastSeen))
	}
	switch {
	case seen.DownAt > seen.UpAt:
		return line + ", the platform reports it down"
	case seen.UpAt > 0:
		return line + ", the platform reports it up"
	}
	return line
}

// maintenanceDue finds the available instance of the pool with the oldest maintenance
// and says when it must be maintained again.
func (e *Explanation) maintenanceDue(s model.State, pool model.PoolName) {
	every := s.WavePolicy().Every
	if every <= 0 {
		return
	}
	var oldest model.Instance
	for _, i := range s.Instances.All() {
		if i.Pool == pool && i.Available() && (oldest.ID == "" || i.Maintained < oldest.Maintained) {
			oldest = i
		}
	}
	if oldest.ID != "" {
		e.addReason("instance %s must be maintained within %s", oldest.ID, oldest.Maintained.Add(every).Sub(e.now))
	}
}
