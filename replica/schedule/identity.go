package schedule

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/node/event"
	"lacewingturn.example/node/telemetry"
)

// Which message may end, replace or speak for an incarnation of a worker:
//
//   - A report whose pool is not in the catalog has no effect on another incarnation; its
//     sender gets no lease and no work.
//   - A report with the same name and a later start replaces the incarnation at once: a
//     worker that has started again under its name holds nothing of before.
//   - A report with another name, the same instance or address and a later start replaces an
//     incarnation with assigned runs only once that has ended or is silent for
//     maxReportAge. Until then the incarnation holds, and the sender waits.
//   - A report with an earlier start is refused as expired.
//   - A departure ends the incarnation that has announced that it drains.
//   - An order for the instance that the platform has confirmed ends it; see
//     MarkWorkerEnded.

// Reasons why a heartbeat is not used.
const (
	unknownPool      = "unknown pool"
	disputedIdentity = "disputed identity"
)

// speaksForWorker reports whether an incarnation that this leader does not know may get a
// lease: its pool is in the catalog, or runs are assigned to it, which end as usual if
// operators remove the pool meanwhile. Before the first catalog nothing runs.
func (m *Machine) speaksForWorker(r Report) bool {
	state := m.view.State
	_, known := state.Catalog.Pool(r.Pool)
	return known || state.Catalog == nil || state.Assignments.Has(r.Worker)
}

// disputed reports whether a worker with another name, which has reported recently and has
// assigned runs, has the instance or the address of the report. Its runs go on, so that
// they must not be started elsewhere because of a report that somebody else sent.
func (m *Machine) disputed(now time.Time, r Report) bool {
	return slices.ContainsFunc(m.sameIdentity(r), func(other *worker) bool {
		return other != nil && other.Name != r.Name && !m.hasEnded(other.Worker) &&
			now.Sub(other.reportedAt) <= maxReportAge && m.view.State.Assignments.Has(other.Worker)
	})
}

// answerUnused acknowledges a heartbeat without a lease.
func (m *Machine) answerUnused(msg reported, reason string) {
	r := msg.report
	m.settings.Metrics.unused.WithLabelValues(reason).Inc()
	event.HeartbeatUnused.Log(m.settings.Logger, zap.String(telemetry.SamplingKey, r.Name), zap.String("worker", string(r.Worker)), zap.String("reason", reason),
		zap.String("pool", string(r.Pool)), zap.String("id", string(r.Instance)), zap.String("address", r.Address))
	msg.reply <- answer{orders: Orders{FencingToken: m.term, AckCursor: lastPosition(r), NextReport: busyInterval}}
}

// lastPosition returns the position of the last end in the report.
func lastPosition(r Report) int64 {
	last := int64(0)
	for _, end := range r.Ended {
		last = max(last, end.Position)
	}
	return last
}
