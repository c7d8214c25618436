package command

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingturn.example/node/telemetry"
	"lacewingturn.example/replica/raft"
)

// Metrics of a replica. A nil value counts nothing.
type Metrics struct {
	sync      prometheus.Histogram
	commit    prometheus.Histogram
	logBytes  prometheus.Counter
	leaders   prometheus.Counter
	snapshot  prometheus.Gauge
	logLength prometheus.Gauge
	backlog   prometheus.Gauge
	waiting   prometheus.Gauge
	contact   prometheus.Gauge
}

// NewMetrics registers the metrics of a replica.
func NewMetrics(r prometheus.Registerer) *Metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	m := &Metrics{
		sync:      telemetry.NewSeconds("lacewingturn_replica_sync_seconds", "Time of one write of the log and its sync."),
		commit:    telemetry.NewSeconds("lacewingturn_replica_commit_seconds", "Time from a proposal to its results on this leader."),
		logBytes:  counter("lacewingturn_replica_log_bytes_total", "Bytes of commands written to the log."),
		leaders:   counter("lacewingturn_replica_leader_changes_total", "Leaders that this replica has followed or become."),
		snapshot:  gauge("lacewingturn_replica_snapshot_bytes", "Size of the last snapshot."),
		logLength: gauge("lacewingturn_replica_log_entries", "Entries of the log that are kept."),
		backlog:   gauge("lacewingturn_replica_backlog_entries", "Committed entries that are not applied yet."),
		waiting:   gauge("lacewingturn_replica_proposals_waiting", "Proposals that wait for their results."),
		contact:   gauge("lacewingturn_replica_contact_age_seconds", "Time since the last contact with the leader, or on the leader with a quorum."),
	}
	r.MustRegister(m.sync, m.commit, m.logBytes, m.leaders, m.snapshot, m.logLength, m.backlog, m.waiting, m.contact)
	return m
}

func (m *Metrics) written(took time.Duration, writes []raft.Write) {
	if m == nil {
		return
	}
	m.sync.Observe(took.Seconds())
	for _, w := range writes {
		for _, e := range w.Entries {
			m.logBytes.Add(float64(len(e.Data)))
		}
	}
}

func (m *Metrics) committed(took time.Duration) {
	if m != nil {
		m.commit.Observe(took.Seconds())
	}
}

func (m *Metrics) leaderChanged() {
	if m != nil {
		m.leaders.Inc()
	}
}

func (m *Metrics) encoded(bytes int) {
	if m != nil {
		m.snapshot.Set(float64(bytes))
	}
}

func (m *Metrics) published(now time.Time, st raft.Status, backlog, waiting int) {
	if m == nil {
		return
	}
	m.logLength.Set(float64(st.Last - st.Base))
	m.backlog.Set(float64(backlog))
	m.waiting.Set(float64(waiting))
	if !st.LeaderContact.IsZero() {
		m.contact.Set(now.Sub(st.LeaderContact).Seconds())
	}
}
