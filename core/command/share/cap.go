package share

import (
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// CheckCap refuses a workload of the account with a step of which no task, or whose gang, can
// ever run within the account's cap. The refusal is decided where the workload would be
// accepted, so that every replica decides the same.
func CheckCap(c *model.Catalog, name model.AccountName, steps []model.Step) result.Result {
	account, ok := c.Account(name)
	if !ok {
		return result.Result{Code: result.OK}
	}
	for i, step := range steps {
		runs := 1
		if step.Gang {
			runs = step.Count
		}
		if !fitsCopies(account.Cap, model.Resources{}, step.Need, runs) {
			return result.New(result.InvalidInput, "step %d needs %+v for each of %d runs at once, which is more than the cap %+v of account %q", i, step.Need, runs, account.Cap, name)
		}
	}
	return result.Result{Code: result.OK}
}
