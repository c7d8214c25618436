package workload

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

const publicPrefix = "/public/"

var (
	keyOfA     = model.KeyDigest{1}
	keyOfB     = model.KeyDigest{2}
	unknownKey = model.KeyDigest{3}
)

// newAccountFixture returns a state whose queue needs the key of account a or b, with a
// public queue beside it.
func newAccountFixture(t *testing.T) *fixture {
	w := newFixture(t)
	c := w.s.Catalog
	c.RequireKeys = true
	c.Accounts = []model.ClientAccount{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}
	c.Keys = []model.AccountKey{{Digest: keyOfA, Account: "a"}, {Digest: keyOfB, Account: "b"}}
	c.Queues = append(c.Queues, model.Queue{Name: "public", Host: host, Prefix: publicPrefix, Pool: "pool", Public: true})
	return w
}

func (w *fixture) submitWith(at string, key *model.KeyDigest) result.Code {
	return w.apply(model.SubmitWorkload{Host: host, Path: at + string(id), Workload: model.Workload{Steps: []model.Step{{Count: 1}}}, Key: key}).Code
}

func (w *fixture) cancelWith(at string, key *model.KeyDigest) result.Code {
	return w.apply(model.CancelWorkload{Host: host, Path: at + string(id), Key: key}).Code
}

func (w *fixture) withdraw(key model.KeyDigest) {
	c := *w.s.Catalog
	c.Keys = nil
	for _, k := range w.s.Catalog.Keys {
		if k.Digest != key {
			c.Keys = append(c.Keys, k)
		}
	}
	w.s.Catalog = &c
}

// Guards against a submission that is accepted without a key or with an unknown one, and
// against an unknown queue that is reported as a matter of keys.
func TestSubmissionNeedsAKey(t *testing.T) {
	w := newAccountFixture(t)
	assert.Equal(t, w.submitWith(prefix, nil), result.UnknownKey)
	assert.Equal(t, w.submitWith(prefix, &unknownKey), result.UnknownKey)
	assert.Equal(t, w.submitWith("/none/", &unknownKey), result.NotFound)
	assert.Equal(t, w.s.Workloads.Len(), 0)
	assert.Equal(t, w.submitWith(prefix, &keyOfA), result.Accepted)
	accepted, _ := w.s.Workloads.Get(id)
	assert.Equal(t, accepted.Account, model.AccountName("a"))
}

// Guards against a resend or a cancellation of a workload by another account, while it is
// active and after its end, also by way of a public queue.
func TestWorkloadOfAnotherAccountIsOutOfReach(t *testing.T) {
	w := newAccountFixture(t)
	w.submitWith(prefix, &keyOfA)
	for _, phase := range []model.WorkloadPhase{model.WorkloadActive, model.WorkloadCancelled} {
		assert.Equal(t, w.submitWith(prefix, &keyOfB), result.WrongAccount)
		assert.Equal(t, w.cancelWith(prefix, &keyOfB), result.WrongAccount)
		assert.Equal(t, w.cancelWith(prefix, &unknownKey), result.UnknownKey)
		assert.Equal(t, w.cancelWith(publicPrefix, nil), result.WrongAccount)
		assert.Equal(t, w.submitWith(publicPrefix, nil), result.WrongAccount)
		assert.Equal(t, w.phase(), phase)
		assert.Equal(t, w.submitWith(prefix, &keyOfA), result.Unchanged)
		w.cancelWith(prefix, &keyOfA)
	}
	finished, _ := w.s.Finished.Get(id)
	assert.Equal(t, finished.Account, model.AccountName("a"))
}

// Guards against a withdrawn key that still submits or cancels, and against an accepted
// workload that ends with the key of its submission.
func TestWithdrawnKey(t *testing.T) {
	w := newAccountFixture(t)
	w.submitWith(prefix, &keyOfA)
	w.withdraw(keyOfA)
	assert.Equal(t, w.submitWith(prefix, &keyOfA), result.UnknownKey)
	assert.Equal(t, w.cancelWith(prefix, &keyOfA), result.UnknownKey)
	w.record(nil, start(0, 0, 1, first))
	assert.Equal(t, w.active(0, 0), 1)
	w.record([]model.RunEnd{end(0, 0, 1, first, model.RunDone)})
	assert.Equal(t, w.phase(), model.WorkloadCompleted)
}

// Guards against a public queue that refuses callers because of their keys. A known key
// there names the account that the workload counts for.
func TestPublicQueueNeedsNoKey(t *testing.T) {
	for account, key := range map[model.AccountName]*model.KeyDigest{"": nil, "a": &keyOfA} {
		w := newAccountFixture(t)
		assert.Equal(t, w.submitWith(publicPrefix, key), result.Accepted)
		accepted, _ := w.s.Workloads.Get(id)
		assert.Equal(t, accepted.Account, account)
		w.withdraw(keyOfA)
		assert.Equal(t, w.submitWith(publicPrefix, key), result.Unchanged)
		assert.Equal(t, w.cancelWith(publicPrefix, &unknownKey), result.OK)
		assert.Equal(t, w.cancelWith(publicPrefix, nil), result.Unchanged)
	}
}

// Guards against workloads that nobody can reach any more: those accepted before accounts
// were configured, and those of accounts after these were removed with all others.
func TestAccountsComeAndGo(t *testing.T) {
	w := newFixture(t)
	assert.Equal(t, w.submitWith(prefix, &keyOfA), result.Accepted)
	accepted, _ := w.s.Workloads.Get(id)
	assert.Equal(t, accepted.Account, model.AccountName(""))
	without := w.s.Catalog
	w.s.Catalog = newAccountFixture(t).s.Catalog
	assert.Equal(t, w.submitWith(prefix, &keyOfB), result.Unchanged)
	accepted.Account = "a"
	w.s.Workloads = w.s.Workloads.Set(id, accepted)
	assert.Equal(t, w.cancelWith(prefix, &keyOfB), result.WrongAccount)
	w.s.Catalog = without
	assert.Equal(t, w.cancelWith(prefix, nil), result.OK)
}
