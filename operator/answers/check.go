package answers

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// MaxTimeout is the longest timeout that a service may have. Longer work belongs in
// a job.
const MaxTimeout = time.Hour

// namePattern restricts names to characters that are safe in URLs, headers and IDs.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker finds values out of range and contradictions between answers.
type checker struct {
	*Answers
	faultyPaths
	problems []Problem

	dataCentres map[string]DataCentre
	sizes       map[string]Size
	pools       map[string]Pool
	// countable is set once the instances and the size of every pool are known.
	countable bool
	members   map[string]int    // instances of each pool
	ids       map[string]bool   // IDs of all instances
	racks     map[[2]string]int // instances in each rack of a data centre
}

// check returns the problems of the decoded answers. It skips paths for which the
// decoder has already reported a problem.
func check(a *Answers, faulty faultyPaths) []Problem {
	c := &checker{
		Answers: a, faultyPaths: faulty,
		dataCentres: map[string]DataCentre{}, sizes: map[string]Size{}, pools: map[string]Pool{},
		members: map[string]int{}, ids: map[string]bool{}, racks: map[[2]string]int{},
	}
	c.checkName("site", a.Site)
	c.checkDomains()
	c.checkSizes()
	c.checkPools()
	c.checkServices()
	c.checkTeams()
	c.checkGoals()
	c.checkMaintenance()
	c.checkLimits()
	return c.problems
}

func (c *checker) add(path, write, format string, args ...any) {
	c.problems = append(c.problems, Problem{Position: lookup(c.positions, path), Path: path, Reason: fmt.Sprintf(format, args...), Hint: write})
}

// checkName reports whether the name at path is well-formed, and adds a problem if
// it is not.
func (c *checker) checkName(path, name string) bool {
	if !c.clean(path) {
		return false
	}
	if !namePattern.MatchString(name) {
		c.add(path, "1 to 63 lower-case letters, digits and hyphens, without a hyphen at the start", "%q is not a name", shorten(name))
		return false
	}
	return true
}

// checkUnique checks that a name is well-formed and not a key of seen, and then adds v
// to seen under the name.
func checkUnique[V any](c *checker, path, name string, seen map[string]V, v V) {
	if !c.checkName(path, name) {
		return
	}
	if _, dup := seen[name]; dup {
		c.add(path, "another name", "the name %q is used twice", name)
		return
	}
	seen[name] = v
}

// checkPositive reports whether n is positive, and adds a problem if it is not. A key
// that is left out passes, because its default applies, and so does a faulty one.
func (c *checker) checkPositive(path string, n int) bool {
	if c.clean(path) && c.has(path) && n <= 0 {
		c.add(path, "a number of at least 1", "0 is not possible")
		return false
	}
	return true
}

func (c *checker) checkDomains() {
	c.checkPositive("failure_domains.instances_per_rack", c.Domains.InstancesPerRack)
	c.checkNotEmpty("failure_domains.regions", len(c.Domains.Regions), "at least one region")
	regions := map[string]bool{}
	for i, r := range c.Domains.Regions {
		path := element("failure_domains.regions", i)
		checkUnique(c, path+".name", r.Name, regions, true)
		c.checkNotEmpty(path+".data_centres", len(r.DataCentres), "at least one data centre")
		for j, dc := range r.DataCentres {
			c.checkDataCentre(element(path+".data_centres", j), dc)
		}
	}
}

func (c *checker) checkDataCentre(path string, dc DataCentre) {
	checkUnique(c, path+".name", dc.Name, c.dataCentres, dc)
	c.checkNotEmpty(path+".racks", len(dc.Racks), "at least one rack")
	racks := map[string]bool{}
	for i, r := range dc.Racks {
		checkUnique(c, element(path+".racks", i), r, racks, true)
	}
}

func (c *checker) checkNotEmpty(path string, n int, write string) {
	if c.clean(path) && c.has(path) && n == 0 {
		c.add(path, write, "the list is empty")
	}
}

func (c *checker) checkSizes() {
	c.checkNotEmpty("instance_sizes", len(c.Sizes), "at least one size")
	for i, s := range c.Sizes {
		path := element("instance_sizes", i)
		checkUnique(c, path+".name", s.Name, c.sizes, s)
		c.checkPositive(path+".processors", s.Processors)
		c.checkPositive(path+".memory_gb", s.MemoryGB)
	}
}

