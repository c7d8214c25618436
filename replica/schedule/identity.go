package schedule

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/telemetry"
)

// Which message may end, replace or speak for an incarnation of a worker:
//
//   - A report whose pool is not in the catalog has no effect on another incarnation; its
//     sender gets no lease and no work.
//   - A report with a later start and the same name, instance or address replaces an
//     incarnation without assigned runs, or one that is silent for maxReportAge, at once.
//   - An incarnation with assigned runs that is not silent holds: its runs go on. A later
//     start under its name is used beside it, because a worker that has started again holds
//     nothing of before; a later start under another name waits.
//   - A report of a known incarnation that names another pool, instance or address than
//     before is not used unless the incarnation is silent: these stay the same for its life.
//   - A report with an earlier start than the holder of its name, instance or address, or
//     with an old sequence, is refused as expired. A sender that goes on reporting all the
//     same for readmitAfter is used again: a late heartbeat comes once, a live worker goes on.
//   - A departure ends the incarnation that has announced that it drains.
//   - An order for the instance that the platform has confirmed ends it; see
//     MarkWorkerEnded. If it goes on reporting for readmitAfter after that, it is used again.
//
// docs/decisions/identity-room-time.md says what the protocol cannot tell apart.

// verdict is what the leader does with a heartbeat.
type verdict int

const (
	used verdict = iota
	// readmitted is a heartbeat that is used although an incarnation with a later start or
	// a heartbeat with a higher sequence has taken its sender's place.
	readmitted
	expired
	unknownPool
	disputedIdentity
)

// String returns the reason that logs and metrics give for a heartbeat that is not used.
func (v verdict) String() string {
	switch v {
	case unknownPool:
		return "unknown pool"
	case disputedIdentity:
		return "disputed identity"
	case expired:
		return "expired"
	case readmitted:
		return "readmitted"
	}
	return "used"
}

// judge decides what to do with a heartbeat.
func (m *Machine) judge(now time.Time, r Report) verdict {
	w := m.workers[r.Worker]
	switch {
	case w == nil && !m.speaksForWorker(r):
		return unknownPool
	case w != nil && m.reporting(now, w) && !sameSender(w.Report, r):
		return disputedIdentity
	case !m.superseded(r) && (w == nil || r.Sequence > w.Sequence):
		if w == nil && m.disputed(now, r) {
			return disputedIdentity
		}
		return used
	case m.refusals.add(now, r.Worker, r.Sequence):
		return readmitted
	}
	if w != nil {
		w.heardAt = now
	}
	return expired
}

// speaksForWorker reports whether an incarnation that this leader does not know may get a
// lease: its pool is in the catalog, or runs are assigned to it, which end as usual if
// operators remove the pool meanwhile. Before the first catalog nothing runs.
func (m *Machine) speaksForWorker(r Report) bool {
	state := m.view.State
	_, known := state.Catalog.Pool(r.Pool)
	return known || state.Catalog == nil || state.Assignments.Has(r.Worker)
}

// sameSender reports whether two reports of an incarnation agree in what stays the same for
// its life.
func sameSender(a, b Report) bool {
	return a.Pool == b.Pool && a.Instance == b.Instance && a.Address == b.Address
}

// superseded reports whether a later incarnation holds the worker's name, instance or
// address. An incarnation that is in use beside the holder is not superseded.
func (m *Machine) superseded(r Report) bool {
	inUse := m.workers[r.Worker] != nil && !m.hasEnded(r.Worker)
	return !inUse && m.laterHolder(r) != nil
}

// laterHolder returns a holder of the name, the instance or the address of the report that
// has started later; nil if there is none.
func (m *Machine) laterHolder(r Report) *worker {
	for _, other := range m.sameIdentity(r) {
		if other != nil && other.Worker != r.Worker && other.StartedAt > r.StartedAt {
			return other
		}
	}
	return nil
}

// disputed reports whether a worker with another name that is at work has the instance or
// the address of the report. Its runs go on, so that they must not be started elsewhere
// because of a report that somebody else sent.
func (m *Machine) disputed(now time.Time, r Report) bool {
	return slices.ContainsFunc(m.sameIdentity(r), func(other *worker) bool {
		return other != nil && other.Name != r.Name && m.atWork(now, other)
	})
}

// atWork reports whether the worker has assigned runs and is not silent.
func (m *Machine) atWork(now time.Time, w *worker) bool {
	return m.reporting(now, w) && m.view.State.Assignments.Has(w.Worker)
}

