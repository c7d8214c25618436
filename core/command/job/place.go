package job

import (
	"slices"
	"strconv"

	"lacewingturn.example/core/command/share"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// place grants a lease for a queued job if the worker has enough free capacity and
// the team has quota left. With Borrow the job may exceed the quota.
func place(s *model.State, env model.Envelope, c model.PlaceJob) result.Result {
	j, ok := s.Jobs.Get(c.ID)
	if !ok {
		return result.New(result.NotFound, "no job %q", c.ID)
	}
	if j.Phase.Final() {
		return result.New(result.JobFinished, "job %s is %s", j.ID, j.Phase)
	}
	if j.Phase != model.JobQueued {
		return result.New(result.StaleToken, "job %s has a lease already", j.ID)
	}
	w, r := usableWorker(s, c.Worker, j)
	if !r.Code.OK() {
		return r
	}
	size := s.JobSize(j, w)
	load, _ := s.JobIndex.Loads.Get(w.ID)
	if free := w.Capacity.Sub(load.Reserved); !free.Fits(size) {
		return result.New(result.NoCapacity, "instance %s has %+v free, job %s needs %+v", w.ID, free, j.ID, size)
	}
	within := withinQuota(s, j.Team, size)
	if !within && !c.Borrow {
		return result.New(result.QuotaExceeded, "team %s has used its quota", j.Team)
	}
	next := j
	next.Phase = model.JobLeased
	next.Lease = model.Lease{Worker: w.ID, Token: uint64(s.Index), ExpiresAt: env.Time.Add(MinLeaseDuration)}
	next.Reserved, next.Borrowed = size, !within
	next.Attempts++
	store(s, j, next)
	return result.Result{Code: result.Accepted, Value: strconv.FormatUint(next.Lease.Token, 10), Revision: uint64(s.Index)}
}

// usableWorker returns the instance if the job may be placed on it.
func usableWorker(s *model.State, id model.InstanceID, j model.Job) (model.Instance, result.Result) {
	w, ok := s.Instances.Get(id)
	if !ok {
		return w, result.New(result.NotFound, "no instance %q", id)
	}
	if w.Pool != j.Pool {
		return w, result.New(result.PoolMismatch, "instance %s is in pool %s, job %s needs pool %s", id, w.Pool, j.ID, j.Pool)
	}
	if w.Quarantined {
		return w, result.New(result.WorkerExcluded, "instance %s is quarantined", id)
	}
	if !schedulable(w) {
		return w, result.New(result.WrongPhase, "instance %s is %s", id, w.Phase)
	}
	return w, result.Result{Code: result.OK}
}

// schedulable reports whether jobs may be placed on the instance. An instance held
// by a wave, a move or an operator is about to leave service and gets no new work.
func schedulable(w model.Instance) bool {
	return w.Phase == model.PhaseActive && !w.Quarantined && !w.Retiring && w.HeldBy == ""
}

// quota returns the quota of a team, and false if the team is not configured. Zero
// fields mean no limit.
func quota(s *model.State, team model.TeamName) (model.Resources, bool) {
	if s.Config == nil {
		return model.Resources{}, false
	}
	i := slices.IndexFunc(s.Config.Teams, func(t model.Team) bool { return t.Name == team })
	if i < 0 {
		return model.Resources{}, false
	}
	return s.Config.Teams[i].Quota, true
}

// withinQuota reports whether the team may reserve more. Unknown teams have no limit.
func withinQuota(s *model.State, team model.TeamName, more model.Resources) bool {
	q, ok := quota(s, team)
	if !ok {
		return true
	}
	load, _ := s.JobIndex.Teams.Get(team)
	return share.FitsCap(q, load.Reserved.Add(more))
}
