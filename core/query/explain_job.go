package query

import (
	"fmt"

	"lacewingturn.example/core/model"
)

// job explains a job. For a queued job it counts why the instances of its pool
// cannot take it, using the same job sizes as the placement.
func (e *Explanation) job(s model.State, j model.Job) {
	e.Condition = fmt.Sprintf("%s, team %s, pool %s, declared %s", j.Phase, j.Team, j.Pool, Capacity(j.Declared))
	if j.Reason != "" {
		e.addReason("%s", j.Reason)
	}
	if j.Cancelling {
		e.addReason("its cancellation was asked for and the worker has not confirmed it yet")
	}
	if j.Failures > 0 {
		e.addReason("%d of %d attempts failed", j.Failures, j.Attempts)
	}
	switch j.Phase {
	case model.JobQueued:
		e.addReason("it has waited for %s", e.elapsed(j.SubmittedAt))
		if c, ok := s.ClassEstimate(j); ok {
			e.addReason("jobs of class %q take %s and run for %s, as learned from %d of them", c.Class, Capacity(c.Used), c.Run, c.Samples)
		}
		e.quota(s, j)
		e.placement(s, j)
	case model.JobLeased, model.JobRunning:
		e.addReason("worker %s holds its lease with token %d", j.Lease.Worker, j.Lease.Token)
		if j.Throttled {
			e.addReason("it was throttled to make room")
		}
	}
}

// quota says whether the job would exceed its team's quota, which is allowed only
// while there is idle capacity.
func (e *Explanation) quota(s model.State, j model.Job) {
	if s.Config == nil {
		return
	}
	used := s.JobSize(j, model.Instance{Capacity: unlimited})
	for _, o := range s.Jobs.All() {
		if o.Team == j.Team && (o.Phase == model.JobLeased || o.Phase == model.JobRunning) {
			used = used.Add(o.Reserved)
		}
	}
	for _, t := range s.Config.Teams {
		if t.Name == j.Team && !t.Quota.Fits(used) {
			e.addReason("team %s would use %s and its quota is %s, so that only idle capacity can be lent", t.Name, Capacity(used), Capacity(t.Quota))
			e.addNext("wait for jobs of the team to end, or accept a larger quota")
		}
	}
}

// placement counts the reasons why instances of the pool cannot take the job.
func (e *Explanation) placement(s model.State, j model.Job) {
	free := freeCapacity(s, j.Pool)
	out, excluded, small, full, fits := 0, 0, 0, 0, 0
	for id, f := range free {
		i, _ := s.Instances.Get(id)
		switch {
		case !i.Capacity.Fits(j.Declared):
			small++
		case i.Quarantined || i.Retiring:
			excluded++
		case !i.Available():
			out++
		case !f.Fits(s.JobSize(j, i)):
			full++
		default:
			fits++
		}
	}
	e.addReason("of %d instances of pool %s: %d are too small, %d out of service, %d quarantined or retiring, %d have not enough free capacity, %d have room",
		len(free), j.Pool, small, out, excluded, full, fits)
	switch {
	case small == len(free):
		e.addNext("declare a smaller size, or add a larger instance to pool %s", j.Pool)
	case fits == 0:
		e.addNext("wait for capacity, move an instance into pool %s, or cancel other jobs", j.Pool)
	}
}

// unlimited is a capacity that is larger than any job.
var unlimited = model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40}

// freeCapacity returns, for each instance of the pool, the capacity that no lease
// reserves.
func freeCapacity(s model.State, pool model.PoolName) map[model.InstanceID]model.Resources {
	free := map[model.InstanceID]model.Resources{}
	for id, i := range s.Instances.All() {
		if i.Pool == pool {
			free[id] = i.Capacity
		}
	}
	for _, j := range s.Jobs.All() {
		if j.Phase != model.JobLeased && j.Phase != model.JobRunning {
			continue
		}
		if f, ok := free[j.Lease.Worker]; ok {
			free[j.Lease.Worker] = f.Sub(j.Reserved)
		}
	}
	return free
}
