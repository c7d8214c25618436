package schedule

import (
	"time"

	"lacewingturn.example/core/command/pace"
	"lacewingturn.example/core/command/place"
	"lacewingturn.example/core/model"
)

// worker is what the leader has observed of one incarnation.
type worker struct {
	Report
	reportedAt time.Time
	// leaseUntil is when everything on the worker has certainly ended, if it is
	// not heard of again.
	leaseUntil time.Time
	// sizes holds what each run takes that was assigned to the worker, until the
	// worker lists it no longer.
	sizes map[model.RunRef]model.Resources
	// progress tells when each run last moved on.
	progress map[model.RunRef]progress
	// failures counts the failed runs since the last success.
	failures int
	// doubtUntil is how long the worker gets work last.
	suspectUntil time.Time
	// fullUntil is how long the worker gets no work after it has refused a run.
	backoffUntil time.Time
	// speed is how fast runs progress against their estimates, on average, and
	// samples the number of measurements.
	speed   float64
	samples int
	// pace is that of the fillers on the worker; paced is what the worker was told.
	pace      pace.Worker
	sentPace  map[model.RunRef]int
	freeCache freeCache
	// retiring is set while the instance is beyond the demand of its pool.
	retiring bool
}

const (
	// clockError is how much longer a lease may last on the worker's clock.
	maxClockDrift = 0.02
	// leaseSlack is added to the end of a lease before its runs count as ended.
	leaseSlack = 150 * time.Millisecond
	// refusalPause is how long a worker gets no work after it has refused a run.
	refusalBackoff = 300 * time.Millisecond
	// doubtPause is how long a worker that fails runs gets work last.
	suspectPeriod = 6 * time.Second
	// maxFailures is the number of failed runs in a row that put a worker in doubt.
	maxFailures = 3
)

// leaseEnd returns when a lease granted at the time has certainly ended.
func leaseEnd(granted time.Time, lease time.Duration) time.Time {
	return granted.Add(lease + time.Duration(float64(lease)*maxClockDrift) + leaseSlack)
}

// observe takes a newer report. The state tells the estimates of runs.
func (w *worker) observe(now time.Time, r Report, s model.State) {
	w.Report, w.reportedAt = r, now
	seen := map[model.RunRef]progress{}
	for _, run := range r.Running {
		next, speed, ok := w.progress[run.Run].track(now, run.Percent, estimateOf(s, run.Run.Task))
		seen[run.Run] = next
		if ok {
			w.addSample(speed)
		}
	}
	w.progress = seen
	for _, end := range r.Ended {
		w.recordEnd(now, end)
	}
}

// sample takes a measurement of the speed.
func (w *worker) addSample(speed float64) {
	if w.samples == 0 {
		w.speed = speed
	}
	w.speed += speedWeight * (speed - w.speed)
	w.samples++
}

// estimateOf returns the estimate of a task that ends by itself; 0 if there is none.
func estimateOf(s model.State, task model.TaskRef) time.Duration {
	w, ok := s.Workloads.Get(task.Workload)
	if !ok || !w.Has(task) || w.Steps[task.Step].Lasting {
		return 0
	}
	return w.Steps[task.Step].Estimate
}

// judge keeps count of failed runs.
func (w *worker) recordEnd(now time.Time, end Ended) {
	switch {
	case end.Refused:
		w.backoffUntil = now.Add(refusalBackoff)
	case end.Outcome == model.RunDone:
		w.failures = 0
	case end.Outcome == model.RunFailed:
		if w.failures++; w.failures >= maxFailures {
			w.suspectUntil = now.Add(suspectPeriod)
		}
	}
}

// room is what was free at a report and a list of assigned runs.
type freeCache struct {
	sequence int64
	runs     []model.RunRef
	free     model.Resources
}

// free returns what neither assigned nor other listed runs take.
func (w *worker) free(s model.State) model.Resources {
	a, _ := s.Assignments.Get(w.Worker)
	known := w.freeCache.sequence == w.Sequence && len(w.freeCache.runs) == len(a.Runs) && (len(a.Runs) == 0 || &w.freeCache.runs[0] == &a.Runs[0])
	if !known {
		w.freeCache = freeCache{w.Sequence, a.Runs, w.computeFree(s, a.Runs)}
	}
	return w.freeCache.free
}

// measure subtracts the runs from the capacity.
func (w *worker) computeFree(s model.State, assigned []model.RunRef) model.Resources {
	free := w.Capacity
	if w.sizes == nil {
		w.sizes = map[model.RunRef]model.Resources{}
	}
	listed := map[model.RunRef]bool{}
	for _, run := range assigned {
		listed[run] = true
		size := sizeOf(s, run.Task)
		w.sizes[run] = size
		free = free.Sub(size)
	}
	for _, run := range w.Running {
		if listed[run.Run] {
			continue
		}
		listed[run.Run] = true
		size, known := w.sizes[run.Run]
		if !known {
			return model.Resources{}
		}
		free = free.Sub(size)
	}
	for run := range w.sizes {
		if !listed[run] {
			delete(w.sizes, run)
		}
	}
	return free
}

func sizeOf(s model.State, task model.TaskRef) model.Resources {
	w, ok := s.Workloads.Get(task.Workload)
	if !ok || !w.Has(task) {
		return model.Resources{}
	}
	return w.Steps[task.Step].Reserved()
}

// offer returns the worker as the planner sees it; false if it takes no work.
func (w *worker) offer(now time.Time, s model.State) (place.Worker, bool) {
	free := w.free(s)
	if w.Draining || now.Before(w.backoffUntil) {
		return place.Worker{}, false
	}
	return place.Worker{
		ID: w.Worker, Pool: w.Pool, Rack: w.Domain.Rack, Labels: w.Labels,
		Free: free, Spare: free.MilliCPU - w.fillers(s), Doubtful: now.Before(w.suspectUntil), Retiring: w.retiring,
	}, true
}

// fillers returns the processor time in thousandths that fillers on the worker declare.
func (w *worker) fillers(s model.State) int64 {
	var sum int64
	a, _ := s.Assignments.Get(w.Worker)
	for _, run := range a.Runs {
		if workload, ok := s.Workloads.Get(run.Task.Workload); ok && workload.Steps[run.Task.Step].Filler {
			sum += workload.Steps[run.Task.Step].Need.MilliCPU
		}
	}
	return sum
}

// checkpoint returns the last one that the worker has listed for the run.
func (w *worker) checkpoint(run model.RunRef) string {
	for _, r := range w.Running {
		if r.Run == run {
			return r.Checkpoint
		}
	}
	return ""
}
