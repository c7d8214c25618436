package answers

import (
	"fmt"
	"time"

	"lacewingturn.example/core/model"
)

// Defaults of optional answers. DefaultSlotsPerTarget and
// DefaultConnectionsPerTarget are the limits of a worker of the platform;
// DefaultRetryShare is a share of requests;
// DefaultMaxClaims counts kept outcomes; DefaultQueueLimit counts waiting requests of
// one caller at an entry instance; DefaultMaxStep counts instances of one pool. The
// defaults of the wave policy are those of the design page.
const (
	DefaultSlotsPerTarget       = 8
	DefaultConnectionsPerTarget = 64
	DefaultRetryShare           = 0.1
	DefaultKeyRetention         = 15 * time.Minute
	DefaultMaxClaims            = 100_000
	DefaultQueueLimit           = 64
	DefaultEvery                = 14 * 24 * time.Hour
	DefaultSoak                 = time.Minute
	DefaultRebootTimeout        = 10 * time.Minute
	DefaultDrainTimeout         = 10 * time.Minute
	DefaultMaxStep              = 2
)

// Units of capacity.
const (
	milliPerProcessor = 1000
	megabytesPerGB    = 1024
)

// Generate returns the configuration for answers that Read returned without
// problems. Equal answers give equal configurations; comments and the order of
// keys do not matter. Config.Sources records the answer behind each value.
func Generate(a *Answers) model.Config {
	g := &generator{a: a}
	g.config.Site = a.Site
	g.source("site", "site")
	g.pools()
	g.services()
	g.teams()
	g.goals()
	g.config.Waves = wavePolicy(a)
	g.config.Limits = limits(a)
	g.policySources()
	return g.config
}

type generator struct {
	a      *Answers
	config model.Config
}

// source records that the value at path was generated from answer.
func (g *generator) source(path, answer string) {
	g.config.Sources = append(g.config.Sources, model.Source{Path: path, Answer: answer})
}

// optional records the source of a value that has a default: answer, or the
// default if key is not in the file. key is the path in the file, with list
// indexes; answer is the path shown to operators, with names.
func (g *generator) optional(path, key, answer string) {
	if !g.a.has(key) {
		answer = "default of " + answer
	}
	g.source(path, answer)
}

func (g *generator) pools() {
	for i, p := range g.a.Pools {
		path, answer := "pools."+p.Name, "pools["+p.Name+"]"
		g.config.Pools = append(g.config.Pools, model.Pool{Name: model.PoolName(p.Name), Spare: p.Spare, Budget: budgetOf(p.Budget)})
		g.optional(path+".spare", element("pools", i)+".spare", answer+".spare")
		g.budgetSources(path+".budget", answer+".budget", p.Budget)
		for _, inst := range instancesOf(g.a, p) {
			g.config.Instances = append(g.config.Instances, model.InstanceSpec{
				ID: model.InstanceID(inst.ID), Pool: model.PoolName(p.Name),
				Domain:   model.Domain{Region: g.regionOf(inst.DataCentre), DataCenter: inst.DataCentre, Rack: inst.Rack},
				Capacity: g.capacityOf(p.Size),
			})
			g.source("instances."+inst.ID, fmt.Sprintf("%s.instances[%d] and instance_sizes[%s]", answer, inst.placement, p.Size))
		}
	}
}

func budgetOf(b Budget) model.Budget {
	out := model.Budget{MaxPerRack: b.MaxPerRack, MaxPerDataCenter: b.MaxPerDataCentre}
	if b.MinAvailable.IsShare {
		out.MinAvailableShare = b.MinAvailable.Share
	} else {
		out.MinAvailable = b.MinAvailable.Number
	}
	if b.MaxUnavailable.IsShare {
		out.MaxUnavailableShare = b.MaxUnavailable.Share
	} else {
		out.MaxUnavailable = b.MaxUnavailable.Number
	}
	return out
}

func (g *generator) budgetSources(path, answer string, b Budget) {
	for _, q := range []struct {
		key   string
		value Quantity
	}{
		{"min_available", b.MinAvailable}, {"max_unavailable", b.MaxUnavailable},
		{"max_per_rack", Quantity{Number: b.MaxPerRack}}, {"max_per_data_centre", Quantity{Number: b.MaxPerDataCentre}},
	} {
		switch {
		case q.value.IsShare:
			g.source(path+"."+q.key+"_share", answer+"."+q.key)
		case q.value.Number > 0:
			g.source(path+"."+q.key, answer+"."+q.key)
		}
	}
}

