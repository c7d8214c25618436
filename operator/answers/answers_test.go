package answers

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/command/config"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

// valid is a small valid answers file. The expected positions below depend on its
// line numbers.
const valid = `site: small
failure_domains:
  instances_per_rack: 4
  regions:
    - name: west
      data_centres:
        - name: dc1
          racks: [r1, r2]
instance_sizes:
  - name: standard
    processors: 16
    memory_gb: 64
pools:
  - name: front
    size: standard
    instances:
      - {data_centre: dc1, count_per_rack: 2}
    budget: {min_available: 3, max_per_rack: 1}
services:
  - name: quotes
    pool: front
    timeout: 2s
    idempotent_paths: [/preview]
teams:
  - name: ledger
    quota: {processors: 16, memory_gb: 64}
goals: {short_work_wait: 1, buffer_cost: 1, rollout: 1, moves: 1}
maintenance:
  soak: 60s
limits:
  slots_per_target: 8
`

// Guards against an error in the answers that is missed or reported at the wrong
// position. Each case makes one change to the valid answers and expects exactly
// the listed problems.
func TestProblemsReportPositionAndHint(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           []string
	}{
		{"syntax", "site: small", "site: [small", []string{"2:1: not YAML"}},
		{"not a mapping", valid, "- a\n", []string{`1:1: a list is not a group of keys`}},
		{"empty", valid, "# nothing\n", []string{"1:1: the file is empty; write answers"}},
		{"second document", "limits:", "---\nlimits:", []string{"31:7: the file has a second document"}},
		{"unknown key", "    timeout: 2s", "    timeout: 2s\n    retries: 3", []string{`23:5: services[0].retries: unknown key "retries"; write one of name, pool, timeout`}},
		{"key twice", "    timeout: 2s", "    timeout: 2s\n    timeout: 3s", []string{`23:5: services[0].timeout: key "timeout" is given twice`}},
		{"missing key", "    timeout: 2s\n", "", []string{`20:5: services[0]: timeout is missing; write timeout: a duration such as 2s`}},
		{"text for number", "processors: 16\n", "processors: many\n", []string{`11:17: instance_sizes[0].processors: "many" is not a whole number; write the number of processors`}},
		{"fraction for number", "memory_gb: 64\n", "memory_gb: 6.5\n", []string{`12:16: instance_sizes[0].memory_gb: 6.5 is not a whole number`}},
		{"negative", "count_per_rack: 2", "count_per_rack: -2", []string{`17:44: pools[0].instances[0].count_per_rack: -2 is not between 0`}},
		{"number for text", "name: west", "name: 7", []string{`5:13: failure_domains.regions[0].name: 7 is not text; put it in quotes`}},
		{"list for text", "site: small", "site: [a]", []string{`1:7: site: a list is not text`}},
		{"text for list", "[r1, r2]", "r1", []string{`8:18: failure_domains.regions[0].data_centres[0].racks: "r1" is not a list`}},
		{"no value", "timeout: 2s", "timeout:", []string{`services[0].timeout: an empty value is not a duration`}},
		{"text for boolean", "    size: standard\n", "    size: standard\n    spare: maybe\n", []string{`16:12: pools[0].spare: "maybe" is neither true nor false`}},
		{"bad duration", "2s", "2 s", []string{`22:14: services[0].timeout: "2 s" is not a duration; write a duration such as 2s`}},
		{"bare number as duration", "2s", "2", []string{`22:14: services[0].timeout: 2 is not a duration`}},
		{"negative duration", "2s", "-2s", []string{`22:14: services[0].timeout: -2s is not between 1ms and 366d`}},
		{"long timeout", "2s", "2h", []string{`22:5: services[0].timeout: 2h0m0s is too long for a request`}},
		{"bad share", "min_available: 3", "min_available: 130%", []string{`18:29: pools[0].budget.min_available: 130% is not between 0% and 100%`}},
		{"anchor", "site: small", "site: &a small", []string{`1:7: site: anchors, aliases and tags are not used`}},
		{"bad name", "site: small", "site: Small Site", []string{`1:1: site: "Small Site" is not a name`}},
		{"name twice", "teams:", "  - {name: quotes, pool: front, timeout: 1s}\nteams:", []string{`24:6: services[1].name: the name "quotes" is used twice`}},
		{"empty list", "[r1, r2]", "[]", []string{`8:11: failure_domains.regions[0].data_centres[0].racks: the list is empty`}},
		{"unknown size", "    size: standard", "    size: large", []string{`15:5: pools[0].size: there is no instance size "large"; write one of standard`}},
		{"unknown data centre", "data_centre: dc1", "data_centre: dc9", []string{`17:10: pools[0].instances[0].data_centre: there is no data centre "dc9"`}},
		{"unknown rack", "count_per_rack: 2", "racks: [r9], count_per_rack: 2", []string{`17:36: pools[0].instances[0].racks[0]: data centre dc1 has no rack "r9"; write one of r1, r2`}},
		{"rack twice", "count_per_rack: 2", "racks: [r1, r1], count_per_rack: 2", []string{`17:40: pools[0].instances[0].racks[1]: rack r1 is listed twice`}},
		{"rack overfull", "count_per_rack: 2", "count_per_rack: 5", []string{"17:10: pools[0].instances[0]: rack r1 of dc1 holds 4", "17:10: pools[0].instances[0]: rack r2 of dc1 holds 4"}},
		{"count and names", "count_per_rack: 2", "count_per_rack: 2, names: [a]", []string{`17:47: pools[0].instances[0].names: both a count and names`}},
		{"neither count nor names", ", count_per_rack: 2", "", []string{`17:10: pools[0].instances[0]: the number of instances is missing`}},
		{"names in two racks", "count_per_rack: 2", "names: [a, b]", []string{`17:28: pools[0].instances[0].names: named instances need one rack, not 2`}},
		{"instance twice", "count_per_rack: 2", "racks: [r1], names: [a, a, b, c]", []string{`17:52: pools[0].instances[0].names[1]: the name "a" is used twice`}},
		{"millions of instances", "count_per_rack: 2", "count_per_rack: 9999999", []string{`17:10: pools[0].instances[0]: there are 19999998 instances`}},
		{"only instance must stay available", "count_per_rack: 2}\n    budget: {min_available: 3,", "racks: [r1], count_per_rack: 1}\n    budget: {min_available: 1,",
			[]string{`18:14: pools[0].budget.min_available: the pool has one instance, which must stay available, so it can never be maintained; write 0, or add an instance`}},
		{"all instances must stay available", "min_available: 3", "min_available: 100%", []string{`18:14: pools[0].budget.min_available: all 4 instances must stay available`}},
		{"min_available above size of pool", "min_available: 3", "min_available: 5", []string{`18:14: pools[0].budget.min_available: 5 must stay available and the pool has 4`}},
		{"max_unavailable below one instance", "min_available: 3", "max_unavailable: 10%", []string{`18:14: pools[0].budget.max_unavailable: none of 4 instances may be unavailable`}},
		{"max_unavailable above size of pool", "min_available: 3", "max_unavailable: 6", []string{`18:14: pools[0].budget.max_unavailable: 6 may be unavailable and the pool has 4`}},
		{"budget without limit", "min_available: 3, ", "", []string{`18:5: pools[0].budget: the budget limits nothing`}},
		{"rack above data centre", "max_per_rack: 1", "max_per_rack: 2, max_per_data_centre: 1", []string{`18:32: pools[0].budget.max_per_rack: a rack may have 2`}},
		{"zero limit", "max_per_rack: 1", "max_per_rack: 0", []string{`18:32: pools[0].budget.max_per_rack: 0 is not possible; write a number of at least 1`}},
		{"unknown pool", "pool: front", "pool: back", []string{`21:5: services[0].pool: there is no pool "back"; write one of front`}},
		{"service on spare pool", "    size: standard\n", "    size: standard\n    spare: true\n", []string{`22:5: services[0].pool: pool front is spare`}},
		{"bad path", "[/preview]", "[preview]", []string{`23:24: services[0].idempotent_paths[0]: "preview" is not a path`}},
		{"path in both lists", "    idempotent_paths: [/preview]", "    idempotent_paths: [/preview]\n    non_idempotent_paths: [/preview]", []string{`24:28: services[0].non_idempotent_paths[0]: /preview is both`}},
		{"quota beyond the fleet", "quota: {processors: 16,", "quota: {processors: 65,", []string{`26:13: teams[0].quota.processors: the quota is 65 and all instances together have 64; write at most 64`}},
		{"no goal", "{short_work_wait: 1, buffer_cost: 1, rollout: 1, moves: 1}", "{short_work_wait: 0, buffer_cost: 0, rollout: 0, moves: 0}", []string{`27:1: goals: all weights are 0`}},
		{"goal too large", "short_work_wait: 1", "short_work_wait: 101", []string{`27:9: goals.short_work_wait: 101 is too large`}},
		{"wave longer than its interval", "soak: 60s", "soak: 5d", []string{`28:1: maintenance: pool front has 4 instances, 1 at a time, so soaking alone takes 480h0m0s, longer than the maintenance interval of 336h0m0s`}},
		{"retry share as number", "slots_per_target: 8", "retry_share: 3", []string{`31:3: limits.retry_share: 3 is not a share; write a share such as 10%`}},
		{"more slots than connections", "slots_per_target: 8", "slots_per_target: 99", []string{`30:1: limits: a target has 99 slots and only 64 connections`}},
		{"several problems", "site: small", "site: Small\ncolour: red", []string{`1:1: site: "Small" is not a name`, `2:1: colour: unknown key "colour"`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(valid, c.old))
			_, problems := Read([]byte(strings.Replace(valid, c.old, c.new, 1)))
			var got []string
			for _, p := range problems {
				got = append(got, p.String())
			}
			assert.Equal(t, len(got), len(c.want), "%s", strings.Join(got, "\n"))
			for i, w := range c.want {
				assert.Assert(t, strings.Contains(got[i], w), "got  %s\nwant %s", got[i], w)
			}
		})
	}
}

