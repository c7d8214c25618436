package job

import (
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// started records that the worker runs the job, and renews the lease. For a job that
// is running already it changes nothing.
func started(s *model.State, env model.Envelope, c model.JobStarted) result.Result {
	j, r := checkLease(s, c.ID, c.Token)
	if !r.Code.OK() {
		return r
	}
	if j.Phase == model.JobRunning {
		return workerResult(j)
	}
	next := j
	next.Phase, next.StartedAt = model.JobRunning, env.Time
	next.Lease.ExpiresAt = renewedExpiry(s, env, j)
	store(s, j, next)
	return workerResult(next)
}

// report renews the lease, records usage and checkpoint, and updates the size
// estimate of the class. The reservation grows to the usage if that is higher; while
// the job is throttled, its reserved processors shrink to the usage instead.
func report(s *model.State, env model.Envelope, c model.JobReport) result.Result {
	j, r := checkLease(s, c.ID, c.Token)
	if !r.Code.OK() {
		return r
	}
	next := j
	next.Used = c.Used
	next.Lease.ExpiresAt = renewedExpiry(s, env, j)
	if c.Checkpoint != "" {
		next.Checkpoint = c.Checkpoint
	}
	if j.Throttled {
		next.Reserved.MilliCPU = min(j.Reserved.MilliCPU, max(c.Used.MilliCPU, 1))
	} else {
		next.Reserved.MilliCPU = max(j.Reserved.MilliCPU, c.Used.MilliCPU)
	}
	next.Reserved.MemoryMB = max(j.Reserved.MemoryMB, c.Used.MemoryMB)
	store(s, j, next)
	learnUsage(s, next, c.Used)
	return workerResult(next)
}

// ended records the end that the worker reports. A job that succeeded before the worker
// learned of its cancellation is done; any other end of a job whose cancellation was
// requested is a cancellation. Of the other jobs, one that the worker ended to make
// room returns to the queue, and any other end is a failure.
func ended(s *model.State, env model.Envelope, c model.JobEnded) result.Result {
	j, r := checkLease(s, c.ID, c.Token)
	if !r.Code.OK() {
		return r
	}
	if c.Used != (model.Resources{}) {
		j.Used = c.Used
	}
	worker := j.Lease.Worker
	old, _ := s.Jobs.Get(c.ID)
	store(s, old, j)
	switch {
	case c.Succeeded:
		finish(s, env, j, model.JobDone, c.Reason)
		learnEnd(s, j, c)
		workerSucceeded(s, worker)
	case j.Cancelling:
		finish(s, env, j, model.JobCancelled, "cancelled while it ran")
	case c.Cancelled:
		requeue(s, j, "ended to make room: "+c.Reason)
	default:
		return recordFailure(s, env, j, c.Reason)
	}
	return result.Result{Code: result.Accepted}
}

// expire ends a lease that was not renewed in time. The job returns to the queue,
// or is cancelled if that was requested.
func expire(s *model.State, env model.Envelope, c model.ExpireLease) result.Result {
	j, r := checkLease(s, c.ID, c.Token)
	if !r.Code.OK() {
		return r
	}
	if !j.Active() || env.Time < j.Lease.ExpiresAt {
		return result.New(result.Unchanged, "the lease of job %s was renewed", j.ID)
	}
	if j.Cancelling {
		finish(s, env, j, model.JobCancelled, "cancelled; instance "+string(j.Lease.Worker)+" did not report its end")
	} else {
		requeue(s, j, "instance "+string(j.Lease.Worker)+" stopped reporting")
	}
	return result.Result{Code: result.Accepted}
}

// control records the action that the worker is requested to take. A request is
// never replaced by a less costly one, except that throttling may be ended.
func control(s *model.State, env model.Envelope, c model.ControlJob) result.Result {
	j, r := checkLease(s, c.ID, c.Token)
	if !r.Code.OK() {
		return r
	}
	if c.Action == model.ActionNone {
		return unthrottle(s, j)
	}
	if c.Action > model.ActionStop {
		return result.New(result.InvalidInput, "no action %d", c.Action)
	}
	if c.Action <= j.Action {
		return result.Result{Code: result.Unchanged}
	}
	next := j
	next.Action, next.ActionSince, next.YieldsTo, next.Reason = c.Action, env.Time, c.For, c.Reason
	next.Throttled = j.Throttled || c.Action == model.ActionThrottle
	store(s, j, next)
	return result.Result{Code: result.Accepted}
}

// unthrottle lets a throttled job run at full speed if its worker has enough free
// processors.
func unthrottle(s *model.State, j model.Job) result.Result {
	if j.Action != model.ActionThrottle {
		return result.Result{Code: result.Unchanged}
	}
	w, _ := s.Instances.Get(j.Lease.Worker)
	load, _ := s.JobIndex.Loads.Get(w.ID)
	size := s.JobSize(j, w)
	if others := load.Reserved.MilliCPU - j.Reserved.MilliCPU; others+size.MilliCPU > w.Capacity.MilliCPU {
		return result.New(result.NoCapacity, "instance %s has no processors free to end the throttling of job %s", w.ID, j.ID)
	}
	next := j
	next.Reserved.MilliCPU = max(j.Reserved.MilliCPU, size.MilliCPU)
	next.Throttled, next.Action, next.YieldsTo = false, model.ActionNone, ""
	store(s, j, next)
	return result.Result{Code: result.Accepted}
}
