package answers

import (
	"fmt"
	"slices"
	"strings"
)

// site holds the values given in the interview.
type site struct {
	Name, Region            string
	DataCentres, Services   []string
	Racks, InstancesPerRack int
	Processors, MemoryGB    int
	Spare, MinAvailable     int // instances; per cent of a pool
	Goal                    string
}

// render returns the answers file with comments.
func (s site) render() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "site: %s\n\nfailure_domains:\n  instances_per_rack: %d\n  regions:\n    - name: %s\n      data_centres:\n", s.Name, s.InstancesPerRack, s.Region)
	for _, c := range s.DataCentres {
		fmt.Fprintf(&b, "        - name: %s\n          racks: [%s]\n", c, strings.Join(s.racks(), ", "))
	}
	fmt.Fprintf(&b, "\ninstance_sizes:\n  - name: standard\n    processors: %d\n    memory_gb: %d\n", s.Processors, s.MemoryGB)
	b.WriteString("\n# One pool for each service; the spare pool lends instances to the others.\npools:\n")
	s.renderPools(&b)
	b.WriteString("\n# POST and PATCH requests run at most once, unless their path is listed under\n# idempotent_paths.\nservices:\n")
	for _, name := range s.Services {
		fmt.Fprintf(&b, "  - name: %s\n    pool: %s\n    timeout: 5s\n", name, name)
	}
	b.WriteString("\n# Only the ratios of the weights count.\ngoals:\n")
	for _, g := range goals {
		weight := 1
		if g == s.Goal {
			weight = 4
		}
		fmt.Fprintf(&b, "  %s: %d\n", g, weight)
	}
	b.WriteString("\nmaintenance:\n  every: 14d\n  soak: 60s\n")
	return []byte(b.String())
}

func (s site) racks() []string {
	racks := make([]string, s.Racks)
	for i := range racks {
		racks[i] = fmt.Sprintf("r%d", i+1)
	}
	return racks
}

// rackID identifies a rack of a data centre.
type rackID struct{ dataCentre, rack string }

// renderPools distributes the instances round-robin, so that each pool is spread
// over the data centres first and over their racks second.
func (s site) renderPools(b *strings.Builder) {
	var free []rackID
	for range s.InstancesPerRack {
		for _, r := range s.racks() {
			for _, c := range s.DataCentres {
				free = append(free, rackID{c, r})
			}
		}
	}
	serving := len(free) - s.Spare
	for i, name := range s.Services {
		n := serving / len(s.Services)
		if i < serving%len(s.Services) {
			n++
		}
		s.renderPool(b, name, false, free[:n])
		free = free[n:]
	}
	if s.Spare > 0 {
		s.renderPool(b, s.spareName(), true, free)
	}
}

func (s site) spareName() string {
	name := "spare"
	for slices.Contains(s.Services, name) {
		name += "-pool"
	}
	return name
}

func (s site) renderPool(b *strings.Builder, name string, spare bool, racks []rackID) {
	fmt.Fprintf(b, "  - name: %s\n", name)
	if spare {
		b.WriteString("    spare: true\n")
	}
	b.WriteString("    size: standard\n    instances:\n")
	counts := map[rackID]int{}
	for _, p := range racks {
		counts[p]++
	}
	for _, c := range s.DataCentres {
		for _, r := range s.racks() {
			if n := counts[rackID{c, r}]; n > 0 {
				fmt.Fprintf(b, "      - {data_centre: %s, racks: [%s], count_per_rack: %d}\n", c, r, n)
			}
		}
	}
	if spare {
		b.WriteString("    budget:\n      max_unavailable: 100%\n")
		return
	}
	fmt.Fprintf(b, "    budget:\n      min_available: %d%%\n", s.MinAvailable)
}
