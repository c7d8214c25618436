package query

import (
	"fmt"
	"slices"
	"time"

	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/model"
)

// Explanation is the body of the explain query: the condition of one object, the
// reasons for it, and what the operator can do next. It is built from the
// replicated state and the observations of the leader.
type Explanation struct {
	Kind      string   `json:"kind"`
	ID        string   `json:"id"`
	Condition string   `json:"condition"`
	Reasons   []string `json:"reasons"`
	Next      []string `json:"next"`

	now          model.Timestamp
	observations model.Observations
}

// Kinds of objects that can be explained. KindJob covers jobs and workloads.
const (
	KindJob      = "job"
	KindInstance = "instance"
	KindWave     = "wave"
	KindMove     = "move"
	KindPool     = "pool"
	// KindWorker is a worker, identified by its name without the incarnation.
	KindWorker = "worker"
	// KindAccount is a client account.
	KindAccount = "account"
)

// Explain explains one object at the time now. The observations are empty on
// replicas that are not the leader. It reports false if the kind is unknown or there
// is no such object.
func Explain(s model.State, o model.Observations, now model.Timestamp, kind, id string) (Explanation, bool) {
	e := &Explanation{Kind: kind, ID: id, Reasons: []string{}, Next: []string{}, now: max(now, s.Clock), observations: o}
	found := false
	switch kind {
	case KindJob:
		found = e.jobOrWorkload(s, id)
	case KindInstance:
		var i model.Instance
		if i, found = s.Instances.Get(model.InstanceID(id)); found {
			e.instance(s, i)
		}
	case KindWave:
		var w model.Wave
		if w, found = s.Waves.Get(model.WaveID(id)); found {
			e.wave(s, w)
		}
	case KindMove:
		var m model.Move
		if m, found = s.Moves.Get(model.MoveID(id)); found {
			e.move(s, m)
		}
	case KindPool:
		var u *budget.Usage
		if u, found = budget.ForPool(s, model.PoolName(id)); found {
			e.pool(s, u)
		}
	case KindWorker:
		list := assignmentsOf(s, id)
		found = len(list) > 0
		e.worker(list)
	case KindAccount:
		var v AccountsView
		v, found = Accounts(s, e.now, model.AccountName(id))
		if found = found && id != ""; found {
			e.account(s, v.Accounts[0])
		}
	}
	return *e, found
}

// jobOrWorkload explains the job or workload with the given ID. It reports false if
// there is neither.
func (e *Explanation) jobOrWorkload(s model.State, id string) bool {
	if j, ok := s.Jobs.Get(model.JobID(id)); ok {
		e.job(s, j)
		return true
	}
	if w, ok := s.Workloads.Get(model.WorkloadID(id)); ok {
		e.workload(s, w)
		return true
	}
	f, ok := s.Finished.Get(model.WorkloadID(id))
	if ok {
		e.finished(f)
	}
	return ok
}

func (e *Explanation) addReason(format string, args ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
}

func (e *Explanation) addNext(format string, args ...any) {
	e.Next = append(e.Next, fmt.Sprintf(format, args...))
}

// elapsed returns the time from t until now, rounded to seconds.
func (e *Explanation) elapsed(t model.Timestamp) string {
	return e.now.Sub(t).Round(time.Second).String()
}

func (e *Explanation) instance(s model.State, i model.Instance) {
	e.Condition = fmt.Sprintf("%s for %s in pool %s", i.Phase, e.elapsed(i.PhaseSince), i.Pool)
	e.holder(i)
	if i.Retiring {
		e.addReason("the configuration no longer declares it; it is drained within the budget and then forgotten")
	}
	if i.Quarantined {
		e.addReason("it is quarantined: %d jobs in a row failed on it, so that it gets no more", i.Failures)
		e.addNext("examine the instance; a maintenance wave over its pool reboots it")
	}
	e.observed(s, i)
	switch i.Phase {
	case model.PhaseActive:
		e.drainable(s, i)
	case model.PhaseDraining:
		e.draining(s, i)
	case model.PhaseLost, model.PhaseFailed:
		e.addNext("repair or replace the instance; it is available again once the platform reports it up and a target joins")
	}
}

func (e *Explanation) holder(i model.Instance) {
	if id, ok := i.HeldByWave(); ok {
		e.addReason("wave %s holds it", id)
	} else if id, ok := i.HeldByMove(); ok {
		e.addReason("move %s holds it", id)
	} else if i.HeldBy == model.HolderOperator {
		e.addReason("an operator drained it; it stays out of service until `lacewingturn return %s`", i.ID)
	}
}

// drainable says whether the budget allows an active instance to be drained.
func (e *Explanation) drainable(s model.State, i model.Instance) {
	u, ok := budget.ForPool(s, i.Pool)
	if !ok {
		return
	}
	if r := u.CheckOutage(i); !r.Code.OK() {
		e.addReason("it cannot be drained now: %s", r.Detail)
		e.addNext("wait until other instances are back, or accept a wider budget")
		return
	}
	e.addReason("it can be drained now: pool %s may lose %d more instances", i.Pool, u.Headroom())
}