func (c *checker) checkServices() {
	c.checkNotEmpty("services", len(c.Services), "at least one service")
	seen := map[string]bool{}
	for i, s := range c.Services {
		path := element("services", i)
		checkUnique(c, path+".name", s.Name, seen, true)
		c.checkServicePool(path+".pool", s.Pool)
		if time.Duration(s.Timeout) > MaxTimeout {
			c.add(path+".timeout", "a duration of at most 1h, or run the work as a job", "%s is too long for a request", time.Duration(s.Timeout))
		}
		c.checkPositive(path+".queue_limit", s.QueueLimit)
		c.checkPaths(path, s)
	}
}

func (c *checker) checkServicePool(path, name string) {
	if !c.clean(path) {
		return
	}
	p, ok := c.pools[name]
	if !ok {
		c.add(path, "one of "+namesOf(c.Pools, func(p Pool) string { return p.Name }), "there is no pool %q", shorten(name))
		return
	}
	if p.Spare {
		c.add(path, "a pool without spare: true", "pool %s is spare and lends its instances, so it cannot serve", name)
	}
}

// checkPaths reports malformed paths, and paths that are declared both idempotent and
// non-idempotent.
func (c *checker) checkPaths(path string, s Service) {
	seen := map[string]bool{}
	for i, p := range s.IdempotentPaths {
		at := element(path+".idempotent_paths", i)
		c.checkURLPath(at, p)
		seen[p] = true
	}
	for i, p := range s.NonIdempotentPaths {
		at := element(path+".non_idempotent_paths", i)
		c.checkURLPath(at, p)
		if seen[p] {
			c.add(at, "the path in only one of the two lists", "%s is both idempotent and non-idempotent", shorten(p))
		}
	}
}

func (c *checker) checkURLPath(path, p string) {
	if c.clean(path) && (!strings.HasPrefix(p, "/") || strings.ContainsAny(p, " ?#")) {
		c.add(path, "a path below the service, such as /preview", "%q is not a path", shorten(p))
	}
}

func (c *checker) checkTeams() {
	seen := map[string]bool{}
	for i, t := range c.Teams {
		path := element("teams", i)
		checkUnique(c, path+".name", t.Name, seen, true)
		c.checkPositive(path+".quota.processors", t.Quota.Processors)
		c.checkPositive(path+".quota.memory_gb", t.Quota.MemoryGB)
		c.checkQuota(path+".quota", t.Quota)
	}
}

// checkQuota reports a quota that exceeds the capacity of the whole fleet.
func (c *checker) checkQuota(path string, q Quota) {
	if !c.countable || !c.clean("failure_domains") || !c.clean("instance_sizes") || !c.clean(path) {
		return
	}
	var all Quota
	for name, n := range c.members {
		s := c.sizes[c.pools[name].Size]
		all.Processors += n * s.Processors
		all.MemoryGB += n * s.MemoryGB
		all.Accelerators += n * s.Accelerators
	}
	for _, r := range []struct {
		key       string
		want, has int
	}{{"processors", q.Processors, all.Processors}, {"memory_gb", q.MemoryGB, all.MemoryGB}, {"accelerators", q.Accelerators, all.Accelerators}} {
		if r.want > r.has {
			c.add(path+"."+r.key, fmt.Sprintf("at most %d", r.has), "the quota is %d and all instances together have %d", r.want, r.has)
		}
	}
}

// maxWeight keeps the ratio of two weights within the resolution of the policy.
const maxWeight = 100

func (c *checker) checkGoals() {
	sum := 0
	for _, g := range []struct {
		key    string
		weight int
	}{{"short_work_wait", c.Goals.ShortWorkWait}, {"buffer_cost", c.Goals.BufferCost}, {"rollout", c.Goals.Rollout}, {"moves", c.Goals.Moves}} {
		sum += g.weight
		if g.weight > maxWeight {
			c.add("goals."+g.key, "a weight from 0 to 100", "%d is too large", g.weight)
		}
	}
	if sum == 0 && c.clean("goals") && c.has("goals") {
		c.add("goals", "a weight above 0 for the most important goal", "all weights are 0")
	}
}

// namesOf formats the names of declared elements for a message.
func namesOf[T any](list []T, name func(T) string) string {
	if len(list) == 0 {
		return "the declared names"
	}
	out := make([]string, len(list))
	for i, v := range list {
		out[i] = name(v)
	}
	return shortenList(out)
}

// maxListed is the number of names that a message lists.
const maxListed = 12

func shortenList(names []string) string {
	if len(names) > maxListed {
		return strings.Join(names[:maxListed], ", ") + ", ..."
	}
	return strings.Join(names, ", ")
}
