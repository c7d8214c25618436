package command

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingturn.example/core/result"
)

// Metrics holds the Prometheus collectors of an entry instance's command half.
type Metrics struct {
	wait     *prometheus.HistogramVec
	inFlight prometheus.Gauge
	slots    *prometheus.GaugeVec
	results  *prometheus.CounterVec
	retries  prometheus.Counter
	claims   *prometheus.CounterVec
	dropped  prometheus.Counter
}

// NewMetrics creates the metrics and registers them. It panics if they are
// already registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lacewingturn_entry_wait_seconds", Help: "Time that requests wait for a slot.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 4, 9),
		}, []string{"service"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{Name: "lacewingturn_entry_requests", Help: "Requests queued or in flight."}),
		slots:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "lacewingturn_entry_slots", Help: "Slots of targets held by this instance."}, []string{"state"}),
		results:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lacewingturn_entry_results_total", Help: "Answers to callers by result code."}, []string{"code"}),
		retries:  prometheus.NewCounter(prometheus.CounterOpts{Name: "lacewingturn_entry_retries_total", Help: "Attempts after the first."}),
		claims:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lacewingturn_entry_claims_total", Help: "Claims by result code."}, []string{"code"}),
		dropped:  prometheus.NewCounter(prometheus.CounterOpts{Name: "lacewingturn_entry_peer_dropped_total", Help: "Peer messages dropped because the mailbox was full."}),
	}
	r.MustRegister(m.wait, m.inFlight, m.slots, m.results, m.retries, m.claims, m.dropped)
	return m
}

func codeLabel(c result.Code) string { return strconv.Itoa(int(c)) }
