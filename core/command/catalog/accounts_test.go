package catalog

import (
	"math"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

func withAccounts(version model.CatalogVersion) model.Catalog {
	c := valid(version)
	c.RequireKeys = true
	c.Accounts = []model.ClientAccount{{Name: "a", Weight: 1}, {Name: "b", Weight: 2, Rate: 2}}
	c.Keys = []model.AccountKey{{Digest: model.KeyDigest{1}, Account: "a"}, {Digest: model.KeyDigest{2}, Account: "b"}}
	return c
}

// Guards against accounts by which a call is assigned to nobody or to another account, or by
// which shares cannot be computed.
func TestInvalidAccounts(t *testing.T) {
	var s model.State
	assert.Equal(t, publish(&s, withAccounts(1)), result.OK)
	for problem, change := range map[string]func(*model.Catalog){
		"requires no keys":        func(c *model.Catalog) { c.RequireKeys = false },
		`"a" is defined twice`:    func(c *model.Catalog) { c.Accounts[1].Name = "a" },
		"no readable name":        func(c *model.Catalog) { c.Accounts[0].Name = "" },
		`unknown account "c"`:     func(c *model.Catalog) { c.Keys[1].Account = "c" },
		`"a" and "b" share a key`: func(c *model.Catalog) { c.Keys[1].Digest = c.Keys[0].Digest },
		"not in order":            func(c *model.Catalog) { slices.Reverse(c.Keys) },
		`"a" has the weight 0`:    func(c *model.Catalog) { c.Accounts[0].Weight = 0 },
		`"a" has the weight NaN`:  func(c *model.Catalog) { c.Accounts[0].Weight = math.NaN() },
		`"b" has the weight +Inf`: func(c *model.Catalog) { c.Accounts[1].Weight = math.Inf(1) },
		`"b" has the rate -1`:     func(c *model.Catalog) { c.Accounts[1].Rate = -1 },
		`"b" has a negative cap`:  func(c *model.Catalog) { c.Accounts[1].Cap.MemoryMB = -1 },
	} {
		c := withAccounts(2)
		change(&c)
		r, _ := Apply(&s, model.Envelope{Command: model.PublishCatalog{Catalog: c}})
		assert.Equal(t, r.Code, result.InvalidInput, problem)
		assert.Assert(t, strings.Contains(r.Detail, problem), r.Detail)
	}
	assert.Equal(t, s.Catalog.Version, model.CatalogVersion(1))
}