func (g *generator) regionOf(dataCentre string) string {
	for _, r := range g.a.Domains.Regions {
		for _, dc := range r.DataCentres {
			if dc.Name == dataCentre {
				return r.Name
			}
		}
	}
	return ""
}

func (g *generator) capacityOf(size string) model.Resources {
	for _, s := range g.a.Sizes {
		if s.Name == size {
			return resources(s.Processors, s.MemoryGB, s.Accelerators)
		}
	}
	return model.Resources{}
}

func resources(processors, memoryGB, accelerators int) model.Resources {
	return model.Resources{
		MilliCPU: int64(processors) * milliPerProcessor, MemoryMB: int64(memoryGB) * megabytesPerGB, Accelerators: int64(accelerators),
	}
}

func (g *generator) services() {
	for i, s := range g.a.Services {
		path, answer, key := "services."+s.Name, "services["+s.Name+"]", element("services", i)
		g.config.Services = append(g.config.Services, model.Service{
			Name: model.ServiceName(s.Name), Pool: model.PoolName(s.Pool),
			Idempotent: s.IdempotentPaths, NonIdempotent: s.NonIdempotentPaths,
			Timeout: time.Duration(s.Timeout), QueueLimit: or(s.QueueLimit, DefaultQueueLimit),
		})
		g.source(path+".pool", answer+".pool")
		g.source(path+".timeout", answer+".timeout")
		g.optional(path+".queue_limit", key+".queue_limit", answer+".queue_limit")
		g.optional(path+".idempotent", key+".idempotent_paths", answer+".idempotent_paths")
		g.optional(path+".non_idempotent", key+".non_idempotent_paths", answer+".non_idempotent_paths")
	}
}

func (g *generator) teams() {
	for _, t := range g.a.Teams {
		q := t.Quota
		g.config.Teams = append(g.config.Teams, model.Team{Name: model.TeamName(t.Name), Quota: resources(q.Processors, q.MemoryGB, q.Accelerators)})
		g.source("teams."+t.Name+".quota", "teams["+t.Name+"].quota")
	}
}

// goals normalizes the weights to a sum of 1.
func (g *generator) goals() {
	w := g.a.Goals
	sum := float64(w.ShortWorkWait + w.BufferCost + w.Rollout + w.Moves)
	g.config.Weights = model.Weights{
		ShortWait: float64(w.ShortWorkWait) / sum, BufferCost: float64(w.BufferCost) / sum,
		RollOut: float64(w.Rollout) / sum, Moves: float64(w.Moves) / sum,
	}
	g.source("weights.short_wait", "goals.short_work_wait")
	g.source("weights.buffer_cost", "goals.buffer_cost")
	g.source("weights.roll_out", "goals.rollout")
	g.source("weights.moves", "goals.moves")
}

func (g *generator) policySources() {
	for _, key := range []string{"every", "soak", "reboot_timeout", "drain_timeout", "max_step"} {
		g.optional("waves."+key, "maintenance."+key, "maintenance."+key)
	}
	for _, key := range []string{"slots_per_target", "connections_per_target", "retry_share", "key_retention", "max_claims"} {
		g.optional("limits."+key, "limits."+key, "limits."+key)
	}
}

func wavePolicy(a *Answers) model.WavePolicy {
	m := a.Maintenance
	return model.WavePolicy{
		Every: or(time.Duration(m.Every), DefaultEvery), Soak: or(time.Duration(m.Soak), DefaultSoak),
		RebootTimeout: or(time.Duration(m.RebootTimeout), DefaultRebootTimeout),
		DrainTimeout:  or(time.Duration(m.DrainTimeout), DefaultDrainTimeout),
		MaxStep:       or(m.MaxStep, DefaultMaxStep),
	}
}

func limits(a *Answers) model.Limits {
	l := a.Limits
	retry := DefaultRetryShare
	if a.has("limits.retry_share") {
		retry = l.RetryShare.Share
	}
	return model.Limits{
		SlotsPerTarget:       or(l.SlotsPerTarget, DefaultSlotsPerTarget),
		ConnectionsPerTarget: or(l.ConnectionsPerTarget, DefaultConnectionsPerTarget),
		RetryShare:           retry,
		KeyRetention:         or(time.Duration(l.KeyRetention), DefaultKeyRetention),
		MaxClaims:            or(l.MaxClaims, DefaultMaxClaims),
	}
}

// or returns v, or defaultValue if v is zero.
func or[T comparable](v, defaultValue T) T {
	var zero T
	if v == zero {
		return defaultValue
	}
	return v
}
