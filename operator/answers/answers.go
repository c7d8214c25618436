// Package answers reads the answers file of a site, checks it, and generates the
// configuration from it. The answers file is YAML; every error is reported with
// its line, its column and what to write instead.
package answers

import (
	"strconv"
	"time"
)

// Answers is the content of an answers file. In the struct tags, "answer" is the
// key in the file, "need" marks a required key, and "write" is the hint shown
// when the value is missing or invalid.
type Answers struct {
	Site        string      `answer:"site" need:"yes" write:"the name of the site, such as skoflikk"`
	Domains     Domains     `answer:"failure_domains" need:"yes" write:"the regions, data centres and racks of the site"`
	Sizes       []Size      `answer:"instance_sizes" need:"yes" write:"a list of sizes, each with name, processors and memory_gb"`
	Pools       []Pool      `answer:"pools" need:"yes" write:"a list of pools, each with name, size, instances and budget"`
	Services    []Service   `answer:"services" need:"yes" write:"a list of services, each with name, pool and timeout"`
	Teams       []Team      `answer:"teams" write:"a list of teams, each with name and quota"`
	Goals       Goals       `answer:"goals" need:"yes" write:"the weights of short_work_wait, buffer_cost, rollout and moves"`
	Maintenance Maintenance `answer:"maintenance" write:"the maintenance policy"`
	Limits      Limits      `answer:"limits" write:"the limits of traffic"`

	// positions maps the path of each key to its position in the file.
	positions map[string]Position
}

// Domains are the failure domains of the site: regions, data centres and racks.
// InstancesPerRack is optional; 0, its value when left out, means no limit.
type Domains struct {
	InstancesPerRack int      `answer:"instances_per_rack" write:"how many instances a rack holds, such as 4"`
	Regions          []Region `answer:"regions" need:"yes" write:"a list of regions, each with name and data_centres"`
}

// Region is a group of data centres. Its name is unique in the site.
type Region struct {
	Name        string       `answer:"name" need:"yes" write:"the name of the region, such as west"`
	DataCentres []DataCentre `answer:"data_centres" need:"yes" write:"a list of data centres, each with name and racks"`
}

// DataCentre is a group of racks. Its name is unique in the site, the names of
// its racks only within it.
type DataCentre struct {
	Name  string   `answer:"name" need:"yes" write:"the name of the data centre, such as dc1"`
	Racks []string `answer:"racks" need:"yes" write:"a list of rack names, such as [r1, r2]"`
}

// Size is the capacity of one instance.
type Size struct {
	Name         string `answer:"name" need:"yes" write:"the name of the size, such as standard"`
	Processors   int    `answer:"processors" need:"yes" write:"the number of processors, such as 16"`
	MemoryGB     int    `answer:"memory_gb" need:"yes" write:"the memory in GB, such as 64"`
	Accelerators int    `answer:"accelerators" write:"the number of accelerators, such as 1"`
}

// Pool is a group of instances with one availability budget.
type Pool struct {
	Name      string      `answer:"name" need:"yes" write:"the name of the pool, such as counter"`
	Spare     bool        `answer:"spare" write:"true if the pool lends its instances to others, else false"`
	Size      string      `answer:"size" need:"yes" write:"the name of one of instance_sizes"`
	Instances []Placement `answer:"instances" need:"yes" write:"a list of places, each with data_centre and count_per_rack or names"`
	Budget    Budget      `answer:"budget" need:"yes" write:"min_available or max_unavailable, as a number or a share such as 75%"`
}

// Placement declares instances of a pool in one data centre: a count in each of
// the racks, or names in a single rack.
type Placement struct {
	DataCentre   string   `answer:"data_centre" need:"yes" write:"the name of a data centre of failure_domains"`
	Racks        []string `answer:"racks" write:"a list of racks of the data centre; all of them if left out"`
	CountPerRack int      `answer:"count_per_rack" write:"the number of instances in each of the racks, such as 1"`
	Names        []string `answer:"names" write:"the names of the instances in the rack"`
}

// Budget limits how many instances of a pool may be unavailable.
type Budget struct {
	MinAvailable     Quantity `answer:"min_available" write:"a number such as 6 or a share such as 75%"`
	MaxUnavailable   Quantity `answer:"max_unavailable" write:"a number such as 2 or a share such as 25%"`
	MaxPerRack       int      `answer:"max_per_rack" write:"a number of at least 1"`
	MaxPerDataCentre int      `answer:"max_per_data_centre" write:"a number of at least 1"`
}

