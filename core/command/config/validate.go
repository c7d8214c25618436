package config

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"lacewingturn.example/core/model"
)

// Problem is one reason to refuse a configuration.
type Problem struct {
	Path   string // path of the faulty value in the configuration
	Reason string
}

// String returns the path and the reason in one line.
func (p Problem) String() string { return p.Path + ": " + p.Reason }

// Validate returns every reason to refuse c; none if c is valid.
func Validate(c model.Config) []Problem {
	v := &validator{pools: map[model.PoolName]int{}}
	v.checkPools(c)
	v.checkInstances(c)
	v.checkBudgets(c)
	v.checkServices(c)
	v.checkLimits(c.Limits)
	v.checkWeights(c.Weights)
	v.checkTeams(c.Teams)
	v.checkWaves(c.Waves)
	return v.problems
}

type validator struct {
	problems []Problem
	pools    map[model.PoolName]int // number of instances declared in each pool
}

func (v *validator) add(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// maxNameLength is the maximum length of names. Names appear in URLs, headers and log lines.
const maxNameLength = 200

// MaxTimeout is the maximum default deadline of a request. Longer work must be submitted as a
// job.
const MaxTimeout = time.Hour

// checkName requires a name that needs no escaping in a URL path.
func (v *validator) checkName(path, name string) {
	if name == "" || len(name) > maxNameLength {
		v.add(path, "a name needs 1 to %d characters, %q has %d", maxNameLength, name, len(name))
		return
	}
	for _, r := range name {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_", r) {
			v.add(path, "the character %q of %q is not allowed; use letters, digits, '.', '-' and '_'", r, name)
			return
		}
	}
	if name == "." || name == ".." {
		v.add(path, "%q is not a name", name)
	}
}

// checkPaths refuses paths that can never match and paths that are declared both idempotent and
// not.
func (v *validator) checkPaths(path string, s model.Service) {
	for _, p := range slices.Concat(s.Idempotent, s.NonIdempotent) {
		if !strings.HasPrefix(p, "/") {
			v.add(path, "the path %q must start with /", p)
		}
	}
	for _, p := range s.NonIdempotent {
		if slices.Contains(s.Idempotent, p) {
			v.add(path, "the path %q is both idempotent and not", p)
		}
	}
}

func (v *validator) checkPools(c model.Config) {
	for _, p := range c.Pools {
		v.checkName("pools", string(p.Name))
		if _, dup := v.pools[p.Name]; dup {
			v.add("pools."+string(p.Name), "the name is used twice")
		}
		v.pools[p.Name] = 0
	}
}

func (v *validator) checkInstances(c model.Config) {
	seen := map[model.InstanceID]bool{}
	for _, i := range c.Instances {
		path := "instances." + string(i.ID)
		v.checkName("instances", string(i.ID))
		if seen[i.ID] {
			v.add(path, "the ID is used twice")
		}
		seen[i.ID] = true
		if _, ok := v.pools[i.Pool]; !ok {
			v.add(path+".pool", "there is no pool %q", i.Pool)
			continue
		}
		v.pools[i.Pool]++
		if i.Domain.DataCenter == "" || i.Domain.Rack == "" {
			v.add(path+".domain", "data centre and rack are needed")
		}
		if i.Capacity.MilliCPU <= 0 || i.Capacity.MemoryMB <= 0 || i.Capacity.Accelerators < 0 {
			v.add(path+".capacity", "processors and memory must be positive, accelerators not negative")
		}
	}
}

func (v *validator) checkBudgets(c model.Config) {
	for _, p := range c.Pools {
		v.checkBudget("pools."+string(p.Name)+".budget", p, v.pools[p.Name])
	}
}

// roundingTolerance allows for rounding errors of shares, as package budget does, so that 1/49 of
// 49 is 1 and not 0.
const roundingTolerance = 1e-9

// checkBudget refuses budgets under which no instance could ever be maintained.
func (v *validator) checkBudget(path string, p model.Pool, members int) {
	b := p.Budget
	if b.MinAvailable < 0 || b.MaxUnavailable < 0 || b.MaxPerRack < 0 || b.MaxPerDataCenter < 0 {
		v.add(path, "numbers must not be negative")
	}
	if !isShare(b.MinAvailableShare) || !isShare(b.MaxUnavailableShare) {
		v.add(path, "shares must be between 0 and 1")
		return
	}
	least := max(b.MinAvailable, int(math.Ceil(b.MinAvailableShare*float64(members)-roundingTolerance)))
	if members > 0 && least >= members {
		v.add(path, "%d of %d instances must stay available, so none can be maintained; lower the budget or add an instance", least, members)
	}
	if b.MaxUnavailableShare > 0 && members > 0 && int(b.MaxUnavailableShare*float64(members)+roundingTolerance) == 0 {
		v.add(path, "a share of %.3g of %d instances allows none to be unavailable", b.MaxUnavailableShare, members)
	}
}

func isShare(f float64) bool { return f >= 0 && f <= 1 }

func (v *validator) checkServices(c model.Config) {
	seen := map[model.ServiceName]bool{}
	for _, s := range c.Services {
		path := "services." + string(s.Name)
		v.checkName("services", string(s.Name))
		if seen[s.Name] {
			v.add(path, "the name is used twice")
		}
		seen[s.Name] = true
		if _, ok := v.pools[s.Pool]; !ok {
			v.add(path+".pool", "there is no pool %q", s.Pool)
		}
		if s.Timeout <= 0 || s.Timeout > MaxTimeout {
			v.add(path+".timeout", "must be above 0 and at most %s", MaxTimeout)
		}
		v.checkPaths(path, s)
		if s.QueueLimit <= 0 {
			v.add(path+".queue_limit", "must be positive")
		}
	}
}

func (v *validator) checkLimits(l model.Limits) {
	if l.SlotsPerTarget <= 0 || l.ConnectionsPerTarget < l.SlotsPerTarget {
		v.add("limits", "slots must be positive and connections at least as many")
	}
	if !isShare(l.RetryShare) {
		v.add("limits.retry_share", "must be between 0 and 1")
	}
	if l.KeyRetention <= 0 || l.MaxClaims <= 0 {
		v.add("limits", "key retention and the number of claims must be positive")
	}
}

func (v *validator) checkWeights(w model.Weights) {
	for _, f := range []float64{w.ShortWait, w.BufferCost, w.RollOut, w.Moves} {
		if !isShare(f) {
			v.add("weights", "each weight must be between 0 and 1")
			return
		}
	}
	if sum := w.ShortWait + w.BufferCost + w.RollOut + w.Moves; math.Abs(sum-1) > 1e-6 {
		v.add("weights", "the weights sum to %.3g, not to 1", sum)
	}
}

func (v *validator) checkTeams(teams []model.Team) {
	seen := map[model.TeamName]bool{}
	for _, t := range teams {
		v.checkName("teams", string(t.Name))
		if seen[t.Name] {
			v.add("teams."+string(t.Name), "the name is used twice")
		}
		seen[t.Name] = true
		if t.Quota.MilliCPU < 0 || t.Quota.MemoryMB < 0 || t.Quota.Accelerators < 0 {
			v.add("teams."+string(t.Name)+".quota", "must not be negative")
		}
	}
}

// checkWaves refuses negative values. Zero is accepted and stands for the default.
func (v *validator) checkWaves(w model.WavePolicy) {
	if min(w.Every, w.Soak, w.RebootTimeout, w.DrainTimeout) < 0 || w.MaxStep < 0 {
		v.add("waves", "durations and the step must not be negative")
	}
}
