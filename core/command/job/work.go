package job

import (
	"iter"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

const (
	// minPace is the shortest time between two reports of a worker without news.
	minPace = 15 * time.Second
	// pacePerWorker bounds the reports of all workers together to 10 a second.
	// Each costs the leader several times its bytes in the log, because it is
	// received, answered and copied to the other replicas; a node may spend 7 KB/s.
	pacePerWorker = 100 * time.Millisecond
	// pacesPerLease lets two reports in a row be lost.
	pacesPerLease = 3
)

// UsageShare is the change of usage that is worth a report: an eighth of what
// was reported last.
const UsageShare = 8

// Pace returns the time between two reports of a worker without news, given
// the number of instances. It grows with them, because every report takes room
// in the log.
func Pace(instances int) time.Duration {
	return max(minPace, time.Duration(instances)*pacePerWorker)
}

// Term returns how long a lease lasts from a report.
func Term(instances int) time.Duration { return max(LeaseTerm, pacesPerLease*Pace(instances)) }

// UsageChanged reports whether the usage differs enough from that reported last
// to be reported again.
func UsageChanged(last, now model.Resources) bool {
	differs := func(a, b int64) bool { return max(a-b, b-a)*UsageShare > a }
	return differs(last.MilliCPU, now.MilliCPU) || differs(last.MemoryMB, now.MemoryMB) || last.Accelerators != now.Accelerators
}

// renewed returns the end of the lease after a report. A report never shortens it.
func renewed(s *model.State, env model.Envelope, j model.Job) model.Timestamp {
	return max(j.Lease.ExpiresAt, env.Time.Add(Term(s.Instances.Len())))
}

// work applies everything that a worker reports. Each part is checked as the
// command of its own would be, and refused parts change nothing.
func work(s *model.State, env model.Envelope, c model.ReportWork) result.Result {
	if !s.Instances.Has(c.Worker) {
		return result.New(result.NotFound, "no instance %q", c.Worker)
	}
	n := s.Instances.Len()
	out := &result.Work{LeaseMs: uint32(Term(n).Milliseconds()), NextMs: uint32(Pace(n).Milliseconds())}
	add := func(token uint64, r result.Result) {
		out.Jobs = append(out.Jobs, result.WorkAnswer{Token: token, Code: r.Code, Asked: asked(r)})
	}
	for _, x := range c.Started {
		add(x.Token, onWorker(s, c.Worker, x.ID, x.Token, func() result.Result { return started(s, env, x) }))
	}
	for token, r := range held(s, env, c.Worker, c.Held) {
		add(token, r)
	}
	for _, x := range c.Usage {
		add(x.Token, onWorker(s, c.Worker, x.ID, x.Token, func() result.Result { return report(s, env, x) }))
	}
	for _, x := range c.Ended {
		add(x.Token, onWorker(s, c.Worker, x.ID, x.Token, func() result.Result { return ended(s, env, x) }))
	}
	return result.Result{Code: result.OK, Work: out}
}

// asked tells the worker to stop a job whose lease it does not hold.
func asked(r result.Result) string {
	switch r.Code {
	case result.StaleToken, result.JobFinished, result.NotFound:
		return model.AskedStop.String()
	}
	return r.Value
}

// onWorker runs the change if the worker holds the job under the token.
func onWorker(s *model.State, w model.InstanceID, id model.JobID, token uint64, change func() result.Result) result.Result {
	j, r := leased(s, id, token)
	if !r.Code.OK() {
		return r
	}
	if j.Lease.Worker != w {
		return result.New(result.StaleToken, "job %s is leased to instance %s", id, j.Lease.Worker)
	}
	return change()
}

// held renews the leases of the tokens and yields those that there is something
// to say about.
func held(s *model.State, env model.Envelope, w model.InstanceID, tokens []uint64) iter.Seq2[uint64, result.Result] {
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
				r = renew(s, env, j)
			}
			if (!r.Code.OK() || r.Value != "") && !yield(token, r) {
				return
			}
		}
	}
}

func renew(s *model.State, env model.Envelope, j model.Job) result.Result {
	next := j
	next.Lease.ExpiresAt = renewed(s, env, j)
	store(s, j, next)
	return wanted(next)
}
