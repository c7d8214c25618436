package answers

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// MaxInstances bounds the instances of a site, so that a mistyped count does not
// generate a configuration with millions of instances. The two-year goal for a site
// is 720.
const MaxInstances = 10_000

func (c *checker) checkPools() {
	c.checkNotEmpty("pools", len(c.Pools), "at least one pool")
	total := 0
	c.countable = c.clean("pools")
	for i, p := range c.Pools {
		path := element("pools", i)
		checkUnique(c, path+".name", p.Name, c.pools, p)
		if _, ok := c.sizes[p.Size]; !ok && c.clean(path+".size") {
			c.countable = false
			c.add(path+".size", "one of "+namesOf(c.Sizes, func(s Size) string { return s.Name }), "there is no instance size %q", shorten(p.Size))
		}
		c.checkNotEmpty(path+".instances", len(p.Instances), "at least one data_centre with count_per_rack or names")
		if !c.checkPlacements(path+".instances", p, &total) {
			c.countable = false
			continue
		}
		c.members[p.Name] = c.checkInstances(path, p)
		c.countable = c.countable && c.members[p.Name] > 0
		c.checkBudget(path+".budget", p, c.members[p.Name])
	}
}

// checkPlacements checks the placements of p and adds the number of their instances
// to total. It reports whether the instances of p can be counted.
func (c *checker) checkPlacements(path string, p Pool, total *int) bool {
	countable := c.clean(path)
	for i, place := range p.Instances {
		at := element(path, i)
		if !c.checkPlacement(at, place) {
			countable = false
			continue
		}
		dc := c.dataCentres[place.DataCentre]
		n := max(len(place.Names), len(racksOf(place, dc))*place.CountPerRack)
		if *total += n; *total > MaxInstances && *total-n <= MaxInstances {
			c.add(at, fmt.Sprintf("at most %d instances in all", MaxInstances), "there are %d instances up to this point", *total)
		}
	}
	return countable && *total <= MaxInstances
}

// checkPlacement checks the data centre, the racks and the count or names of a
// placement. It reports whether its instances can be counted.
func (c *checker) checkPlacement(path string, place Placement) bool {
	if !c.clean(path) {
		return false
	}
	dc, ok := c.dataCentres[place.DataCentre]
	if !ok {
		c.add(path+".data_centre", "a data centre of failure_domains", "there is no data centre %q", shorten(place.DataCentre))
		return false
	}
	for i, r := range place.Racks {
		if !slices.Contains(dc.Racks, r) {
			c.add(element(path+".racks", i), "one of "+shortenList(dc.Racks), "data centre %s has no rack %q", dc.Name, shorten(r))
			return false
		}
		if slices.Contains(place.Racks[:i], r) {
			c.add(element(path+".racks", i), "each rack once", "rack %s is listed twice", r)
			return false
		}
	}
	return c.checkCount(path, place, dc)
}

// checkInstances requires unique IDs and racks within their capacity, and returns the
// number of instances of p.
func (c *checker) checkInstances(path string, p Pool) int {
	list := instancesOf(c.Answers, p)
	for _, i := range list {
		at := element(path+".instances", i.placement)
		if i.named {
			at = element(at+".names", i.index)
		}
		if !i.named && c.ids[i.ID] {
			c.add(at, "another name for the pool or the data centre", "the generated ID %s is used twice", i.ID)
		}
		if i.named {
			checkUnique(c, at, i.ID, c.ids, true)
		}
		c.ids[i.ID] = true
		c.addToRack(at, [2]string{i.DataCentre, i.Rack})
	}
	return len(list)
}

// addToRack counts an instance in its rack and reports the first one that exceeds
// the capacity of the rack.
func (c *checker) addToRack(path string, rack [2]string) {
	c.racks[rack]++
	if most := c.Domains.InstancesPerRack; most > 0 && c.racks[rack] == most+1 {
		c.add(path, "fewer instances or another rack", "rack %s of %s holds %d instances and more are declared", rack[1], rack[0], most)
	}
}

// checkCount requires either a count or names, and one rack for names. It reports
// whether the placement meets this.
func (c *checker) checkCount(path string, place Placement, dc DataCentre) bool {
	counted, named := c.has(path+".count_per_rack"), len(place.Names) > 0
	switch {
	case counted && named:
		c.add(path+".names", "either count_per_rack or names", "both a count and names are given")
		return false
	case !counted && !named:
		c.add(path, "count_per_rack or names", "the number of instances is missing")
		return false
	case counted:
		return c.checkPositive(path+".count_per_rack", place.CountPerRack)
	case len(racksOf(place, dc)) != 1:
		c.add(path+".names", "racks with the one rack of these instances", "named instances need one rack, not %d", len(racksOf(place, dc)))
		return false
	}
	return true
}

