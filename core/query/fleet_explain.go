package query

import (
	"fmt"
	"slices"

	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/model"
)

// ExplainInstance says why the instance is where it is: what it waits for while
// it drains, what holds it, or why it cannot be taken. It reports false if there
// is no such instance.
func ExplainInstance(s model.State, o model.Observations, id model.InstanceID, now model.Timestamp) ([]string, bool) {
	i, ok := s.Instances.Get(id)
	if !ok {
		return nil, false
	}
	out := []string{fmt.Sprintf("instance %s of pool %s is %s for %s", i.ID, i.Pool, i.Phase, now.Sub(i.PhaseSince))}
	if i.HeldBy != "" {
		out = append(out, "it is held by "+i.HeldBy)
	}
	if i.Home != "" {
		out = append(out, fmt.Sprintf("it is lent by pool %s", i.Home))
	}
	if i.Retiring {
		out = append(out, "the configuration no longer declares it; it is removed once it is drained")
	}
	out = append(out, explainPhase(s, o, i, now)...)
	return append(out, explainOperation(o, i, now)...), true
}

func explainPhase(s model.State, o model.Observations, i model.Instance, now model.Timestamp) []string {
	policy := s.WavePolicy()
	switch i.Phase {
	case model.PhaseActive:
		if u, ok := budget.Of(s, i.Pool); ok {
			if r := u.CheckTake(i); !r.Code.OK() {
				return []string{"it cannot be taken out of service: " + r.Detail}
			}
		}
	case model.PhaseDraining:
		return explainDrain(s, o, i, now)
	case model.PhaseRebooting, model.PhaseVerifying:
		return []string{fmt.Sprintf("it is failed if it is not back in %s", max(0, i.OperationSince.Add(policy.RebootTimeout).Sub(now)))}
	case model.PhaseSoaking:
		return []string{fmt.Sprintf("it returns to service in %s", max(0, i.PhaseSince.Add(policy.Soak).Sub(now)))}
	case model.PhaseLost, model.PhaseFailed:
		return []string{"it returns once it is seen again: " + sightOf(o, i, now)}
	case model.PhaseArriving:
		return []string{"it takes new work once it is seen in its new pool: " + sightOf(o, i, now)}
	}
	return nil
}

// explainDrain lists everything that a drain waits for.
func explainDrain(s model.State, o model.Observations, i model.Instance, now model.Timestamp) []string {
	var out []string
	seen := o.Instances[i.ID]
	from := i.PhaseSince.Add(model.NoNewWorkAfter)
	switch {
	case now < from:
		out = append(out, fmt.Sprintf("entry instances may still send work to it for %s", from.Sub(now)))
	case seen.ReportedAt < from:
		out = append(out, "at least one entry instance has not reported its requests in flight since the drain began")
	}
	if seen.InFlight > 0 {
		out = append(out, fmt.Sprintf("%d requests are in flight on it", seen.InFlight))
	}
	for _, j := range s.Jobs.All() {
		if j.Lease.Worker == i.ID && (j.Phase == model.JobLeased || j.Phase == model.JobRunning) {
			out = append(out, fmt.Sprintf("job %s is %s on it for %s", j.ID, j.Phase, now.Sub(j.StartedAt)))
		}
	}
	_, wave := i.HeldByWave()
	_, move := i.HeldByMove()
	if wave || move {
		left := i.PhaseSince.Add(s.WavePolicy().DrainTimeout).Sub(now)
		out = append(out, fmt.Sprintf("work is never cut; the drain is given up in %s if it has not ended", max(0, left)))
	}
	return out
}

func explainOperation(o model.Observations, i model.Instance, now model.Timestamp) []string {
	if i.Operation == "" {
		return nil
	}
	r := o.Operations[i.Operation]
	line := fmt.Sprintf("platform operation %s (%s) was committed %s ago and is %s", i.Operation, i.OperationKind, now.Sub(i.OperationSince), r.State)
	if r.Reason != "" {
		line += ": " + r.Reason
	}
	return []string{line}
}

func sightOf(o model.Observations, i model.Instance, now model.Timestamp) string {
	seen := o.Instances[i.ID]
	line := "no heartbeat since this leader began"
	if seen.LastSeen > 0 {
		line = fmt.Sprintf("last heartbeat %s ago", now.Sub(seen.LastSeen))
	}
	switch {
	case seen.DownAt > seen.UpAt:
		return line + ", the platform reports it down"
	case seen.UpAt > 0:
		return line + ", the platform reports it up"
	}
	return line
}

// ExplainWave says why the wave takes no further instance now: its own phase,
// its step, or for each pool the budget. It is empty when nothing is in the way.
func ExplainWave(s model.State, o model.Observations, id model.WaveID, now model.Timestamp) []string {
	w, ok := s.Waves.Get(id)
	if !ok || w.Phase.Ended() {
		return nil
	}
	var out []string
	if w.Phase != model.WaveRunning {
		out = append(out, fmt.Sprintf("the wave is %s: %s", w.Phase, w.Reason))
	}
	if w.Faults > 0 {
		out = append(out, fmt.Sprintf("%d failures after repair have reduced the step to %d", w.Faults, w.Step))
	}
	for _, id := range w.Running {
		if i, ok := s.Instances.Get(id); ok {
			out = append(out, fmt.Sprintf("instance %s is %s for %s", id, i.Phase, now.Sub(i.PhaseSince)))
			out = append(out, explainOperation(o, i, now)...)
		}
	}
	for _, pool := range w.Pools {
		if line := explainPool(s, w, pool); line != "" {
			out = append(out, line)
		}
	}
	return out
}

// explainPool says why no waiting instance of the pool can be taken.
func explainPool(s model.State, w model.Wave, pool model.PoolName) string {
	u, ok := budget.Of(s, pool)
	if !ok {
		return ""
	}
	line := ""
	for _, id := range w.Pending {
		i, ok := s.Instances.Get(id)
		if !ok || i.Pool != pool {
			continue
		}
		if i.Phase != model.PhaseActive {
			line = fmt.Sprintf("instance %s waits and is %s", id, i.Phase)
			continue
		}
		r := u.CheckTake(i)
		if r.Code.OK() {
			return ""
		}
		line = r.Detail
	}
	return line
}

// ExplainSchedule says when each pool without a wave becomes due, oldest first.
func ExplainSchedule(s model.State) []string {
	every := s.WavePolicy().Every
	if every <= 0 {
		return []string{"no maintenance is scheduled: the configuration sets no interval"}
	}
	oldest := map[model.PoolName]model.Instance{}
	for _, i := range s.Instances.All() {
		if old, ok := oldest[i.Pool]; i.Available() && (!ok || i.Maintained < old.Maintained) {
			oldest[i.Pool] = i
		}
	}
	var pools []model.Instance
	for _, i := range oldest {
		pools = append(pools, i)
	}
	slices.SortFunc(pools, func(a, b model.Instance) int {
		if a.Maintained != b.Maintained {
			return int(a.Maintained - b.Maintained)
		}
		return slices.Compare([]byte(a.Pool), []byte(b.Pool))
	})
	out := make([]string, len(pools))
	for n, i := range pools {
		out[n] = fmt.Sprintf("pool %s: instance %s must be maintained within %s", i.Pool, i.ID, i.Maintained.Add(every).Sub(s.Clock))
	}
	return out
}