// Service is a group of targets that do the same work.
type Service struct {
	Name               string   `answer:"name" need:"yes" write:"the name of the service, such as tickets"`
	Pool               string   `answer:"pool" need:"yes" write:"the name of one of pools"`
	Timeout            Duration `answer:"timeout" need:"yes" write:"a duration such as 2s"`
	QueueLimit         int      `answer:"queue_limit" write:"how many requests of a caller may wait at an entry instance, such as 64"`
	IdempotentPaths    []string `answer:"idempotent_paths" write:"a list of paths whose POST and PATCH requests may be repeated, such as [/preview]"`
	NonIdempotentPaths []string `answer:"non_idempotent_paths" write:"a list of paths whose PUT, DELETE or GET requests must not be repeated, such as [/charge]"`
}

// Team is a group of users whose jobs share one quota.
type Team struct {
	Name  string `answer:"name" need:"yes" write:"the name of the team, such as ledger"`
	Quota Quota  `answer:"quota" need:"yes" write:"processors and memory_gb, and accelerators if any"`
}

// Quota is the capacity that the jobs of a team may use at a time.
type Quota struct {
	Processors   int `answer:"processors" need:"yes" write:"the number of processors, such as 64"`
	MemoryGB     int `answer:"memory_gb" need:"yes" write:"the memory in GB, such as 256"`
	Accelerators int `answer:"accelerators" write:"the number of accelerators, such as 1"`
}

// Goals are the weights of objectives that compete with each other. Only their
// ratios count.
type Goals struct {
	ShortWorkWait int `answer:"short_work_wait" need:"yes" write:"a weight from 0 to 100"`
	BufferCost    int `answer:"buffer_cost" need:"yes" write:"a weight from 0 to 100"`
	Rollout       int `answer:"rollout" need:"yes" write:"a weight from 0 to 100"`
	Moves         int `answer:"moves" need:"yes" write:"a weight from 0 to 100"`
}

// Maintenance is the policy of maintenance waves. Every key is optional; the Default
// constants of this package apply to those left out.
type Maintenance struct {
	Every         Duration `answer:"every" write:"how often each instance is maintained, such as 14d"`
	Soak          Duration `answer:"soak" write:"how long a repaired instance is watched, such as 60s"`
	RebootTimeout Duration `answer:"reboot_timeout" write:"when an instance that did not come back counts as failed, such as 10m"`
	DrainTimeout  Duration `answer:"drain_timeout" write:"how long work in flight may take to end, such as 10m"`
	MaxStep       int      `answer:"max_step" write:"how many instances of one pool may be maintained at once, such as 2"`
}

// Limits apply to the traffic of every service. Every key is optional; the Default
// constants of this package apply to those left out.
type Limits struct {
	SlotsPerTarget       int      `answer:"slots_per_target" write:"the requests that a target runs at once, such as 8"`
	ConnectionsPerTarget int      `answer:"connections_per_target" write:"the connections that a target accepts, such as 64"`
	RetryShare           Quantity `answer:"retry_share" write:"retries as a share of requests, such as 10%"`
	KeyRetention         Duration `answer:"key_retention" write:"how long outcomes of non-idempotent requests are kept, such as 15m"`
	MaxClaims            int      `answer:"max_claims" write:"how many of these outcomes are kept, such as 100000"`
}

// Quantity is either a number or a share, for example of the instances of a pool.
type Quantity struct {
	Number  int
	Share   float64 // 0 to 1
	IsShare bool    // the answer is a share; Number is unused
}

// Duration is a time.Duration that is written with a unit in the file: any unit
// of time.ParseDuration, or d for whole days.
type Duration time.Duration

// Position is a location in the file; Line and Column start at 1.
type Position struct{ Line, Column int }

// has reports whether the key at path is in the file.
func (a *Answers) has(path string) bool {
	_, ok := a.positions[path]
	return ok
}

// lookup returns the position of path, or of its nearest ancestor in the file. It
// returns the start of the file if there is none.
func lookup(positions map[string]Position, path string) Position {
	for p := path; p != ""; p = parent(p) {
		if pos, ok := positions[p]; ok {
			return pos
		}
	}
	return Position{1, 1}
}

// parent removes the last key or index from a path.
func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

// element returns the path of an element of a list.
func element(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }
