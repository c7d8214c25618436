package command

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingturn.example/node/telemetry"
	"lacewingturn.example/replica/raft"
)

// Metrics holds the Prometheus metrics of a replica. Its methods do nothing on a nil receiver.
type Metrics struct {
	sync          prometheus.Histogram
	commit        prometheus.Histogram
	logBytes      prometheus.Counter
	leaderChanges prometheus.Counter
	snapshot      prometheus.Gauge
	logLength     prometheus.Gauge
	backlog       prometheus.Gauge
	pending       prometheus.Gauge
	contactAge    prometheus.Gauge
	stored        prometheus.Gauge
	budget        prometheus.Gauge
	calls         *prometheus.CounterVec
}

// NewMetrics creates the metrics of a replica and registers them. It panics if
// they are registered already, as prometheus.Registerer.MustRegister does.
func NewMetrics(r prometheus.Registerer) *Metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	m := &Metrics{
		sync:          telemetry.NewDurationHistogram("lacewingturn_replica_sync_seconds", "Time of one write of the log and its sync."),
		commit:        telemetry.NewDurationHistogram("lacewingturn_replica_commit_seconds", "Time from a proposal to its results on this leader."),
		logBytes:      counter("lacewingturn_replica_log_bytes_total", "Bytes of commands written to the log."),
		leaderChanges: counter("lacewingturn_replica_leader_changes_total", "Leaders that this replica has followed or become."),
		snapshot:      gauge("lacewingturn_replica_snapshot_bytes", "Size of the last snapshot."),
		logLength:     gauge("lacewingturn_replica_log_entries", "Entries of the log that are kept."),
		backlog:       gauge("lacewingturn_replica_backlog_entries", "Committed entries that are not applied yet."),
		pending:       gauge("lacewingturn_replica_proposals_waiting", "Proposals that wait for their results."),
		contactAge:    gauge("lacewingturn_replica_contact_age_seconds", "Time since the last contact with the leader, or on the leader with a quorum."),
		stored:        gauge("lacewingturn_workloads_stored_bytes", "Memory that workloads take, active and ended, as the budget counts it."),
		budget:        gauge("lacewingturn_workloads_budget_bytes", "Memory that workloads may take while this replica leads; 0 is no limit."),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingturn_account_calls_total", Help: "Submissions and cancellations that this leader has judged, by client account and result.",
		}, []string{"account", "result"}),
	}
	r.MustRegister(m.sync, m.commit, m.logBytes, m.leaderChanges, m.snapshot, m.logLength, m.backlog, m.pending, m.contactAge, m.stored, m.budget, m.calls)
	return m
}

func (m *Metrics) observeWrite(elapsed time.Duration, writes []raft.Write) {
	if m == nil {
		return
	}
	m.sync.Observe(elapsed.Seconds())
	for _, w := range writes {
		for _, e := range w.Entries {
			m.logBytes.Add(float64(len(e.Data)))
		}
	}
}

func (m *Metrics) observeCommit(elapsed time.Duration) {
	if m != nil {
		m.commit.Observe(elapsed.Seconds())
	}
}

func (m *Metrics) leaderChanged() {
	if m != nil {
		m.leaderChanges.Inc()
	}
}

func (m *Metrics) setSnapshotSize(bytes int) {
	if m != nil {
		m.snapshot.Set(float64(bytes))
	}
}

func (m *Metrics) observeStored(stored, budget int64) {
	if m != nil {
		m.stored.Set(float64(stored))
		m.budget.Set(float64(budget))
	}
}

func (m *Metrics) observeView(now time.Time, st raft.Status, backlog, pending int) {
	if m == nil {
		return
	}
	m.logLength.Set(float64(st.Last - st.Base))
	m.backlog.Set(float64(backlog))
	m.pending.Set(float64(pending))
	if !st.LeaderContact.IsZero() {
		m.contactAge.Set(now.Sub(st.LeaderContact).Seconds())
	}
}