// Guards against two instances with the same generated ID. Pool and data centre
// names may contain the separator, so a-b and c give the same ID as a and b-c.
func TestGeneratedIDsAreUnique(t *testing.T) {
	text := strings.NewReplacer(
		"- name: dc1", "- {name: b-c, racks: [r1]}\n        - {name: c, racks: [r1]}\n        - name: dc1",
		"- name: front", "- {name: a, size: standard, instances: [{data_centre: b-c, count_per_rack: 2}], budget: {max_unavailable: 1}}\n"+
			"  - {name: a-b, size: standard, instances: [{data_centre: c, count_per_rack: 2}], budget: {max_unavailable: 1}}\n  - name: front",
	).Replace(valid)
	_, problems := Read([]byte(text))
	assert.Equal(t, len(problems), 2)
	assert.Equal(t, problems[0].Reason, "the generated ID a-b-c-r1-1 is used twice")
}

func mustRead(t *testing.T, data []byte) *Answers {
	t.Helper()
	a, problems := Read(data)
	assert.Equal(t, len(problems), 0, "%v", problems)
	return a
}

// Guards against samples that the check of this package or the check of the
// replicated command AcceptConfig rejects, and against samples that no longer
// match the sites they describe: 48 instances of which 8 are spare, in 12 racks of
// 4, and 5 services.
func TestSamplesAreValid(t *testing.T) {
	assert.DeepEqual(t, Samples(), []string{"karaoke", "skoflikk"})
	processors := map[string]int64{"karaoke": 32_000, "skoflikk": 16_000}
	for _, name := range Samples() {
		data, err := Sample(name)
		assert.NilError(t, err)
		c := Generate(mustRead(t, data))
		assert.Equal(t, len(config.Validate(c)), 0, "%v", config.Validate(c))
		assert.Equal(t, c.Site, name)
		assert.Equal(t, len(c.Services), 5)
		racks, spare := map[model.Domain]int{}, 0
		for _, i := range c.Instances {
			racks[i.Domain]++
			assert.Equal(t, i.Capacity, model.Resources{MilliCPU: processors[name], MemoryMB: 65536})
			if i.Pool == "spare" {
				spare++
			}
		}
		assert.Equal(t, len(c.Instances), 48)
		assert.Equal(t, spare, 8)
		assert.Equal(t, len(racks), 12)
		for d, n := range racks {
			assert.Equal(t, n, 4, "%v", d)
		}
		assert.Equal(t, c.Limits, model.Limits{SlotsPerTarget: 8, ConnectionsPerTarget: 64, RetryShare: 0.1, KeyRetention: DefaultKeyRetention, MaxClaims: 100000})
	}
	_, err := Sample("other")
	assert.ErrorContains(t, err, "karaoke, skoflikk")
}

