package query

import (
	"fmt"
	"strconv"
	"strings"

	"lacewingturn.example/core/model"
)

// ConfigLine is one value of a configuration and the answer that it was derived from.
type ConfigLine struct {
	Path   string `json:"path"`
	Value  string `json:"value"`
	Answer string `json:"answer"`
}

// ConfigLines returns the values of a configuration in a fixed order, each with the
// answer that it was derived from.
func ConfigLines(c model.Config) []ConfigLine {
	l := &lineBuilder{answers: make(map[string]string, len(c.Sources))}
	for _, s := range c.Sources {
		l.answers[s.Path] = s.Answer
	}
	l.add("site", "%s", c.Site)
	for _, p := range c.Pools {
		l.pool(p)
	}
	for _, i := range c.Instances {
		l.add("instances."+string(i.ID), "pool %s in %s/%s/%s with %s", i.Pool, i.Domain.Region, i.Domain.DataCenter, i.Domain.Rack, Capacity(i.Capacity))
	}
	for _, s := range c.Services {
		l.service(s)
	}
	for _, t := range c.Teams {
		l.add("teams."+string(t.Name)+".quota", "%s", Capacity(t.Quota))
	}
	l.policy(c)
	return l.lines
}

type lineBuilder struct {
	answers map[string]string
	lines   []ConfigLine
}

func (l *lineBuilder) add(path, format string, args ...any) {
	l.lines = append(l.lines, ConfigLine{Path: path, Value: fmt.Sprintf(format, args...), Answer: l.answers[path]})
}

func (l *lineBuilder) pool(p model.Pool) {
	path := "pools." + string(p.Name)
	l.add(path+".spare", "%t", p.Spare)
	b := p.Budget
	for _, n := range []struct {
		key   string
		value int
	}{{"min_available", b.MinAvailable}, {"max_unavailable", b.MaxUnavailable}, {"max_per_rack", b.MaxPerRack}, {"max_per_data_centre", b.MaxPerDataCenter}} {
		if n.value > 0 {
			l.add(path+".budget."+n.key, "%d", n.value)
		}
	}
	if b.MinAvailableShare > 0 {
		l.add(path+".budget.min_available_share", "%s", percent(b.MinAvailableShare))
	}
	if b.MaxUnavailableShare > 0 {
		l.add(path+".budget.max_unavailable_share", "%s", percent(b.MaxUnavailableShare))
	}
}

func (l *lineBuilder) service(s model.Service) {
	path := "services." + string(s.Name)
	l.add(path+".pool", "%s", s.Pool)
	l.add(path+".timeout", "%s", s.Timeout)
	l.add(path+".queue_limit", "%d", s.QueueLimit)
	l.add(path+".idempotent", "[%s]", strings.Join(s.Idempotent, ", "))
	l.add(path+".non_idempotent", "[%s]", strings.Join(s.NonIdempotent, ", "))
}

func (l *lineBuilder) policy(c model.Config) {
	w, v, t := c.Weights, c.Waves, c.Limits
	l.add("weights.short_wait", "%s", percent(w.ShortWait))
	l.add("weights.buffer_cost", "%s", percent(w.BufferCost))
	l.add("weights.roll_out", "%s", percent(w.RollOut))
	l.add("weights.moves", "%s", percent(w.Moves))
	l.add("waves.every", "%s", v.Every)
	l.add("waves.soak", "%s", v.Soak)
	l.add("waves.reboot_timeout", "%s", v.RebootTimeout)
	l.add("waves.drain_timeout", "%s", v.DrainTimeout)
	l.add("waves.max_step", "%d", v.MaxStep)
	l.add("limits.slots_per_target", "%d", t.SlotsPerTarget)
	l.add("limits.connections_per_target", "%d", t.ConnectionsPerTarget)
	l.add("limits.retry_share", "%s", percent(t.RetryShare))
	l.add("limits.key_retention", "%s", t.KeyRetention)
	l.add("limits.max_claims", "%d", t.MaxClaims)
}

// percent formats a fraction as a percentage with at most two decimals.
func percent(f float64) string {
	s := strconv.FormatFloat(f*100, 'f', 2, 64)
	return strings.TrimRight(strings.TrimRight(s, "0"), ".") + "%"
}

// Capacity formats resources for display, such as "4 processors, 4096 MB".
// Accelerators are left out if there are none.
func Capacity(r model.Resources) string {
	s := fmt.Sprintf("%g processors, %d MB", float64(r.MilliCPU)/1000, r.MemoryMB)
	if r.Accelerators > 0 {
		s += fmt.Sprintf(", %d accelerators", r.Accelerators)
	}
	return s
}
