package model

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// AccountName identifies a client account within one catalog.
type AccountName string

// ClientAccount is a customer whose callers share the fleet with those of others.
type ClientAccount struct {
	Name AccountName
	// Weight is the account's share of the capacity while all of it is in use, relative to
	// the weights of the other accounts; greater than 0.
	Weight float64
	// Rate is the number of workloads a second up to which the account is served before what
	// others submit beyond their own rates; 0 means no limit.
	Rate float64
	// Cap is the most that the account may have running in all pools together. A component
	// that is 0 sets no limit.
	Cap Resources
}

// AccountRate is the state of the rate limit of an account.
type AccountRate struct {
	Account AccountName
	// Next is when the account's rate covers one more workload if it submits none until
	// then, in nanoseconds since the Unix epoch.
	Next int64
}

// KeyDigest identifies a key of a client account. The keys themselves are kept only in the
// catalog's document.
type KeyDigest [16]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:16])
}

// Compare orders digests; it returns a number below, equal to or above 0.
func (d *KeyDigest) Compare(o *KeyDigest) int {
	if high := cmp.Compare(binary.BigEndian.Uint64(d[:8]), binary.BigEndian.Uint64(o[:8])); high != 0 {
		return high
	}
	return cmp.Compare(binary.BigEndian.Uint64(d[8:]), binary.BigEndian.Uint64(o[8:]))
}

// AccountKey assigns a key to a client account.
type AccountKey struct {
	Digest  KeyDigest
	Account AccountName
}

// AccountOf returns the account that the key belongs to; false if the catalog is nil or
// has no such key. A nil key belongs to no account.
func (c *Catalog) AccountOf(key *KeyDigest) (AccountName, bool) {
	if c == nil || key == nil {
		return "", false
	}
	// A search function would copy both keys in each step, at every call of a caller.
	low, high := 0, len(c.Keys)
	for low < high {
		middle := (low + high) / 2
		if c.Keys[middle].Digest.Compare(key) < 0 {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == len(c.Keys) || c.Keys[low].Digest != *key {
		return "", false
	}
	return c.Keys[low].Account, true
}

// Identify returns the account of a caller of the queue who presents the key. It reports
// false if the caller needs the key of an account and has none. A caller of a public queue
// who has no such key is anonymous, as are all callers where no keys are required.
func (c *Catalog) Identify(q *Queue, key *KeyDigest) (AccountName, bool) {
	if c == nil || !c.RequireKeys {
		return "", true
	}
	account, known := c.AccountOf(key)
	return account, known || q.Public
}

// Owner says who may read and cancel a workload.
type Owner struct {
	Account AccountName // empty for a workload of an anonymous caller
	Public  bool        // the workload was accepted at a public queue
}

// MayAccess reports whether a caller of the account may read and cancel a workload of the
// owner. An account name is only compared where keys are required: without them nobody can
// prove to be the owner.
func (c *Catalog) MayAccess(account AccountName, o Owner) bool {
	return c == nil || !c.RequireKeys || o.Public || o.Account == "" || o.Account == account
}

// Account returns the client account with the name; false if the catalog is nil or has
// no such account.
func (c *Catalog) Account(name AccountName) (ClientAccount, bool) {
	if c == nil {
		return ClientAccount{}, false
	}
	i := slices.IndexFunc(c.Accounts, func(a ClientAccount) bool { return a.Name == name })
	if i < 0 {
		return ClientAccount{}, false
	}
	return c.Accounts[i], true
}
