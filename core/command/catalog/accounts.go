package catalog

import (
	"math"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// checkAccounts returns the first reason to refuse the client accounts of a catalog, or OK.
// Its texts contain no keys. Look-ups rely on the order of the keys.
func checkAccounts(c model.Catalog) result.Result {
	if !c.RequireKeys && len(c.Accounts)+len(c.Keys) > 0 {
		return result.New(result.InvalidInput, "the catalog has client accounts but requires no keys")
	}
	accounts := map[model.AccountName]bool{}
	for _, a := range c.Accounts {
		if r := checkAccount(a); !r.Code.OK() {
			return r
		}
		if accounts[a.Name] {
			return result.New(result.InvalidInput, "account %q is defined twice", a.Name)
		}
		accounts[a.Name] = true
	}
	for i, k := range c.Keys {
		if !accounts[k.Account] {
			return result.New(result.InvalidInput, "a key belongs to the unknown account %q", k.Account)
		}
		if i == 0 {
			continue
		}
		before := c.Keys[i-1]
		switch order := before.Digest.Compare(&k.Digest); {
		case order == 0:
			return result.New(result.InvalidInput, "accounts %q and %q share a key", before.Account, k.Account)
		case order > 0:
			return result.New(result.InvalidInput, "the keys of accounts %q and %q are not in order", before.Account, k.Account)
		}
	}
	return result.Result{Code: result.OK}
}

// checkAccount returns the first reason to refuse an account, or OK.
func checkAccount(a model.ClientAccount) result.Result {
	switch {
	case a.Name == "" || !model.ValidName(string(a.Name)):
		return result.New(result.InvalidInput, "account %.64q has no readable name", a.Name)
	case !(a.Weight > 0) || math.IsInf(a.Weight, 0):
		return result.New(result.InvalidInput, "account %q has the weight %g; it must be above 0", a.Name, a.Weight)
	case !(a.Rate >= 0) || math.IsInf(a.Rate, 0):
		return result.New(result.InvalidInput, "account %q has the rate %g; it must not be below 0", a.Name, a.Rate)
	case min(a.Cap.MilliCPU, a.Cap.MemoryMB, a.Cap.Accelerators) < 0:
		return result.New(result.InvalidInput, "account %q has a negative cap", a.Name)
	}
	return result.Result{Code: result.OK}
}
