package query

import (
	"cmp"
	"fmt"
	"math"
	"strings"
	"time"

	"lacewingturn.example/core/model"
)

// AccountsView is the body of the accounts query. It contains no keys.
type AccountsView struct {
	RequireKeys bool           `json:"require_keys"` // calls need the key of an account, except those of public queues
	Accounts    []AccountEntry `json:"accounts"`
}

// AccountEntry is one client account, with its work that has not ended.
type AccountEntry struct {
	Name         string  `json:"name"`
	Weight       float64 `json:"weight"`
	Rate         float64 `json:"rate"` // workloads a second; 0 is no limit
	Cap          string  `json:"cap"`  // "none" without a limit; a component that is not named has none
	Keys         int     `json:"keys"`
	Workloads    int     `json:"workloads"` // that have not ended
	Waiting      int     `json:"waiting"`   // those of them that have not started
	RunningTasks int     `json:"running_tasks"`
	Running      string  `json:"running"` // need of the active runs in all pools, without those that are being stopped
	Share        float64 `json:"share"`   // largest share in all that runs
	FairShare    float64 `json:"fair_share"`
	HeldByCap    int     `json:"held_by_cap"` // workloads of which the cap holds back every waiting task
	BeyondRate   int     `json:"beyond_rate"` // waiting workloads that were submitted beyond the rate
	// OldestWaitSeconds is the age of the oldest workload that has not started; 0 if none.
	OldestWaitSeconds float64 `json:"oldest_wait_seconds"`
}

// accountWork is the work of an account that has not ended.
type accountWork struct {
	workloads, waiting, runs int
	oldest                   model.Timestamp // acceptance of the oldest waiting workload
}

// Accounts returns the client accounts of the catalog at the time now, or only the one with
// the name if it is not empty. It reports false if there is no account of that name.
func Accounts(s model.State, now model.Timestamp, name model.AccountName) (AccountsView, bool) {
	v := AccountsView{Accounts: []AccountEntry{}}
	if s.Catalog == nil {
		return v, name == ""
	}
	v.RequireKeys = s.Catalog.RequireKeys
	keys, work := map[model.AccountName]int{}, workOfAccounts(s)
	for _, k := range s.Catalog.Keys {
		keys[k.Account]++
	}
	now = max(now, s.Clock)
	shares := map[model.AccountName]AccountShare{}
	for _, share := range AccountShares(s, now, nil) {
		shares[share.Name] = share
	}
	for _, a := range s.Catalog.Accounts {
		if name == "" || a.Name == name {
			v.Accounts = append(v.Accounts, accountEntry(shares[a.Name], keys[a.Name], work[a.Name], now))
		}
	}
	return v, name == "" || len(v.Accounts) > 0
}

func accountEntry(a AccountShare, keys int, w accountWork, now model.Timestamp) AccountEntry {
	e := AccountEntry{
		Name: string(a.Name), Weight: a.Weight, Rate: a.Rate, Cap: capText(a.Cap), Keys: keys,
		Workloads: w.workloads, Waiting: w.waiting, RunningTasks: w.runs, Running: Capacity(a.Running),
		Share: a.Share, FairShare: a.FairShare, HeldByCap: a.HeldByCap, BeyondRate: a.BeyondRate,
	}
	if w.waiting > 0 {
		e.OldestWaitSeconds = math.Round(now.Sub(w.oldest).Seconds()*10) / 10
	}
	return e
}

// capText formats the components of a cap that set a limit.
func capText(r model.Resources) string {
	var parts []string
	if r.MilliCPU > 0 {
		parts = append(parts, fmt.Sprintf("%g processors", float64(r.MilliCPU)/1000))
	}
	if r.MemoryMB > 0 {
		parts = append(parts, fmt.Sprintf("%d MB", r.MemoryMB))
	}
	if r.Accelerators > 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", r.Accelerators))
	}
	return cmp.Or(strings.Join(parts, ", "), "none")
}

// workOfAccounts adds up the workloads that have not ended.
func workOfAccounts(s model.State) map[model.AccountName]accountWork {
	out := map[model.AccountName]accountWork{}
	for _, w := range s.Workloads.All() {
		if w.Account == "" {
			continue
		}
		a := out[w.Account]
		a.add(w)
		out[w.Account] = a
	}
	return out
}

func (a *accountWork) add(w model.Workload) {
	a.workloads++
	if !w.Started() {
		if a.waiting == 0 || w.AcceptedAt < a.oldest {
			a.oldest = w.AcceptedAt
		}
		a.waiting++
	}
	for _, round := range w.Rounds.Begun() {
		for _, step := range round.Steps() {
			a.runs += step.Tasks.Runs()
		}
	}
}

// account explains a client account: what it may have, what it has, and how its callers are
// refused.
func (e *Explanation) account(s model.State, a AccountEntry) {
	e.Condition = fmt.Sprintf("weight %g, %d workloads of which %d wait, %d tasks running", a.Weight, a.Workloads, a.Waiting, a.RunningTasks)
	if a.Keys == 0 {
		e.addReason("it has no keys, so that its callers get unknown-key (401), except at public queues")
		e.addNext("publish a catalog with a key of the account")
	} else {
		e.addReason("the catalog %d in force has %d of its keys; a call with any other key gets unknown-key (401)", s.Catalog.Version, a.Keys)
	}
	if a.Waiting > 0 {
		e.addReason("%d workloads wait, the oldest for %s", a.Waiting, time.Duration(a.OldestWaitSeconds*float64(time.Second)).Round(time.Second))
	}
	if c, ok := s.Catalog.Account(model.AccountName(a.Name)); ok && c.Cap != (model.Resources{}) {
		e.addReason("it has %s running, and may have %s", a.Running, a.Cap)
	}
	if a.HeldByCap > 0 {
		e.addReason("the cap holds back %d workloads", a.HeldByCap)
	}
	if a.BeyondRate > 0 {
		e.addReason("%d workloads wait that were submitted beyond the rate of %g a second; they come after those within any account's rate", a.BeyondRate, a.Rate)
	}
	e.addNext("`lacewingturn_account_calls_total` on the leader counts its calls by result")
}
