package query

import (
	"time"

	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/model"
)

// PoolsView is the body of the pools query.
type PoolsView struct {
	Pools       []PoolEntry       `json:"pools"`
	Instances   []InstanceEntry   `json:"instances"`
	WorkerPools []WorkerPoolEntry `json:"worker_pools"`
}

// PoolEntry is one pool and its budget.
type PoolEntry struct {
	Name      string `json:"name"`
	Spare     bool   `json:"spare"`
	Members   int    `json:"members"`
	Available int    `json:"available"`
	Keep      int    `json:"keep"`     // instances that must stay available
	Headroom  int    `json:"headroom"` // instances that may still go; negative when the budget is broken
	Lent      int    `json:"lent"`     // own instances that are in other pools
	Borrowed  int    `json:"borrowed"` // members that belong to other pools
}

// InstanceEntry is one instance.
type InstanceEntry struct {
	ID          string    `json:"id"`
	Pool        string    `json:"pool"`
	Home        string    `json:"home"` // the pool that lent it; empty if it is not lent
	DataCentre  string    `json:"data_centre"`
	Rack        string    `json:"rack"`
	Phase       string    `json:"phase"`
	Since       time.Time `json:"since"`
	HeldBy      string    `json:"held_by"`
	Operation   string    `json:"operation"`
	Maintained  time.Time `json:"maintained"`
	Quarantined bool      `json:"quarantined"`
	Retiring    bool      `json:"retiring"`
}

// Pools returns the pools and their instances; a name selects one pool. It
// reports false if there is no pool of that name.
func Pools(s model.State, name model.PoolName) (PoolsView, bool) {
	v := PoolsView{Pools: []PoolEntry{}, Instances: []InstanceEntry{}, WorkerPools: workerPools(s, name, s.Clock)}
	lent, borrowed := map[model.PoolName]int{}, map[model.PoolName]int{}
	for _, i := range s.Instances.All() {
		if i.Home != "" {
			lent[i.Home]++
			borrowed[i.Pool]++
		}
		if name == "" || i.Pool == name {
			v.Instances = append(v.Instances, instanceEntry(i))
		}
	}
	if s.Config == nil {
		return v, name == "" || len(v.WorkerPools) > 0
	}
	usage := budget.ForState(s)
	for _, p := range s.Config.Pools {
		if u := usage[p.Name]; name == "" || p.Name == name {
			v.Pools = append(v.Pools, PoolEntry{
				Name: string(p.Name), Spare: p.Spare, Members: u.Members, Available: u.Available, Keep: u.MinAvailable(),
				Headroom: u.Headroom(), Lent: lent[p.Name], Borrowed: borrowed[p.Name],
			})
		}
	}
	return v, name == "" || len(v.Pools)+len(v.WorkerPools) > 0
}

func instanceEntry(i model.Instance) InstanceEntry {
	return InstanceEntry{
		ID: string(i.ID), Pool: string(i.Pool), Home: string(i.Home), DataCentre: i.Domain.DataCenter, Rack: i.Domain.Rack,
		Phase: i.Phase.String(), Since: timeOf(i.PhaseSince), HeldBy: i.HeldBy, Operation: string(i.Operation),
		Maintained: timeOf(i.Maintained), Quarantined: i.Quarantined, Retiring: i.Retiring,
	}
}
