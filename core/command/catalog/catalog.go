// Package catalog decides which catalog of queues and worker pools is in force.
package catalog

import (
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Apply handles PublishCatalog. The highest version is in force; a lower or equal one is
// acknowledged without effect, so that a resend is harmless. An invalid catalog is refused
// whatever its version.
func Apply(s *model.State, env model.Envelope) (result.Result, bool) {
	c, ok := env.Command.(model.PublishCatalog)
	if !ok {
		return result.Result{}, false
	}
	if r := check(c.Catalog); !r.Code.OK() {
		return r, true
	}
	if s.Catalog != nil && c.Catalog.Version <= s.Catalog.Version {
		return result.Result{Code: result.Unchanged}, true
	}
	next := c.Catalog
	if env.Rules != model.FirstRules {
		rebind(s, &next)
	}
	s.Catalog = &next
	return result.Result{Code: result.OK}, true
}

// check returns the first reason to refuse a catalog, or OK.
func check(c model.Catalog) result.Result {
	names := map[model.QueueName]bool{}
	queueAt := map[model.QueueAddress]model.QueueName{}
	for _, q := range c.Queues {
		if q.Name == "" || q.Host == "" || q.Prefix == "" {
			return result.New(result.InvalidInput, "a queue needs a name, a host and a prefix; %q lacks one", q.Name)
		}
		if names[q.Name] {
			return result.New(result.InvalidInput, "queue %q is defined twice", q.Name)
		}
		names[q.Name] = true
		at := q.Address()
		if other, taken := queueAt[at]; taken {
			return result.New(result.InvalidInput, "queues %q and %q have the same address", other, q.Name)
		}
		queueAt[at] = q.Name
		if _, ok := c.Pool(q.Pool); !ok {
			return result.New(result.InvalidInput, "queue %q names the unknown pool %q", q.Name, q.Pool)
		}
	}
	return checkAccounts(c)
}
