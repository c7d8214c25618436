package share

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

func withAccounts(accounts ...model.ClientAccount) model.State {
	return model.State{Clock: 1_000_000, Catalog: &model.Catalog{Accounts: accounts}}
}

// Guards against an account that is owed more than its rate, against one that is owed less
// because of what it sent beyond its rate, and against a rate that other accounts use up.
func TestRateCoversWhatIsSentWithinIt(t *testing.T) {
	s := withAccounts(model.ClientAccount{Name: "a", Weight: 1, Rate: 2}, model.ClientAccount{Name: "b", Weight: 1, Rate: 0.25}, model.ClientAccount{Name: "c", Weight: 1})
	within := map[model.AccountName]int{}
	for range 200 { // 20 s
		for _, name := range []model.AccountName{"a", "a", "b", "c"} {
			if !ChargeRate(&s, name) {
				within[name]++
			}
		}
		s.Clock = s.Clock.Add(100 * time.Millisecond)
	}
	assert.DeepEqual(t, within, map[model.AccountName]int{"a": 41, "b": 5, "c": 200})
	s.Catalog = &model.Catalog{Accounts: []model.ClientAccount{{Name: "d", Weight: 1, Rate: 1}}}
	ChargeRate(&s, "d")
	assert.Equal(t, s.AccountRates.Len(), 1, "rates of accounts that are no longer there stay for good")
}

// Guards against a workload that waits for good because its account's cap cannot run one of
// its tasks or its gang, and against one that is refused although it can run in waves.
func TestWorkAboveTheCapIsRefused(t *testing.T) {
	c := withAccounts(model.ClientAccount{Name: "a", Weight: 1, Cap: model.Resources{MilliCPU: 4000, Accelerators: 1}}).Catalog
	check := func(spec model.Step) bool { return CheckCap(c, "a", []model.Step{{Count: 1}, spec}).Code.OK() }
	assert.Assert(t, check(model.Step{Count: 100, Need: model.Resources{MilliCPU: 4000, MemoryMB: 1 << 40, Accelerators: 1}}))
	assert.Assert(t, !check(model.Step{Count: 1, Need: model.Resources{MilliCPU: 4001}}))
	assert.Assert(t, !check(model.Step{Count: 1, Need: model.Resources{Accelerators: 2}}))
	assert.Assert(t, check(model.Step{Count: 4, Gang: true, Need: model.Resources{MilliCPU: 1000}}))
	assert.Assert(t, !check(model.Step{Count: 5, Gang: true, Need: model.Resources{MilliCPU: 1000}}))
	assert.Assert(t, CheckCap(c, "other", []model.Step{{Count: 1, Need: model.Resources{MilliCPU: 1 << 60}}}).Code.OK())
}
