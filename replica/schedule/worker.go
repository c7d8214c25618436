package schedule

import (
	"time"

	"lacewingturn.example/core/command/place"
	"lacewingturn.example/core/command/throttle"
	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/table"
)

// worker is what the leader has observed of one incarnation of a worker.
type worker struct {
	Report
	reportedAt time.Time
	// first is the first report to this leader that was not late.
	first clockMark
	// stopsOver is set once all stops have ended that earlier leaders may have ordered.
	stopsOver bool
	// heardAt is when the last heartbeat was refused as expired.
	heardAt time.Time
	// leaseUntil is when all runs on the worker have certainly ended if it does not
	// report again.
	leaseUntil time.Time
	// sizes holds the size of each run that was assigned to the worker, until neither the
	// state nor the worker lists the run.
	sizes map[model.RunRef]runSize
	// progress holds the progress of each run and when it last advanced. A run that is not
	// listed any more, and not as ended either, stays for the length of a lease.
	progress map[model.RunRef]progress
	// failures counts the failed runs since the last success.
	failures int
	// suspectUntil is the time until which the worker gets work only if no other
	// worker can take it.
	suspectUntil time.Time
	// backoffUntil is the time until which the worker gets no work because it
	// refused a run.
	backoffUntil time.Time
	// speed is the moving average of the speed of runs relative to their estimates,
	// samples the number of measurements in it.
	speed   float64
	samples int
	// throttle is the throttling state of the fillers on the worker; sentThrottle holds
	// the speed in percent that was last sent for each of them.
	throttle     throttle.WorkerState
	sentThrottle map[model.RunRef]int
	// ordered lists the runs that the latest answer told the worker to start. The next
	// report shows which of them it has started, because a worker drops a late answer
	// and has one report outstanding at a time.
	ordered map[model.RunRef]bool
	// unstarted holds the runs that the worker was told to start and has not listed.
	unstarted map[model.RunRef]startAttempts
	freeCache freeCache
	// retiring is set while the instance is surplus to the demand of its pool.
	retiring bool
	// replaced is set while the incarnation counts as ended because another one has taken
	// its name, instance or address.
	replaced bool
	// endedByOrder is set while the incarnation counts as ended because the platform has
	// confirmed an order.
	endedByOrder bool
}

// clockMark is the clock of an incarnation in a report, and when the report arrived.
type clockMark struct {
	clock time.Duration
	at    time.Time
}

// later returns by how much more a report was late than a second one.
func (c clockMark) later(second clockMark) time.Duration {
	return (second.clock - c.clock) - second.at.Sub(c.at)
}

// trackStops finds out when the stops have ended that earlier leaders may have ordered, of which
// each takes stopTime at most. A worker has one heartbeat outstanding, so that its first report to
// this leader, unless it is late, was sent after all answers of earlier leaders had arrived or were
// given up. A later report that took less time on its way shows that the one before was late.
func (w *worker) trackStops(now time.Time, stopTime time.Duration) {
	if w.stopsOver {
		return
	}
	latest := clockMark{w.Clock, now}
	if w.first.at.IsZero() || w.first.later(latest) > reportSlack {
		w.first = latest
	}
	w.stopsOver = w.Clock-w.first.clock >= stopTime
}

const (
	// maxClockDrift is the fraction of its length by which a lease may last longer
	// because the worker's clock is slow.
	maxClockDrift = 0.02
	// leaseSlack is the margin after the end of a lease before its runs count as ended.
	leaseSlack = 150 * time.Millisecond
	// refusalBackoff is how long a worker gets no work after it refused a run.
	refusalBackoff = 300 * time.Millisecond
	// suspectPeriod is how long a worker stays suspect after failed, stalled or
	// slow runs.
	suspectPeriod = 6 * time.Second
	// maxFailures is the number of consecutive failed runs that makes a worker suspect.
	maxFailures = 3
)

// leaseEnd returns when a lease granted at the given time has certainly expired.
func leaseEnd(granted time.Time, lease time.Duration) time.Time {
	return granted.Add(lease + time.Duration(float64(lease)*maxClockDrift) + leaseSlack)
}

// observe applies a newer report. The estimates of runs come from the state.
func (w *worker) observe(now time.Time, r Report, s model.State) {
	w.Report, w.reportedAt, w.ordered = r, now, nil
	progressByRun := make(map[model.RunRef]progress, len(r.Running))
	for run, p := range w.progress {
		if now.Before(leaseEnd(p.lastListedAt, lease)) {
			progressByRun[run] = p
		}
	}
	for _, end := range r.Ended {
		delete(progressByRun, end.Run)
	}
	for _, run := range r.Running {
		next, speed, ok := w.progress[run.Run].track(now, run.Percent, estimateOf(s, run.Run.Task))
		next.lastListedAt = now
		progressByRun[run.Run] = next
		if ok {
			w.addSample(speed)
		}
	}
	w.progress = progressByRun
	failed := failedRuns(s, r)
	for _, end := range r.Ended {
		w.recordEnd(now, end, failed[end.Run] && isNewFailure(s, w.Worker, end.Run))
	}
}

// mayRun reports whether the worker has listed the run and may still have it, although its
// latest report does not list it. A worker lists each run until its end is acknowledged, so
// that the report is from another sender; the run ends with its lease at the latest.
func (w *worker) mayRun(now time.Time, run model.RunRef, lease time.Duration) bool {
	p, listed := w.progress[run]
	return listed && now.Before(leaseEnd(p.lastListedAt, lease))
}

