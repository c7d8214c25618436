package telemetry

import "github.com/prometheus/client_golang/prometheus"

// NewSeconds returns a histogram of times from 0.5 ms to 33 s.
func NewSeconds(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.0005, 2, 17)})
}
