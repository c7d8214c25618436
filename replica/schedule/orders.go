package schedule

import (
	"time"

	"lacewingturn.example/core/command/pace"
	"lacewingturn.example/core/command/throttle"
	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
)

const (
	// lease is how long runs go on without an answer from the leader. It is longer
	// than the election of another leader takes. A new leader waits this long for
	// leases of earlier leaders, so a release may shorten it only if it waits for
	// the leases of the previous release.
	lease = 3500 * time.Millisecond
	// idleInterval and busyInterval are the times between two reports of a worker
	// with and without free capacity, unless the fleet is large; see reportInterval. The
	// end of a run is reported at once.
	idleInterval = 200 * time.Millisecond
	busyInterval = 500 * time.Millisecond
	// maxStartBytes is the size of the start orders in one answer above which it gets no more. A
	// worker takes an answer of 4 MiB at most, and texts grow up to six times as JSON. The next
	// answers have the others, once the worker lists the first.
	maxStartBytes = 512 << 10
	// moreEndsInterval is the time between two reports of a worker with ends that it has not
	// listed, or that were not taken.
	moreEndsInterval = 50 * time.Millisecond
	// reportSlack is how much later than expected a report may arrive until its worker
	// counts as silent.
	reportSlack = 200 * time.Millisecond
)

// reportInterval returns the time between two reports of a worker, which is base in a small
// fleet.
func (m *Machine) reportInterval(base time.Duration) time.Duration {
	return pace.Interval(m.fleetSize(), base)
}

// fleetSize returns the number of instances whose workers have reported, as far as this leader
// knows. Incarnations do not count: each move of an instance makes a new one. After an election
// workers with assigned runs are known before they report.
func (m *Machine) fleetSize() int { return max(len(m.byInstance), m.view.State.Assignments.Len()) }

// maxReportAge is how long after its last report a worker is given work.
func (m *Machine) maxReportAge() time.Duration { return m.reportInterval(busyInterval) + reportSlack }

// lease returns the duration of the leases that every leader of the site grants.
func (m *Machine) lease() time.Duration { return min(lease, m.settings.MaxLease) }

// answerAll answers the reports from the committed state.
func (m *Machine) answerAll(now time.Time, list []pendingReport) {
	for _, p := range list {
		m.settings.Metrics.reportWait.Observe(now.Sub(p.receivedAt).Seconds())
		p.reply <- answer{orders: m.orders(now, p)}
	}
	m.settings.Metrics.workers.Set(float64(len(m.workers)))
	m.settings.Metrics.activeWorkloads.Set(float64(m.view.State.Workloads.Len()))
	m.settings.Metrics.pendingReports.Set(float64(len(m.pending)))
}

// orders returns the orders that follow from the runs that a worker reported and those
// assigned to it, and extends its lease. An incarnation that has ended or was replaced
// gets no lease.
func (m *Machine) orders(now time.Time, p pendingReport) Orders {
	o := Orders{Lease: m.lease(), FencingToken: m.term, AckCursor: p.ackCursor, NextReport: m.reportInterval(busyInterval)}
	if m.hasEnded(p.report.Worker) || m.workers[p.report.Worker] != p.worker {
		return Orders{FencingToken: m.term, AckCursor: o.AckCursor, NextReport: m.reportInterval(busyInterval)}
	}
	state, startBytes := m.view.State, 0
	a, _ := state.Assignments.Get(p.report.Worker)
	for _, run := range p.report.Running {
		if !a.Runs.Has(run.Run) {
			o.Stop = append(o.Stop, run.Run)
		}
	}
	for run := range a.Runs.All() {
		listed := p.report.lists(run)
		if !listed && gangRunEnded(state, run) {
			m.stopping[run] = true // the gang has ended before this member started
		}
		switch {
		case m.stopping[run]:
			o.Stop = append(o.Stop, run)
		case listed:
		case p.report.MoreEnds: // it may have ended; the next reports list its end
		case p.worker.mayRun(now, run, m.lease()):
		case p.worker.ignores(now, run) && !m.mayBeInherited(now, p.report.Worker, run):
			m.abandonStart(now, p.worker, run)
			o.Stop = append(o.Stop, run)
		case m.withholds(now, state, run, p.report.Worker):
		case startBytes < maxStartBytes:
			start := m.startOrder(now, state, run, p.report.Worker)
			startBytes += start.size()
			o.Start = append(o.Start, start)
		}
	}
	if !p.report.MoreEnds {
		p.worker.recordOrdered(now, o.Start)
	}
	o.Throttle = p.worker.throttleOrders(now, state)
	switch free := p.worker.free(state); {
	case p.report.MoreEnds || p.ackCursor < lastPosition(p.report):
		o.NextReport = moreEndsInterval
	case free.MilliCPU >= p.worker.Capacity.MilliCPU/8:
		o.NextReport = m.reportInterval(idleInterval)
	}
	p.worker.leaseUntil = compare.Later(p.worker.leaseUntil, leaseEnd(now, o.Lease))
	return o
}

// gangRunEnded reports whether another member of the run's gang has ended the run.
func gangRunEnded(s model.State, run model.RunRef) bool {
	w, ok := s.Workloads.Get(run.Task.Workload)
	return ok && w.GangRunEnded(run)
}

func (m *Machine) startOrder(now time.Time, s model.State, run model.RunRef, id model.WorkerID) StartOrder {
	w, _ := s.Workloads.Get(run.Task.Workload)
	ticket, _ := m.advice.answers.Ticket(now, run.Task.StepRef(), id)
	return StartOrder{Run: run, Payload: w.Payload, Checkpoint: w.ResumeFrom(run.Task), Ticket: ticket}
}

// throttleOrders derives the speed of the fillers on the worker from the response times
// of its serving tasks, and returns an order for each filler whose speed changes.
func (w *worker) throttleOrders(now time.Time, s model.State) []ThrottleOrder {
	var serving []throttle.Serving
	var fillers []model.RunRef
	for _, r := range w.Running {
		workload, ok := s.Workloads.Get(r.Run.Task.Workload)
		if !ok || !workload.Has(r.Run.Task) {
			continue
		}
		step := workload.Steps[r.Run.Task.Step]
		if step.Filler {
			fillers = append(fillers, r.Run)
		} else if step.TailTarget > 0 {
			serving = append(serving, throttle.Serving{TailLatency: time.Duration(r.Usage) * time.Millisecond, Target: step.TailTarget})
		}
	}
	w.throttle = w.throttle.Update(now, serving)
	sent := map[model.RunRef]int{}
	var out []ThrottleOrder
	for _, run := range fillers {
		before, ok := w.sentThrottle[run]
		if !ok {
			before = throttle.FullPercent
		}
		if before != w.throttle.Percent {
			out = append(out, ThrottleOrder{run, w.throttle.Percent})
		}
		sent[run] = w.throttle.Percent
	}
	w.sentThrottle = sent
	return out
}
