package command

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/node/event"
)

// callSite applies commands as a leader does and observes them.
type callSite struct {
	t     *testing.T
	state model.State
	calls *calls
	logs  *observer.ObservedLogs
	m     *Metrics
}

func newCallSite(t *testing.T) *callSite {
	core, logs := observer.New(zapcore.InfoLevel)
	m := NewMetrics(prometheus.NewRegistry())
	return &callSite{t: t, calls: newCalls(zap.New(core), m), logs: logs, m: m}
}

func (s *callSite) apply(c model.Command) {
	before := s.state.Catalog
	next, res := command.Apply(s.state, s.state.Index+1, 1, model.Envelope{Command: c, Time: 1000})
	s.state = next
	s.calls.applied(before, next.Catalog, c, res, true)
}

func (s *callSite) publish(version model.CatalogVersion, keys ...model.AccountKey) {
	c := model.Catalog{
		Version: version, RequireKeys: true, Pools: []model.WorkerPool{{Name: "p"}}, Queues: []model.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p"}}, Keys: keys,
	}
	for _, k := range keys {
		c.Accounts = append(c.Accounts, model.ClientAccount{Name: k.Account, Weight: 1})
	}
	s.apply(model.PublishCatalog{Catalog: c})
}

func (s *callSite) submit(n int, key *model.KeyDigest) {
	s.apply(model.SubmitWorkload{Host: "h", Path: fmt.Sprintf("/%016x", n), Key: key, Workload: model.Workload{Steps: []model.Step{{Count: 1}}}})
}

func (s *callSite) count(account, outcome string) int {
	return int(testutil.ToFloat64(s.m.calls.WithLabelValues(account, outcome)))
}

// Guards against the walk "A caller gets 401" of docs/OPERATIONS.md that leads nowhere: the
// log tells that keys were withdrawn and whose withdrawn key is in use, the metric tells it
// from a key that was never known, and the explanation says how many keys hold.
func TestRefusedKeyCanBeExplained(t *testing.T) {
	a, b, unknown := model.KeyDigest{1}, model.KeyDigest{2}, model.KeyDigest{3}
	s := newCallSite(t)
	s.publish(1, model.AccountKey{Digest: a, Account: "a"}, model.AccountKey{Digest: b, Account: "b"})
	s.submit(1, &a)
	s.publish(2, model.AccountKey{Digest: b, Account: "b"})
	for n := range 3 {
		s.submit(2+n, &a)
	}
	s.submit(5, &unknown)
	s.submit(6, nil)
	s.submit(1, &b)
	changes := s.logs.FilterMessage(event.AccountKeysChanged.Name).All()
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, changes[1].ContextMap()["withdrawn"], int64(1))
	used := s.logs.FilterMessage(event.WithdrawnKeyUsed.Name).All()
	assert.Equal(t, len(used), 1, "each key is logged once")
	assert.Equal(t, used[0].ContextMap()["account"], "a")
	assert.Equal(t, s.count("a", "accepted"), 1)
	assert.Equal(t, s.count("a", withdrawnKeyUsed), 3)
	assert.Equal(t, s.count(unknownCaller, "unknown-key"), 1)
	assert.Equal(t, s.count(anonymousCaller, "unknown-key"), 1)
	assert.Equal(t, s.count("b", "wrong-account"), 1)
	e, ok := query.Explain(s.state, model.Observations{}, s.state.Clock, query.KindAccount, "b")
	assert.Assert(t, ok)
	assert.Equal(t, e.Reasons[0], "the catalog 2 in force has 1 of its keys; a call with any other key gets unknown-key (401)")
}

// Guards against a key that is reported as withdrawn although a later catalog has it again.
func TestKeyThatComesBackIsNotWithdrawn(t *testing.T) {
	key := model.AccountKey{Digest: model.KeyDigest{1}, Account: "a"}
	s := newCallSite(t)
	s.publish(1, key)
	s.publish(2)
	s.publish(3, key)
	s.submit(1, &key.Digest)
	assert.Equal(t, s.logs.FilterMessage(event.WithdrawnKeyUsed.Name).Len(), 0)
	assert.Equal(t, s.count("a", "accepted"), 1)
}

// Guards against a metric that grows with each account that a catalog names.
func TestAccountLabelsAreBounded(t *testing.T) {
	s := newCallSite(t)
	for n := range 2 * maxAccountLabels {
		key := model.KeyDigest{byte(n), 1}
		s.publish(model.CatalogVersion(n+1), model.AccountKey{Digest: key, Account: model.AccountName(fmt.Sprint(n))})
		s.submit(n, &key)
	}
	assert.Equal(t, testutil.CollectAndCount(s.m.calls), maxAccountLabels+1)
	assert.Equal(t, s.count(furtherAccounts, "accepted"), maxAccountLabels)
}
