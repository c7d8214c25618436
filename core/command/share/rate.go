package share

import (
	"time"

	"lacewingturn.example/core/model"
)

// rateBurst is the period whose workloads an account may submit at once without exceeding
// its rate.
const rateBurst = time.Second

// maxRateInterval bounds the time between two workloads of an account, so that sums of times
// do not overflow.
const maxRateInterval = 365 * 24 * time.Hour

// ChargeRate counts a workload that is accepted now against the rate of its account. It
// returns true if the workload is beyond the rate; such a workload is not counted, so that
// it does not use up the rate of later ones. It is a token bucket in the form of the generic
// cell rate algorithm, in integers because replicas must agree.
func ChargeRate(s *model.State, name model.AccountName) (beyond bool) {
	account, ok := s.Catalog.Account(name)
	if !ok || account.Rate <= 0 {
		return false
	}
	interval := max(int64(min(float64(time.Second)/account.Rate, float64(maxRateInterval))), 1)
	now := int64(s.Clock) * int64(time.Millisecond)
	rate, _ := s.AccountRates.Get(name)
	next := max(rate.Next, now)
	if next-now > max(int64(rateBurst), interval) {
		next = now // a lower rate set it, which is no longer in force
	}
	if next-now > max(int64(rateBurst)-interval, 0) {
		return true
	}
	s.AccountRates = s.AccountRates.Set(name, model.AccountRate{Account: name, Next: next + interval})
	dropOldRates(s)
	return false
}

// dropOldRates removes the accounts that the catalog does not have any more.
func dropOldRates(s *model.State) {
	if s.AccountRates.Len() <= len(s.Catalog.Accounts) {
		return
	}
	for name := range s.AccountRates.All() {
		if _, ok := s.Catalog.Account(name); !ok {
			s.AccountRates = s.AccountRates.Delete(name)
		}
	}
}
