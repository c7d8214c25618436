package job

import (
	"slices"
	"strconv"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// minSamples is the number of ended jobs after which the learned size and run
// time of a class replace the declared ones.
const minSamples = 3

// undeclared is taken for processors and memory that a job does not declare,
// until its class is known.
var undeclared = model.Resources{MilliCPU: 100, MemoryMB: 64}

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
	size := Size(*s, j, w)
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
	next.Lease = model.Lease{Worker: w.ID, Token: uint64(s.Index), ExpiresAt: env.Time.Add(LeaseTerm)}
	next.Reserved, next.Borrowed = size, !within
	next.Attempts++
	store(s, j, next)
	return result.Result{Code: result.Accepted, Value: strconv.FormatUint(next.Lease.Token, 10), Revision: uint64(s.Index)}
}

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
	if !takesJobs(w) {
		return w, result.New(result.WrongPhase, "instance %s is %s", id, w.Phase)
	}
	return w, result.Result{Code: result.OK}
}

// takesJobs reports whether jobs may be placed on the instance. One that is
// held by a wave, a move or an operator is leaving and gets no new work.
func takesJobs(w model.Instance) bool {
	return w.Phase == model.PhaseActive && !w.Quarantined && !w.Retiring && w.HeldBy == ""
}

// Size returns what the job will take of the worker: the learned size of its
// class, or the declared one while there are few samples. It is at most the
// whole worker, because a job is admitted by its declared size.
func Size(s model.State, j model.Job, w model.Instance) model.Resources {
	size := j.Declared
	if size.MilliCPU == 0 {
		size.MilliCPU = undeclared.MilliCPU
	}
	if size.MemoryMB == 0 {
		size.MemoryMB = undeclared.MemoryMB
	}
	if e, ok := s.Classes.Get(j.ClassKey()); ok && e.Samples >= minSamples {
		size.MilliCPU, size.MemoryMB = max(e.Used.MilliCPU, 1), max(e.Used.MemoryMB, 1)
	}
	size.MilliCPU = min(size.MilliCPU, w.Capacity.MilliCPU)
	size.MemoryMB = min(size.MemoryMB, w.Capacity.MemoryMB)
	return size
}

// quota returns the quota of a team. Zero fields do not limit.
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

func withinQuota(s *model.State, team model.TeamName, more model.Resources) bool {
	q, ok := quota(s, team)
	if !ok {
		return true
	}
	load, _ := s.JobIndex.Teams.Get(team)
	return fitsQuota(q, load.Reserved.Add(more))
}

func fitsQuota(q, use model.Resources) bool {
	return (q.MilliCPU == 0 || use.MilliCPU <= q.MilliCPU) && (q.MemoryMB == 0 || use.MemoryMB <= q.MemoryMB) &&
		(q.Accelerators == 0 || use.Accelerators <= q.Accelerators)
}
