package telemetry

import "github.com/prometheus/client_golang/prometheus"

// NewDurationHistogram returns a histogram of durations in seconds, with exponential
// buckets from 0.5 ms to 33 s. It is not registered.
func NewDurationHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.0005, 2, 17)})
}
