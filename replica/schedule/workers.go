package schedule

import (
	"context"
	"slices"
	"time"

	"lacewingturn.example/core/command/throttle"
	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/event"
)

// Report takes a worker's heartbeat and returns the orders for the worker. It waits
// until the ends in the report are committed. It fails with NotLeader if this
// replica does not lead, Expired if a later heartbeat was received, Overloaded if the
// mailbox of the loop is full, and InvalidInput if the report contains a name that must
// not enter the state or its ends cannot be committed.
func (m *Machine) Report(ctx context.Context, r Report) (Orders, error) {
	if res := r.check(); !res.Code.OK() {
		return Orders{}, res
	}
	a, err := m.request(ctx, func(reply chan<- answer) any { return reported{r.withValidCheckpoints().indexed(), reply} })
	return a.orders, err
}

// Depart records that the worker with the name is shutting down; its runs count as
// ended after a grace period. An unknown name is not an error. It fails with
// NotLeader if this replica does not lead and Overloaded if the mailbox of the loop
// is full.
func (m *Machine) Depart(ctx context.Context, name string) error {
	_, err := m.request(ctx, func(reply chan<- answer) any { return departed{name, reply} })
	return err
}

// request posts a message to the loop and waits for its answer.
func (m *Machine) request(ctx context.Context, message func(chan<- answer) any) (answer, error) {
	reply := make(chan answer, 1)
	if !m.port.TrySend(message(reply)) {
		return answer{}, result.New(result.Overloaded, "the mailbox of the control loop is full")
	}
	select {
	case a := <-reply:
		return a, a.err
	case <-ctx.Done():
		return answer{}, ctx.Err()
	}
}

// report handles a heartbeat; see judge.
func (m *Machine) report(now time.Time, msg reported) {
	if m.term == 0 {
		msg.reply <- answer{err: errNotLeader}
		return
	}
	r := msg.report
	switch v := m.judge(now, r); v {
	case unknownPool, disputedIdentity:
		m.answerUnused(msg, v)
		return
	case expired:
		m.refuseExpired(msg)
		return
	case readmitted:
		m.settings.Metrics.readmitted.Inc()
		m.logWorker(event.WorkerReadmitted, r)
	}
	m.restore(r)
	m.checkEndedByOrder(now, r)
	w := m.workers[r.Worker]
	if w == nil {
		m.observeReturn(now, r.Instance)
		w = &worker{leaseUntil: leaseEnd(m.leaderSince, m.lease()), throttle: throttle.NewWorker(), sentThrottle: map[model.RunRef]int{}}
		m.workers[r.Worker] = w
		m.logWorker(event.WorkerAppeared, r)
	}
	if r.Draining && !w.Draining {
		m.logWorker(event.WorkerLeaving, r)
	}
	if w.Sequence == 0 || len(r.Ended) > 0 || len(r.Running) != len(w.Running) {
		m.plannedAt = time.Time{} // causes a planning pass, because the worker may have more free capacity
	}
	suspected := now.Before(w.suspectUntil)
	w.observe(now, r, m.view.State)
	w.trackStops(now, m.stopTime())
	for run := range failedRuns(m.view.State, r) {
		m.avoidAfterFailure(now, m.view.State, run, r.Worker)
	}
	if !suspected && now.Before(w.suspectUntil) {
		m.logWorker(event.WorkerSuspected, r)
	}
	m.settings.Metrics.reports.Inc()
	m.claim(now, w)
	m.pending = append(m.pending, pendingReport{worker: w, report: r, receivedAt: now, reply: msg.reply})
}

// markEnded records that all runs on an incarnation have ended by the given time.
func (m *Machine) markEnded(id model.WorkerID, at time.Time) {
	m.endedAt[id] = at
	m.nextExpiryCheck = compare.Earlier(m.nextExpiryCheck, at)
}

// pruneEnded removes incarnations without assigned runs that have ended or whose lease is
// over. It keeps those that hold a name, an instance or an address.
func (m *Machine) pruneEnded(now time.Time, s model.State) {
	for id, at := range m.endedAt {
		if !s.Assignments.Has(id) && !at.After(now) && !m.isHolder(id) {
			delete(m.endedAt, id)
			delete(m.workers, id)
		}
	}
	for id, w := range m.workers {
		if !m.hasEnded(id) && w.leaseUntil.Before(now) && !s.Assignments.Has(id) && !m.isHolder(id) {
			delete(m.workers, id)
		}
	}
	m.refusals.prune(now)
}

// isHolder reports whether the incarnation holds a name, an instance or an address.
func (m *Machine) isHolder(id model.WorkerID) bool {
	w := m.workers[id]
	return w != nil && slices.Contains(m.sameIdentity(w.Report), w)
}

// departGrace is how long the runs of a worker may go on after it announced its
// shutdown.
const departGrace = time.Second

// depart handles the announcement that a worker has shut down. It names no incarnation, and
// one that was delayed may arrive after the worker has started again under its name. Only
// an incarnation that has announced that it drains counts as ended; any other gets no work
// until its next report or the end of its lease shows whether it is there.
func (m *Machine) depart(now time.Time, msg departed) {
	if m.term == 0 {
		msg.reply <- answer{err: errNotLeader}
		return
	}
	if w := m.byName[msg.name]; w != nil {
		if _, known := m.endedAt[w.Worker]; !known && w.Draining {
			m.markEnded(w.Worker, now.Add(departGrace))
			m.logWorker(event.WorkerLeft, w.Report)
		}
		w.backoffUntil = compare.Later(w.backoffUntil, now.Add(m.maxReportAge()))
	}
	msg.reply <- answer{}
}

// avoidPeriod is how long a task is not placed on a worker on which it failed or
// stalled.
const avoidPeriod = 2 * time.Second

// avoided holds the workers on which tasks failed or stalled, and when.
type avoided map[model.TaskRef]map[model.WorkerID]time.Time

func (a avoided) add(now time.Time, t model.TaskRef, w model.WorkerID) {
	if a[t] == nil {
		a[t] = map[model.WorkerID]time.Time{}
	}
	a[t][w] = now
}

// has reports whether the task should not run on the worker now. With an empty
// worker ID it reports whether there is any such worker.
func (a avoided) has(now time.Time, t model.TaskRef, w model.WorkerID) bool {
	for other, at := range a[t] {
		if now.Sub(at) < avoidPeriod && (w == "" || other == w) {
			return true
		}
	}
	return false
}

// prune removes entries older than avoidPeriod.
func (a avoided) prune(now time.Time) {
	for t, workers := range a {
		for w, at := range workers {
			if now.Sub(at) >= avoidPeriod {
				delete(workers, w)
			}
		}
		if len(workers) == 0 {
			delete(a, t)
		}
	}
}
