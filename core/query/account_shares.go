package query

import (
	"cmp"
	"slices"
	"time"

	"lacewingturn.example/core/command/share"
	"lacewingturn.example/core/model"
)

// AccountShare shows what a client account has running and waiting.
type AccountShare struct {
	Name   model.AccountName
	Weight float64
	Rate   float64 // workloads a second; 0 means no limit
	Cap    model.Resources
	// Running is the need of the active runs, and of those that are being stopped as far as
	// the caller names them.
	Running model.Resources
	// Share is the largest share of Running in all that runs, for any kind
	// of resource; FairShare is the account's part of all weights.
	Share     float64
	FairShare float64
	// Waiting is the number of workloads with a task that waits for a run, HeldByCap those of
	// them of which the cap holds back every such task.
	Waiting   int
	HeldByCap int
	// BeyondRate is the number of waiting workloads that were submitted beyond the rate.
	BeyondRate int
	// OldestWait is the longest time since the first round of a workload was due of which
	// nothing has started.
	OldestWait time.Duration
}

// AccountShares returns the views of all accounts in the catalog, by name. Unassigned is what runs
// that the state does not list as active still hold.
func AccountShares(s model.State, now model.Timestamp, unassigned map[model.AccountName]model.Resources) []AccountShare {
	ledger := share.NewLedger(s, model.Resources{}, unassigned)
	if ledger == nil {
		return nil
	}
	views := map[model.AccountName]*AccountShare{}
	var weights float64
	for _, a := range s.Catalog.Accounts {
		weights += a.Weight
		views[a.Name] = &AccountShare{Name: a.Name, Weight: a.Weight, Rate: a.Rate, Cap: a.Cap, Running: ledger.Account(a.Name).Running}
	}
	for _, w := range s.Workloads.All() {
		if v := views[w.Account]; v != nil {
			v.addWorkload(&w, now, ledger.Account(w.Account))
		}
	}
	out := make([]AccountShare, 0, len(views))
	for name, v := range views {
		v.Share, v.FairShare = ledger.Share(ledger.Account(name)), v.Weight/weights
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b AccountShare) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// addWorkload adds a workload to the view of its account.
func (v *AccountShare) addWorkload(w *model.Workload, now model.Timestamp, account *share.Account) {
	waits, held := false, true
	for round := range w.OpenStates(now) {
		for j := range w.Steps {
			spec := &w.Steps[j]
			if round.Step(j).Waiting() == 0 || !spec.ReadyIn(round) {
				continue
			}
			runs := 1
			if spec.Gang {
				runs = spec.Count
			}
			waits, held = true, held && !account.MayStart(spec.Need, runs)
		}
	}
	if !waits {
		return
	}
	v.Waiting++
	if held {
		v.HeldByCap++
	}
	if w.BeyondRate {
		v.BeyondRate++
	}
	if !w.Started() {
		v.OldestWait = max(v.OldestWait, now.Sub(w.Due(0)))
	}
}