// addSample adds a measurement to the moving average of the speed.
func (w *worker) addSample(speed float64) {
	if w.samples == 0 {
		w.speed = speed
	}
	w.speed += speedWeight * (speed - w.speed)
	w.samples++
}

// estimateOf returns the estimated run time of a task that ends by itself; 0 if
// there is none.
func estimateOf(s model.State, task model.TaskRef) time.Duration {
	w, ok := s.Workloads.Get(task.Workload)
	if !ok || !w.Has(task) || w.Steps[task.Step].Lasting {
		return 0
	}
	return w.Steps[task.Step].Estimate
}

// recordEnd counts consecutive failures and starts the backoff after a refusal.
func (w *worker) recordEnd(now time.Time, end Ended, newFailure bool) {
	switch {
	case end.Refused:
		w.backoffUntil = compare.Later(w.backoffUntil, now.Add(refusalBackoff))
	case end.Outcome == model.RunDone:
		w.failures = 0
	case newFailure:
		if w.failures++; w.failures >= maxFailures {
			w.suspectUntil = now.Add(suspectPeriod)
		}
	}
}

// freeCache holds the free resources computed for one report and one list of
// assigned runs.
type freeCache struct {
	sequence int64
	runs     table.Set[model.RunRef]
	free     model.Resources
	// unassigned lists the runs that the worker has although they are not assigned to
	// it any more.
	unassigned []model.RunRef
	// fillerMilliCPU is the processor time, in thousandths of a processor, that the
	// fillers among the assigned runs declare.
	fillerMilliCPU int64
}

// updateFree brings the cache up to date with the latest report and the assigned runs.
func (w *worker) updateFree(s model.State) {
	a, _ := s.Assignments.Get(w.Worker)
	if known := w.freeCache.sequence == w.Sequence && w.freeCache.runs.Same(a.Runs); !known {
		free, unassigned := w.computeFree(s, a.Runs)
		w.freeCache = freeCache{w.Sequence, a.Runs, free, unassigned, declaredByFillers(s, a.Runs)}
	}
}

// free returns the resources that are used neither by assigned runs nor by other
// runs that the worker lists or may have started since.
func (w *worker) free(s model.State) model.Resources {
	w.updateFree(s)
	return w.freeCache.free
}

// computeFree subtracts the runs from the capacity, and returns the runs that are not
// assigned. Nothing is free if the size of a listed run is unknown.
func (w *worker) computeFree(s model.State, assigned table.Set[model.RunRef]) (free model.Resources, unassigned []model.RunRef) {
	sizes := make(map[model.RunRef]runSize, assigned.Len()+len(w.ordered))
	for run := range assigned.All() {
		sizes[run] = sizeOf(s, run.Task)
	}
	allKnown := true
	addUnassigned := func(run model.RunRef) {
		if _, added := sizes[run]; added {
			return
		}
		size, known := w.sizes[run]
		allKnown = allKnown && known
		sizes[run] = size
		unassigned = append(unassigned, run)
	}
	for _, run := range w.Running {
		addUnassigned(run.Run)
	}
	for run := range w.ordered {
		addUnassigned(run)
	}
	if !allKnown {
		return model.Resources{}, unassigned
	}
	w.sizes = sizes
	free = w.Capacity
	for _, size := range sizes {
		free = free.Sub(size.reserved)
	}
	return free, unassigned
}

// runSize is what a run takes of its worker and of the cap of its account.
type runSize struct {
	reserved model.Resources
	need     model.Resources
	account  model.AccountName
}

func sizeOf(s model.State, task model.TaskRef) runSize {
	w, ok := s.Workloads.Get(task.Workload)
	if !ok || !w.Has(task) {
		return runSize{}
	}
	step := w.Steps[task.Step]
	return runSize{reserved: step.Reserved(), need: step.Need, account: w.Account}
}

// offer returns the worker as input of the planner; false if it takes no work.
func (w *worker) offer(now time.Time, s model.State) (place.Worker, bool) {
	free := w.free(s)
	if w.Draining || now.Before(w.backoffUntil) {
		return place.Worker{}, false
	}
	return place.Worker{
		ID: w.Worker, Pool: w.Pool, Rack: w.Domain.Rack, Labels: w.Labels, Runs: w.freeCache.runs.Len() + len(w.freeCache.unassigned),
		Free: free, Unassigned: w.freeCache.unassigned, FillerMilliCPU: free.MilliCPU - w.freeCache.fillerMilliCPU, Suspect: now.Before(w.suspectUntil), Retiring: w.retiring,
	}, true
}

// declaredByFillers returns the sum of the processor time that the fillers among the runs
// declare, in thousandths of a processor.
func declaredByFillers(s model.State, runs table.Set[model.RunRef]) int64 {
	var sum int64
	for run := range runs.All() {
		if workload, ok := s.Workloads.Get(run.Task.Workload); ok && workload.Steps[run.Task.Step].Filler {
			sum += workload.Steps[run.Task.Step].Need.MilliCPU
		}
	}
	return sum
}

// checkpoint returns the last checkpoint that the worker reported for the run;
// empty if there is none.
func (w *worker) checkpoint(run model.RunRef) string {
	r, _ := w.runningRun(run)
	return r.Checkpoint
}
