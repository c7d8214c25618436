package command

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// Guards against metrics that stay at zero although the replica commits commands
// and saves snapshots.
func TestReplicaMetrics(t *testing.T) {
	settings := siteSettings(t, 1)[0]
	registry := prometheus.NewRegistry()
	settings.Metrics = NewMetrics(registry)
	settings.SnapshotEvery = 10
	site := []*instance{start(t, settings)}
	commit(t, site, 0, 100)
	eventually(t, site[0].Replica, "a snapshot", func() bool {
		commit(t, site, 100, 10)
		return value(t, registry, "lacewingturn_replica_snapshot_bytes") > 0
	})
	for _, name := range []string{"sync_seconds", "commit_seconds", "log_bytes_total", "leader_changes_total", "log_entries"} {
		assert.Assert(t, value(t, registry, "lacewingturn_replica_"+name) > 0, "%s", name)
	}
}

// value returns the value of a gauge or counter, or the sample count of a histogram.
func value(t *testing.T, r *prometheus.Registry, name string) float64 {
	families, err := r.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if f.GetName() == name {
			m := f.GetMetric()[0]
			return m.GetGauge().GetValue() + m.GetCounter().GetValue() + float64(m.GetHistogram().GetSampleCount())
		}
	}
	t.Fatalf("metric %s is not registered", name)
	return 0
}
