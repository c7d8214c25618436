package schedule

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/telemetry"
)

// Metrics holds the metrics of the scheduler. A scheduling cycle is called a turn in
// their names.
type Metrics struct {
	reports         prometheus.Counter
	unused          *prometheus.CounterVec
	readmitted      prometheus.Counter
	started         prometheus.Counter
	ended           *prometheus.CounterVec
	refused         *prometheus.CounterVec
	finished        *prometheus.CounterVec
	workloadWait    prometheus.Histogram
	duration        *prometheus.HistogramVec
	lateness        prometheus.Histogram
	commitTime      prometheus.Histogram
	reportWait      prometheus.Histogram
	workers         prometheus.Gauge
	activeWorkloads prometheus.Gauge
	pendingReports  prometheus.Gauge
	accounts        accountMetrics
	nearWaits       prometheus.Counter
	nearWaited      prometheus.Histogram
	nearSaved       prometheus.Counter
	nearTasks       *prometheus.CounterVec
	adviceCalls     *prometheus.CounterVec
}

// NewMetrics creates and registers the metrics. It panics if they are already
// registered.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		reports:      prometheus.NewCounter(prometheus.CounterOpts{Name: "lacewingturn_worker_reports_total", Help: "Heartbeats of workers taken."}),
		unused:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lacewingturn_worker_reports_unused_total", Help: "Heartbeats that speak for no worker that may get work, by reason."}, []string{"reason"}),
		readmitted:   prometheus.NewCounter(prometheus.CounterOpts{Name: "lacewingturn_workers_readmitted_total", Help: "Workers that are used again because they went on reporting after another sender had taken their place."}),
		started:      prometheus.NewCounter(prometheus.CounterOpts{Name: "lacewingturn_runs_started_total", Help: "Runs started."}),
		ended:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lacewingturn_runs_ended_total", Help: "Runs ended by outcome and cause."}, []string{"outcome", "cause"}),
		refused:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lacewingturn_progress_refused_total", Help: "Ends and starts of runs that were dropped because their command is invalid."}, []string{"what"}),
		finished:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lacewingturn_workloads_finished_total", Help: "Workloads by final phase."}, []string{"phase"}),
		workloadWait: telemetry.NewDurationHistogram("lacewingturn_workload_wait_seconds", "Time from acceptance to the first start."),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lacewingturn_workload_seconds", Help: "Time from acceptance to completion.", Buckets: prometheus.ExponentialBuckets(0.1, 2, 10),
		}, []string{"queue"}),
		lateness:        telemetry.NewDurationHistogram("lacewingturn_workload_late_seconds", "Time by which completed workloads missed their deadline; 0 if they did not."),
		commitTime:      telemetry.NewDurationHistogram("lacewingturn_turn_commit_seconds", "Time to commit the ends and starts of a planning turn."),
		reportWait:      telemetry.NewDurationHistogram("lacewingturn_report_wait_seconds", "Time from a heartbeat to its answer."),
		workers:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "lacewingturn_workers", Help: "Incarnations of workers that the leader knows."}),
		activeWorkloads: prometheus.NewGauge(prometheus.GaugeOpts{Name: "lacewingturn_workloads_active", Help: "Workloads not in a final phase."}),
		pendingReports:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "lacewingturn_reports_waiting", Help: "Heartbeats that wait for a planning turn."}),
		nearWaits:       prometheus.NewCounter(prometheus.CounterOpts{Name: "lacewingturn_near_waits_total", Help: "Steps that began to wait for places near their data or in one rack."}),
		nearWaited:      telemetry.NewDurationHistogram("lacewingturn_near_wait_seconds", "Time that steps waited for places near their data or in one rack."),
		nearSaved:       prometheus.NewCounter(prometheus.CounterOpts{Name: "lacewingturn_near_saved_seconds_total", Help: "Run time that tasks saved because they waited for a near place."}),
		nearTasks:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lacewingturn_near_wait_tasks_total", Help: "Tasks that started after a wait for a near place, by where they started."}, []string{"place"}),
		adviceCalls:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lacewingturn_advice_calls_total", Help: "Calls to the policy service, by purpose (start: a worker had free capacity for the step; prefetch: none had) and by outcome."}, []string{"purpose", "outcome"}),
	}
	m.accounts = newAccountMetrics(r)
	r.MustRegister(m.adviceCalls, m.nearWaits, m.nearWaited, m.nearSaved, m.nearTasks, m.reports, m.unused, m.readmitted, m.started, m.ended, m.refused, m.finished, m.workloadWait, m.duration, m.lateness, m.commitTime, m.reportWait, m.workers, m.activeWorkloads, m.pendingReports)
	return m
}

// countAdvice counts a call to the policy service.
func (m *Metrics) countAdvice(prefetch bool, err error) {
	purpose, outcome := "start", "answered"
	if prefetch {
		purpose = "prefetch"
	}
	if err != nil {
		outcome = "failed"
	}
	m.adviceCalls.WithLabelValues(purpose, outcome).Inc()
}

// observeCycle records a committed scheduling cycle and how long its commit took.
func (m *Metrics) observeCycle(took time.Duration, p model.RecordProgress) {
	m.commitTime.Observe(took.Seconds())
	m.started.Add(float64(len(p.Starts)))
}
