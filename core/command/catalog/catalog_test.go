package catalog

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

func valid(version model.CatalogVersion) model.Catalog {
	return model.Catalog{
		Version: version, Document: []byte{byte(version)}, Pools: []model.WorkerPool{{Name: "p"}},
		Queues: []model.Queue{{Name: "a", Host: "h", Prefix: "/a/", Pool: "p"}, {Name: "b", Host: "h", Prefix: "/a/b/", Pool: "p"}},
	}
}

func publish(s *model.State, c model.Catalog) result.Code {
	r, _ := Apply(s, model.Envelope{Command: model.PublishCatalog{Catalog: c}})
	return r.Code
}

// Guards against replacing the catalog in force by one of an older or equal version, and
// against refusing a resend.
func TestHighestVersionIsInForce(t *testing.T) {
	var s model.State
	assert.Equal(t, publish(&s, valid(5)), result.OK)
	other := valid(5)
	other.Queues = nil
	assert.Equal(t, publish(&s, other), result.Unchanged)
	assert.Equal(t, publish(&s, valid(4)), result.Unchanged)
	assert.Equal(t, s.Catalog.Version, model.CatalogVersion(5))
	assert.Equal(t, len(s.Catalog.Queues), 2)
	assert.Equal(t, publish(&s, valid(9)), result.OK)
	assert.Equal(t, s.Catalog.Version, model.CatalogVersion(9))
}

// Guards against an invalid catalog being put in force or acknowledged, also under an old
// version.
func TestInvalidCatalogs(t *testing.T) {
	s := model.State{Catalog: &model.Catalog{Version: 9}}
	for name, change := range map[string]func(*model.Catalog){
		"unknown pool": func(c *model.Catalog) { c.Queues[0].Pool = "none" },
		"same address": func(c *model.Catalog) { c.Queues[1].Prefix = "/a/" },
		"same name":    func(c *model.Catalog) { c.Queues[1].Name = "a" },
		"no host":      func(c *model.Catalog) { c.Queues[0].Host = "" },
	} {
		for _, version := range []model.CatalogVersion{1, 10} {
			c := valid(version)
			change(&c)
			assert.Equal(t, publish(&s, c), result.InvalidInput, name)
		}
	}
	assert.Equal(t, s.Catalog.Version, model.CatalogVersion(9))
}

// Guards against a queue with a shorter prefix that receives the workloads of a queue with a
// longer one.
func TestLongestPrefixDecides(t *testing.T) {
	c := valid(1)
	q, rest, ok := c.Resolve("h", "/a/b/x")
	assert.Assert(t, ok)
	assert.Equal(t, q.Name, model.QueueName("b"))
	assert.Equal(t, rest, "x")
	_, _, ok = c.Resolve("other", "/a/b/x")
	assert.Assert(t, !ok)
}
