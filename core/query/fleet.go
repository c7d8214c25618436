package query

import (
	"slices"

	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/model"
)

// PoolStatus is a pool with what its budget leaves.
type PoolStatus struct {
	Name      model.PoolName
	Spare     bool
	Members   int
	Available int
	// Least is how many members must stay available; Headroom is how many more
	// may be taken, negative when faults have broken the budget.
	Least    int
	Headroom int
	Arriving int // on the way in, counted for no budget
	LentIn   int
	LentOut  int
	Retiring int
	// Out counts the unavailable members by phase.
	Out map[string]int
}

// Pools returns the pools in the order of the configuration.
func Pools(s model.State) []PoolStatus {
	if s.Config == nil {
		return nil
	}
	usage := budget.All(s)
	out := make([]PoolStatus, len(s.Config.Pools))
	place := map[model.PoolName]*PoolStatus{}
	for n, p := range s.Config.Pools {
		u := usage[p.Name]
		out[n] = PoolStatus{
			Name: p.Name, Spare: p.Spare, Members: u.Members, Available: u.Available,
			Least: u.Least(), Headroom: u.Headroom(), Out: map[string]int{},
		}
		place[p.Name] = &out[n]
	}
	for _, i := range s.Instances.All() {
		if p, ok := place[i.Pool]; ok {
			p.count(i)
		}
		if home, ok := place[i.Home]; ok {
			home.LentOut++
		}
	}
	return out
}

func (p *PoolStatus) count(i model.Instance) {
	if i.Phase == model.PhaseArriving {
		p.Arriving++
	} else if !i.Available() {
		p.Out[i.Phase.String()]++
	}
	if i.Home != "" {
		p.LentIn++
	}
	if i.Retiring {
		p.Retiring++
	}
}

// WaveStatus is a wave with the reason why it does not go on, if any.
type WaveStatus struct {
	model.Wave
	// Waiting explains what a running wave waits for, or why it stopped.
	Waiting []string
}

// Waves returns the waves, those that have not ended first, then by time of start.
func Waves(s model.State, o model.Observations, now model.Timestamp) []WaveStatus {
	var out []WaveStatus
	for _, w := range s.Waves.All() {
		out = append(out, WaveStatus{Wave: w, Waiting: ExplainWave(s, o, w.ID, now)})
	}
	slices.SortStableFunc(out, func(a, b WaveStatus) int {
		if a.Phase.Ended() != b.Phase.Ended() {
			if b.Phase.Ended() {
				return -1
			}
			return 1
		}
		return int(b.StartedAt - a.StartedAt)
	})
	return out
}

// Moves returns the moves, the latest change first.
func Moves(s model.State) []model.Move {
	out := s.Moves.Values()
	slices.SortStableFunc(out, func(a, b model.Move) int { return int(b.Since - a.Since) })
	return out
}

// LeasesByInstance counts the jobs that hold a lease on each instance.
func LeasesByInstance(s model.State) map[model.InstanceID]int {
	out := map[model.InstanceID]int{}
	for _, j := range s.Jobs.All() {
		if j.Phase == model.JobLeased || j.Phase == model.JobRunning {
			out[j.Lease.Worker]++
		}
	}
	return out
}