// draining lists the work that must end before the drain is complete.
func (e *Explanation) draining(s model.State, i model.Instance) {
	jobs := jobsOn(s, i.ID)
	for _, j := range jobs {
		e.addReason("job %s of team %s is %s on it, started %s ago", j.ID, j.Team, j.Phase, e.elapsed(j.StartedAt))
	}
	targets := 0
	for _, t := range s.Targets.All() {
		if t.Instance == i.ID && t.Phase != model.TargetLost {
			targets++
		}
	}
	if targets > 0 {
		e.addReason("%d targets on it get no new requests", targets)
	}
	if len(jobs) > 0 {
		e.addNext("cancel the jobs, or wait until they have been checkpointed or have ended")
	}
	if i.HeldBy == model.HolderOperator {
		e.addNext("`lacewingturn return %s` ends the drain", i.ID)
		return
	}
	if i.HeldBy != model.HolderRetire {
		e.addReason("the drain is given up %s after it began rather than cut work short", s.WavePolicy().DrainTimeout)
	}
}

func jobsOn(s model.State, id model.InstanceID) []model.Job {
	var out []model.Job
	for _, j := range s.Jobs.All() {
		if j.Lease.Worker == id && (j.Phase == model.JobLeased || j.Phase == model.JobRunning) {
			out = append(out, j)
		}
	}
	return out
}

func (e *Explanation) wave(s model.State, w model.Wave) {
	e.Condition = fmt.Sprintf("%s over pools %v: %d done, %d in progress, %d waiting, %d passed by", w.Phase, w.Pools,
		len(w.Done), len(w.Running), len(w.Pending), len(w.Passed))
	if w.Reason != "" {
		e.addReason("%s", w.Reason)
	}
	if w.Faults > 0 {
		e.addReason("%d instances failed after their repair, so that the step is %d", w.Faults, w.Step)
	}
	for _, id := range w.Running {
		if i, ok := s.Instances.Get(id); ok {
			e.addReason("instance %s is %s for %s", id, i.Phase, e.elapsed(i.PhaseSince))
			e.operation(i)
		}
	}
	for _, id := range w.Passed {
		e.addReason("instance %s was passed by; `lacewingturn explain instance %s` says why it is out", id, id)
	}
	switch w.Phase {
	case model.WaveRunning:
		e.pendingReasons(s, w)
	case model.WavePaused:
		e.addNext("`lacewingturn wave resume %s`", w.ID)
	case model.WaveStopped:
		e.addNext("examine the failed instances, then `lacewingturn wave resume %s` or `lacewingturn wave cancel %s`", w.ID, w.ID)
	}
}

// pendingReasons says for each pool of a wave why no further instance is drained.
// Each kind of reason is given once per pool, for the first instance that it
// applies to.
func (e *Explanation) pendingReasons(s model.State, w model.Wave) {
	usage := budget.ForState(s)
	reported := map[string]bool{}
	for _, id := range w.Pending {
		i, ok := s.Instances.Get(id)
		u := usage[i.Pool]
		if !ok || u == nil {
			continue
		}
		kind, reason := pendingReason(w, i, u)
		if key := string(i.Pool) + "/" + kind; reason != "" && !reported[key] {
			reported[key] = true
			e.addReason("%s", reason)
		}
	}
}

func pendingReason(w model.Wave, i model.Instance, u *budget.Usage) (kind, reason string) {
	if !slices.Contains(w.Pools, i.Pool) {
		return "moved", fmt.Sprintf("instance %s has moved to pool %s and is passed by", i.ID, i.Pool)
	}
	if i.Phase != model.PhaseActive {
		return i.Phase.String(), fmt.Sprintf("instance %s of pool %s waits because it is %s", i.ID, i.Pool, i.Phase)
	}
	if r := u.CheckOutage(i); !r.Code.OK() {
		return r.Code.String(), fmt.Sprintf("instance %s waits: %s", i.ID, r.Detail)
	}
	return "", ""
}

func (e *Explanation) move(s model.State, m model.Move) {
	e.Condition = fmt.Sprintf("%s for %s: instance %s from pool %s to pool %s", m.Phase, e.elapsed(m.Since), m.Instance, m.From, m.To)
	if m.Reason != "" {
		e.addReason("%s", m.Reason)
	}
	if m.Lend {
		e.addReason("the system lends the instance and gives it back when demand falls")
	}
	if i, ok := s.Instances.Get(m.Instance); ok && !m.Phase.Ended() {
		e.addReason("instance %s is %s for %s", i.ID, i.Phase, e.elapsed(i.PhaseSince))
		if m.Phase == model.MoveDraining {
			e.draining(s, i)
			e.addNext("`lacewingturn undo-move %s` keeps the instance in pool %s", m.ID, m.From)
		}
	}
}

func (e *Explanation) pool(s model.State, u *budget.Usage) {
	e.Condition = fmt.Sprintf("%d of %d instances available, %d must stay available", u.Available, u.Members, u.MinAvailable())
	for _, i := range s.Instances.All() {
		if i.Pool == u.Pool.Name && !i.Available() {
			held := ""
			if i.HeldBy != "" {
				held = ", held by " + i.HeldBy
			}
			e.addReason("instance %s in rack %s of %s is %s for %s%s", i.ID, i.Domain.Rack, i.Domain.DataCenter, i.Phase, e.elapsed(i.PhaseSince), held)
		}
	}
	switch {
	case u.Headroom() < 0:
		e.addReason("faults have left less than the budget, so that planned work has stopped")
		e.addNext("repair instances, move one into the pool, or wait for the spare pool to lend one")
	case u.Headroom() == 0:
		e.addReason("the budget is used up; drains, moves out and wave steps wait")
	default:
		e.addReason("%d more instances may become unavailable", u.Headroom())
	}
	e.maintenanceDue(s, u.Pool.Name)
}