// Guards against sample weights that favour the wrong goal. Short waits have the
// highest weight in skoflikk, low buffer cost and few moves in karaoke.
func TestSampleWeights(t *testing.T) {
	weights := func(name string) model.Weights {
		data, _ := Sample(name)
		return Generate(mustRead(t, data)).Weights
	}
	s, k := weights("skoflikk"), weights("karaoke")
	assert.Assert(t, s.ShortWait > s.BufferCost+s.RollOut+s.Moves)
	assert.Assert(t, min(k.BufferCost, k.Moves) > max(k.ShortWait, k.RollOut))
}

// Guards against a configuration that differs between two runs, or that depends on
// comments or the order of keys. Operators would be shown a change where there is
// none.
func TestGenerateIsByteIdentical(t *testing.T) {
	encode := func(text string) string {
		data, err := codec.EncodeEnvelope(model.Envelope{Command: model.AcceptConfig{Config: Generate(mustRead(t, []byte(text)))}})
		assert.NilError(t, err)
		return string(data)
	}
	first := encode(valid)
	for range 20 {
		assert.Assert(t, encode(valid) == first)
	}
	lines := strings.SplitAfter(valid, "\n")
	reordered := "# a comment\n" + strings.Join(slices.Concat(lines[18:], lines[:18]), "")
	assert.Assert(t, encode(reordered) == first)
}

