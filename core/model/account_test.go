package model

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// catalogOf returns a catalog with n accounts that have the given number of keys together.
func catalogOf(n, keys int) *Catalog {
	c := &Catalog{RequireKeys: true}
	for i := range n {
		c.Accounts = append(c.Accounts, ClientAccount{Name: AccountName(fmt.Sprint("account-", i)), Weight: 1})
	}
	for i := range keys {
		c.Keys = append(c.Keys, AccountKey{DigestKey(keyNumber(i)), c.Accounts[i%n].Name})
	}
	slices.SortFunc(c.Keys, func(a, b AccountKey) int { return a.Digest.Compare(&b.Digest) })
	return c
}

func keyNumber(i int) string { return fmt.Sprintf("key-%016d", i) }

// Guards against a key that is assigned to another account, or to one although it was
// withdrawn.
func TestAccountOf(t *testing.T) {
	c := catalogOf(7, 100)
	for i := range 100 {
		digest := DigestKey(keyNumber(i))
		account, ok := c.AccountOf(&digest)
		assert.Assert(t, ok)
		assert.Equal(t, account, c.Accounts[i%7].Name)
	}
	digest := DigestKey(keyNumber(100))
	for _, c := range []*Catalog{nil, {RequireKeys: true}, c} {
		_, ok := c.AccountOf(&digest)
		assert.Assert(t, !ok)
		_, ok = c.AccountOf(nil)
		assert.Assert(t, !ok)
	}
}

// BenchmarkCheckKey measures the check of a key at the size of the target: 35 accounts with
// 10,000 keys.
func BenchmarkCheckKey(b *testing.B) {
	c := catalogOf(35, 10_000)
	keys := make([]string, 1024)
	for i := range keys {
		keys[i] = keyNumber(i * 9)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		digest := DigestKey(keys[i%len(keys)])
		if _, ok := c.AccountOf(&digest); !ok {
			b.Fatal("a key is not known")
		}
		i++
	}
}