// checkBudget reports budgets that limit nothing, budgets that would never allow any
// instance to be maintained, limits above the size of the pool, and a limit of a rack
// above that of a data centre.
func (c *checker) checkBudget(path string, p Pool, members int) {
	if !c.clean(path) || !c.has(path) || members == 0 {
		return
	}
	b := p.Budget
	if !c.has(path+".min_available") && !c.has(path+".max_unavailable") {
		c.add(path, "min_available or max_unavailable", "the budget limits nothing")
		return
	}
	c.checkPositive(path+".max_per_rack", b.MaxPerRack)
	c.checkPositive(path+".max_per_data_centre", b.MaxPerDataCentre)
	c.checkMinAvailable(path+".min_available", b.MinAvailable, members)
	c.checkMaxUnavailable(path+".max_unavailable", b.MaxUnavailable, members)
	if r, d := b.MaxPerRack, b.MaxPerDataCentre; r > 0 && d > 0 && r > d {
		c.add(path+".max_per_rack", fmt.Sprintf("at most %d", d), "a rack may have %d unavailable and the whole data centre only %d", r, d)
	}
}

func (c *checker) checkMinAvailable(path string, q Quantity, members int) {
	if !c.has(path) {
		return
	}
	least := minAvailable(q, members)
	switch {
	case least > members:
		c.add(path, fmt.Sprintf("at most %d", members-1), "%d must stay available and the pool has %d", least, members)
	case least == members && members == 1:
		c.add(path, "0, or add an instance to the pool", "the pool has one instance, which must stay available, so it can never be maintained")
	case least == members:
		c.add(path, fmt.Sprintf("at most %d, or add an instance", members-1), "all %d instances must stay available, so none can be maintained", members)
	}
}

func (c *checker) checkMaxUnavailable(path string, q Quantity, members int) {
	if !c.has(path) {
		return
	}
	most := maxUnavailable(q, members)
	switch {
	case most == 0:
		c.add(path, "a number of at least 1 or a larger share", "none of %d instances may be unavailable, so none can be maintained", members)
	case most > members:
		c.add(path, fmt.Sprintf("at most %d", members), "%d may be unavailable and the pool has %d", most, members)
	}
}

// shareTolerance absorbs the rounding error of a share given in per cent.
const shareTolerance = 1e-9

func minAvailable(q Quantity, members int) int {
	if q.IsShare {
		return int(math.Ceil(q.Share*float64(members) - shareTolerance))
	}
	return q.Number
}

func maxUnavailable(q Quantity, members int) int {
	if q.IsShare {
		return int(q.Share*float64(members) + shareTolerance)
	}
	return q.Number
}

// checkMaintenance requires that a wave can maintain every instance of each pool
// within the maintenance interval. Only soak time is counted, because the
// durations of drain and reboot vary.
func (c *checker) checkMaintenance() {
	c.checkPositive("maintenance.max_step", c.Maintenance.MaxStep)
	if !c.clean("maintenance") {
		return
	}
	policy := wavePolicy(c.Answers)
	for i, p := range c.Pools {
		members := c.members[p.Name]
		path := element("pools", i)
		if members == 0 || !c.clean(path+".budget") {
			continue
		}
		step := min(policy.MaxStep, allowedAtOnce(p.Budget, members))
		if step <= 0 {
			continue
		}
		if need := time.Duration((members+step-1)/step) * policy.Soak; need > policy.Every {
			c.add("maintenance", "a longer every, a shorter soak, or a wider budget",
				"pool %s has %d instances, %d at a time, so soaking alone takes %s, longer than the maintenance interval of %s", p.Name, members, step, need, policy.Every)
		}
	}
}

// allowedAtOnce returns how many members the budget allows to be unavailable at
// the same time.
func allowedAtOnce(b Budget, members int) int {
	n := members - minAvailable(b.MinAvailable, members)
	if most := maxUnavailable(b.MaxUnavailable, members); most > 0 {
		n = min(n, most)
	}
	return n
}

func (c *checker) checkLimits() {
	c.checkPositive("limits.slots_per_target", c.Limits.SlotsPerTarget)
	c.checkPositive("limits.connections_per_target", c.Limits.ConnectionsPerTarget)
	c.checkPositive("limits.max_claims", c.Limits.MaxClaims)
	if q := c.Limits.RetryShare; !q.IsShare && c.clean("limits.retry_share") && c.has("limits.retry_share") {
		c.add("limits.retry_share", "a share such as 10%", "%d is not a share", q.Number)
	}
	if !c.clean("limits") {
		return
	}
	if l := limits(c.Answers); l.SlotsPerTarget > l.ConnectionsPerTarget {
		c.add("limits", fmt.Sprintf("connections_per_target of at least %d", l.SlotsPerTarget),
			"a target has %d slots and only %d connections", l.SlotsPerTarget, l.ConnectionsPerTarget)
	}
}
