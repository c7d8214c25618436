package job

import (
	"iter"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

const (
	// minReportInterval is the minimum time between two periodic reports of a worker.
	minReportInterval = 15 * time.Second
	// reportIntervalPerWorker bounds the reports of all workers together to 10/s.
	// Each costs the leader several times its size in the log, because it is
	// received, answered and replicated; a node may use 7 KB/s.
	reportIntervalPerWorker = 100 * time.Millisecond
	// reportsPerLease is the number of report intervals in a lease, so that two
	// consecutive reports may be lost.
	reportsPerLease = 3
)

// UsageChangeDivisor determines which change of usage is reported: one of more than
// the last reported usage divided by UsageChangeDivisor, which is one eighth.
const UsageChangeDivisor = 8

// ReportInterval returns the time between two reports of a worker on which nothing
// changes, given the number of instances. It grows with that number, because every
// report is an entry in the log.
func ReportInterval(instances int) time.Duration {
	return max(minReportInterval, time.Duration(instances)*reportIntervalPerWorker)
}

// LeaseDuration returns the duration of a lease from a report that renews it, given
// the number of instances.
func LeaseDuration(instances int) time.Duration {
	return max(MinLeaseDuration, reportsPerLease*ReportInterval(instances))
}

// UsageChanged reports whether the usage differs enough from the last reported one to
// be reported again. For accelerators any difference is enough.
func UsageChanged(last, now model.Resources) bool {
	differs := func(a, b int64) bool { return max(a-b, b-a)*UsageChangeDivisor > a }
	return differs(last.MilliCPU, now.MilliCPU) || differs(last.MemoryMB, now.MemoryMB) || last.Accelerators != now.Accelerators
}

// renewedExpiry returns when the lease expires after a report. A report never
// shortens a lease.
func renewedExpiry(s *model.State, env model.Envelope, j model.Job) model.Timestamp {
	return max(j.Lease.ExpiresAt, env.Time.Add(LeaseDuration(s.Instances.Len())))
}

// reportWork applies all parts of a worker's report. Each part is checked like the
// separate command for it, and refused parts change nothing.
func reportWork(s *model.State, env model.Envelope, c model.ReportWork) result.Result {
	if !s.Instances.Has(c.Worker) {
		return result.New(result.NotFound, "no instance %q", c.Worker)
	}
	n := s.Instances.Len()
	out := &result.Work{LeaseMs: uint32(LeaseDuration(n).Milliseconds()), NextMs: uint32(ReportInterval(n).Milliseconds())}
	add := func(token uint64, r result.Result) {
		out.Jobs = append(out.Jobs, result.WorkAnswer{Token: token, Code: r.Code, Asked: requestedAction(r)})
	}
	for _, x := range c.Started {
		add(x.Token, ifLeasedTo(s, c.Worker, x.ID, x.Token, func() result.Result { return started(s, env, x) }))
	}
	for token, r := range renewHeld(s, env, c.Worker, c.Held) {
		add(token, r)
	}
	for _, x := range c.Usage {
		add(x.Token, ifLeasedTo(s, c.Worker, x.ID, x.Token, func() result.Result { return report(s, env, x) }))
	}
	for _, x := range c.Ended {
		add(x.Token, ifLeasedTo(s, c.Worker, x.ID, x.Token, func() result.Result { return ended(s, env, x) }))
	}
	return result.Result{Code: result.OK, Work: out}
}

// requestedAction returns the action that a result requests of the worker: to stop the
// job if it has ended or is unknown or the worker does not hold its lease, else the
// action requested for the job.
func requestedAction(r result.Result) string {
	switch r.Code {
	case result.StaleToken, result.JobFinished, result.NotFound:
		return model.AskedStop.String()
	}
	return r.Value
}

// ifLeasedTo calls change if worker w holds the lease with this token, and refuses
// otherwise.
func ifLeasedTo(s *model.State, w model.InstanceID, id model.JobID, token uint64, change func() result.Result) result.Result {
	j, r := checkLease(s, id, token)
	if !r.Code.OK() {
		return r
	}
	if j.Lease.Worker != w {
		return result.New(result.StaleToken, "job %s is leased to instance %s", id, j.Lease.Worker)
	}
	return change()
}

// renewHeld renews the leases of the tokens. It yields only the results that the
// worker needs: refusals and requested actions.
func renewHeld(s *model.State, env model.Envelope, w model.InstanceID, tokens []uint64) iter.Seq2[uint64, result.Result] {
	return func(yield func(uint64, result.Result) bool) {
		if len(tokens) == 0 {
			return
		}
		jobs := map[uint64]model.Job{}
		for _, j := range s.JobIndex.Worker(w) {
			jobs[j.Lease.Token] = j
		}
		for _, token := range tokens {
			j, ok := jobs[token]
			r := result.New(result.StaleToken, "instance %s has no lease with token %d", w, token)
			if ok {
				r = renewLease(s, env, j)
			}
			if (!r.Code.OK() || r.Value != "") && !yield(token, r) {
				return
			}
		}
	}
}

func renewLease(s *model.State, env model.Envelope, j model.Job) result.Result {
	next := j
	next.Lease.ExpiresAt = renewedExpiry(s, env, j)
	store(s, j, next)
	return workerResult(next)
}