// Guards against a generated value without a record of the answer or the default
// that it came from.
func TestEveryValueRecordsItsAnswer(t *testing.T) {
	c := Generate(mustRead(t, []byte(valid)))
	sources := map[string]string{}
	for _, l := range query.ConfigLines(c) {
		assert.Assert(t, l.Answer != "", l.Path)
		sources[l.Path] = l.Answer
	}
	assert.Equal(t, len(sources), len(c.Sources))
	for path, answer := range map[string]string{
		"pools.front.budget.min_available": "pools[front].budget.min_available",
		"instances.front-dc1-r1-1":         "pools[front].instances[0] and instance_sizes[standard]",
		"services.quotes.timeout":          "services[quotes].timeout",
		"services.quotes.queue_limit":      "default of services[quotes].queue_limit",
		"waves.soak":                       "maintenance.soak",
		"waves.every":                      "default of maintenance.every",
		"limits.slots_per_target":          "limits.slots_per_target",
		"weights.short_wait":               "goals.short_work_wait",
		"teams.ledger.quota":               "teams[ledger].quota",
	} {
		assert.Equal(t, sources[path], answer, path)
	}
}

// FuzzRead guards against answers files that make Read panic or hang, and against
// answers that Read accepts although the replicated command AcceptConfig would
// reject the configuration generated from them.
func FuzzRead(f *testing.F) {
	for _, name := range Samples() {
		data, _ := Sample(name)
		f.Add(data)
	}
	f.Add([]byte(valid))
	f.Add([]byte("site: &a [*a]\n? x\n: !!int y\n<<: z"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, problems := Read(data)
		for _, p := range problems {
			if p.Line < 1 || p.Column < 0 || p.Reason == "" {
				t.Fatalf("%+v", p)
			}
		}
		if len(problems) == 0 {
			if rejected := config.Validate(Generate(a)); len(rejected) > 0 {
				t.Fatal(rejected)
			}
		}
	})
}
