package schedule

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/node/event"
)

// capLogInterval is the shortest time between two log lines about the cap of one account.
const capLogInterval = 30 * time.Second

// accountMetrics holds the gauges of client accounts. Their labels are the names in the
// catalog.
type accountMetrics struct {
	running    *prometheus.GaugeVec
	share      *prometheus.GaugeVec
	waiting    *prometheus.GaugeVec
	held       *prometheus.GaugeVec
	oldestWait *prometheus.GaugeVec
}

func newAccountMetrics(r prometheus.Registerer) accountMetrics {
	gauge := func(name, help string) *prometheus.GaugeVec {
		g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"account"})
		r.MustRegister(g)
		return g
	}
	return accountMetrics{
		running:    gauge("lacewingturn_account_running_millicpu", "Processor time that the account has running, in thousandths of a processor."),
		share:      gauge("lacewingturn_account_share_ratio", "Largest share of the account in all that runs, for any kind of resource, divided by its part of all weights."),
		waiting:    gauge("lacewingturn_account_waiting", "Workloads of the account with a task that waits for a run."),
		held:       gauge("lacewingturn_account_held_by_cap", "Waiting workloads of the account that its cap holds back."),
		oldestWait: gauge("lacewingturn_account_oldest_wait_seconds", "Longest wait of a workload of the account of which nothing has started."),
	}
}

// reset removes the values of all accounts.
func (a accountMetrics) reset() {
	for _, g := range []*prometheus.GaugeVec{a.running, a.share, a.waiting, a.held, a.oldestWait} {
		g.Reset()
	}
}

func (a accountMetrics) set(v query.AccountShare) {
	name := string(v.Name)
	a.running.WithLabelValues(name).Set(float64(v.Running.MilliCPU))
	a.share.WithLabelValues(name).Set(v.Share / v.FairShare)
	a.waiting.WithLabelValues(name).Set(float64(v.Waiting))
	a.held.WithLabelValues(name).Set(float64(v.HeldByCap))
	a.oldestWait.WithLabelValues(name).Set(v.OldestWait.Seconds())
}

// observeAccounts sets the metrics of the accounts and logs the caps that hold work back.
func (m *Machine) observeAccounts(now time.Time, s model.State) {
	m.settings.Metrics.accounts.reset()
	for _, v := range query.AccountShares(s, max(model.TimestampOf(now), s.Clock), m.unassignedNeeds(now, s)) {
		m.settings.Metrics.accounts.set(v)
		if v.HeldByCap == 0 || now.Sub(m.capLoggedAt[v.Name]) < capLogInterval {
			continue
		}
		m.capLoggedAt[v.Name] = now
		event.CapHoldsWork.Log(m.settings.Logger, zap.String("account", string(v.Name)), zap.Int("held", v.HeldByCap),
			zap.String("running", query.Capacity(v.Running)), zap.String("cap", query.Capacity(v.Cap)), zap.Duration("oldest_wait", v.OldestWait))
	}
}
