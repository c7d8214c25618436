package share

import "lacewingturn.example/core/model"

// Ledger holds what each client account has running in all pools together. A nil ledger
// has no accounts.
type Ledger struct {
	accounts map[model.AccountName]*Account
	// other is the work that belongs to no account of the catalog. It has no cap and the
	// smallest weight of any account.
	other *Account
	// capacity is the total of what is running and what is free.
	capacity model.Resources
}

// Account is the entry of one client account. A nil account has no limits.
type Account struct {
	model.ClientAccount
	// Running is the sum of the needs of all runs that the account has or may have. Fillers
	// count by their whole need, although they reserve no processors.
	Running model.Resources
}

// NewLedger returns the ledger of the accounts in the catalog; nil if it has none. Free is the
// free capacity of the workers. Running includes the active runs of the state and what unassigned holds for each account: the
// needs of runs that the state does not list as active and that may still be running, for
// example because they are being stopped.
func NewLedger(s model.State, free model.Resources, unassigned map[model.AccountName]model.Resources) *Ledger {
	if s.Catalog == nil || len(s.Catalog.Accounts) == 0 {
		return nil
	}
	l := &Ledger{accounts: make(map[model.AccountName]*Account, len(s.Catalog.Accounts)), other: &Account{}, capacity: free}
	for _, a := range s.Catalog.Accounts {
		l.accounts[a.Name] = &Account{ClientAccount: a, Running: unassigned[a.Name]}
		if l.other.Weight == 0 || a.Weight < l.other.Weight {
			l.other.Weight = a.Weight
		}
	}
	for _, w := range s.Workloads.All() {
		a := l.Account(w.Account)
		a.Running = a.Running.Add(ActiveNeed(&w))
	}
	l.capacity = l.capacity.Add(l.other.Running)
	for _, a := range l.accounts {
		l.capacity = l.capacity.Add(a.Running)
	}
	return l
}

// Account returns the entry of the account; the one of all other work if the catalog does not
// have the account.
func (l *Ledger) Account(name model.AccountName) *Account {
	if l == nil {
		return nil
	}
	if a := l.accounts[name]; a != nil {
		return a
	}
	return l.other
}

// WeightedShare returns the dominant share of what the account has running, divided by its
// weight.
func (l *Ledger) WeightedShare(a *Account) float64 {
	return l.Share(a) / a.Weight
}

// Share returns the dominant share of what the account has running.
func (l *Ledger) Share(a *Account) float64 { return DominantShare(l.capacity, a.Running) }

// ActiveNeed returns the sum of the needs of the workload's active runs, copies included.
func ActiveNeed(w *model.Workload) model.Resources {
	var sum model.Resources
	for _, round := range w.Rounds.Begun() {
		for j, step := range round.Steps() {
			sum = sum.Add(w.Steps[j].Need.Times(step.Tasks.Runs()))
		}
	}
	return sum
}

// MayStart reports whether the account may start so many runs with the need at once.
func (a *Account) MayStart(need model.Resources, runs int) bool {
	return a == nil || fitsCopies(a.Cap, a.Running, need, runs)
}

// Start adds a run with the need.
func (a *Account) Start(need model.Resources) {
	if a != nil {
		a.Running = a.Running.Add(need)
	}
}

// Undo takes back the start of a run with the need.
func (a *Account) Undo(need model.Resources) {
	if a != nil {
		a.Running = a.Running.Sub(need)
	}
}