// reporting reports whether the worker has not ended and is not silent for maxReportAge. A
// heartbeat that was refused shows too that its sender goes on.
func (m *Machine) reporting(now time.Time, w *worker) bool {
	return !m.hasEnded(w.Worker) && now.Sub(compare.Later(w.reportedAt, w.heardAt)) <= m.maxReportAge()
}

// sameIdentity returns the holders of the name, the instance and the address of the report;
// nil where there is none.
func (m *Machine) sameIdentity(r Report) []*worker {
	return []*worker{m.byName[r.Name], m.byInstance[r.Instance], m.byAddress[r.Address]}
}

// claim makes the worker the holder of its name, instance and address. Holders that it
// replaces count as ended; those that keep their place against it stay in use beside it.
func (m *Machine) claim(now time.Time, w *worker) {
	for _, other := range m.sameIdentity(w.Report) {
		if other != nil && other != w && !m.hasEnded(other.Worker) && !m.holdsAgainst(now, other, w) {
			other.replaced = true
			m.markEnded(other.Worker, now)
			m.logWorker(event.WorkerReplaced, other.Report)
		}
	}
	free := func(holder *worker) bool { return holder == nil || m.hasEnded(holder.Worker) }
	if free(m.byName[w.Name]) {
		m.byName[w.Name] = w
	}
	if free(m.byAddress[w.Address]) {
		m.byAddress[w.Address] = w
	}
	if w.Instance != "" && free(m.byInstance[w.Instance]) {
		m.byInstance[w.Instance] = w
	}
}

// holdsAgainst reports whether the holder keeps its place against another incarnation: it
// is not silent, and it is at work or has the later start.
func (m *Machine) holdsAgainst(now time.Time, holder, other *worker) bool {
	return m.reporting(now, holder) && (holder.StartedAt > other.StartedAt || m.atWork(now, holder))
}

// restore puts the sender of a heartbeat that is used back in use if it was replaced.
func (m *Machine) restore(r Report) {
	if w := m.workers[r.Worker]; w != nil && w.replaced {
		w.replaced = false
		delete(m.endedAt, r.Worker)
	}
}

// checkEndedByOrder puts an incarnation that an order has ended back in use if it goes on
// reporting, unless a later one has taken its place: it has not been ended. Until then its
// heartbeats are answered without a lease. The heartbeats of any other incarnation that is in use
// need no further proof.
func (m *Machine) checkEndedByOrder(now time.Time, r Report) {
	w := m.workers[r.Worker]
	if w == nil || !w.endedByOrder {
		delete(m.refusals, r.Worker)
		return
	}
	if m.laterHolder(r) != nil || !m.refusals.add(now, r.Worker, r.Sequence) {
		return
	}
	w.endedByOrder = false
	delete(m.endedAt, r.Worker)
	m.settings.Metrics.readmitted.Inc()
	m.logWorker(event.WorkerReadmitted, r)
}

// answerUnused acknowledges a heartbeat without a lease.
func (m *Machine) answerUnused(msg reported, reason verdict) {
	r := msg.report
	m.settings.Metrics.unused.WithLabelValues(reason.String()).Inc()
	event.HeartbeatUnused.Log(m.settings.Logger, zap.String(telemetry.SamplingKey, r.Name), zap.String("worker", string(r.Worker)), zap.Stringer("reason", reason),
		zap.String("pool", string(r.Pool)), zap.String("id", string(r.Instance)), zap.String("address", r.Address))
	msg.reply <- answer{orders: Orders{FencingToken: m.term, AckCursor: lastPosition(r), NextReport: m.reportInterval(busyInterval)}}
}

// refuseExpired refuses a heartbeat whose sender's place another one has taken. Late
// heartbeats of a worker that goes on are frequent, so that only the place of another
// incarnation is logged.
func (m *Machine) refuseExpired(msg reported) {
	r := msg.report
	m.settings.Metrics.unused.WithLabelValues(expired.String()).Inc()
	if holder := m.laterHolder(r); holder != nil {
		event.HeartbeatExpired.Log(m.settings.Logger, zap.String(telemetry.SamplingKey, r.Name), zap.String("worker", string(r.Worker)), zap.Int64("sequence", r.Sequence),
			zap.String("id", string(r.Instance)), zap.String("address", r.Address), zap.String("holder", string(holder.Worker)))
	}
	msg.reply <- answer{err: result.New(result.Expired, "heartbeat of %s refused: the same or a later heartbeat with its name, instance or address was received before", r.Name)}
}

// lastPosition returns the position of the last end in the report.
func lastPosition(r Report) int64 {
	last := int64(0)
	for _, end := range r.Ended {
		last = max(last, end.Position)
	}
	return last
}
