package command

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/event"
)

const (
	// maxAccountLabels bounds the accounts that the metric of calls tells apart.
	maxAccountLabels = 100
	// maxWithdrawnKeys bounds the withdrawn keys that are remembered to explain refusals.
	maxWithdrawnKeys = 10_000
)

// Values of the label account that name no account.
const (
	anonymousCaller  = "(none)"
	unknownCaller    = "(unknown key)"
	furtherAccounts  = "(further accounts)"
	withdrawnKeyUsed = "withdrawn-key"
)

// calls observes the calls of callers and the keys of catalogs as they are applied. It tells
// withdrawn keys from others that are unknown, as far as this process has seen them in a
// catalog. It is used only on the control loop.
type calls struct {
	log       *zap.Logger
	counter   *prometheus.CounterVec // nil without metrics
	labels    map[model.AccountName]bool
	withdrawn map[model.KeyDigest]model.AccountName
	reported  map[model.KeyDigest]bool // withdrawn keys whose use was logged
}

func newCalls(log *zap.Logger, m *Metrics) *calls {
	c := &calls{log: log, labels: map[model.AccountName]bool{}, withdrawn: map[model.KeyDigest]model.AccountName{}, reported: map[model.KeyDigest]bool{}}
	if m != nil {
		c.counter = m.calls
	}
	return c
}

// applied observes a command and its result. The catalog before it is nil if there was none.
// Calls are counted only on the replica to which they were proposed; own is set there.
func (c *calls) applied(before, after *model.Catalog, cmd model.Command, res result.Result, own bool) {
	switch cmd := cmd.(type) {
	case model.PublishCatalog:
		if before != after {
			c.keysChanged(before, after, own)
		}
	case model.SubmitWorkload:
		if own {
			c.call(after, cmd.Key, res)
		}
	case model.CancelWorkload:
		if own {
			c.call(after, cmd.Key, res)
		}
	}
}

// keysChanged remembers the keys that a catalog has withdrawn.
func (c *calls) keysChanged(before, after *model.Catalog, own bool) {
	withdrawn, added := 0, 0
	if before != nil {
		for _, k := range before.Keys {
			if _, held := after.AccountOf(&k.Digest); !held {
				withdrawn++
				if len(c.withdrawn) < maxWithdrawnKeys {
					c.withdrawn[k.Digest] = k.Account
				}
			}
		}
	}
	for _, k := range after.Keys {
		if _, held := before.AccountOf(&k.Digest); !held {
			added++
			delete(c.withdrawn, k.Digest)
			delete(c.reported, k.Digest)
		}
	}
	if own && withdrawn+added > 0 {
		event.AccountKeysChanged.Log(c.log, zap.Int64("version", int64(after.Version)), zap.Int("accounts", len(after.Accounts)),
			zap.Int("added", added), zap.Int("withdrawn", withdrawn))
	}
}

// call counts a call and logs the first use of a withdrawn key.
func (c *calls) call(catalog *model.Catalog, key *model.KeyDigest, res result.Result) {
	if catalog == nil || !catalog.RequireKeys {
		return
	}
	account, known := catalog.AccountOf(key)
	outcome := res.Code.String()
	if !known && key != nil {
		former, withdrawn := c.withdrawn[*key]
		if withdrawn && res.Code == result.UnknownKey {
			account, known, outcome = former, true, withdrawnKeyUsed
			if !c.reported[*key] {
				c.reported[*key] = true
				event.WithdrawnKeyUsed.Log(c.log, zap.String("account", string(former)))
			}
		}
	}
	if c.counter != nil {
		c.counter.WithLabelValues(c.label(account, known, key != nil), outcome).Inc()
	}
}

// label returns the value of the label account.
func (c *calls) label(account model.AccountName, known, hasKey bool) string {
	switch {
	case !known && hasKey:
		return unknownCaller
	case !known:
		return anonymousCaller
	case !c.labels[account] && len(c.labels) >= maxAccountLabels:
		return furtherAccounts
	}
	c.labels[account] = true
	return string(account)
}
