package fleet

import (
	"time"

	"lacewingturn.example/core/command/maintain"
	"lacewingturn.example/core/model"
)

// maintain begins upkeep that may begin now, stops runs to make it possible, and
// returns the instances that are being emptied for it.
func (m *Machine) maintain(now time.Time, s model.State, instances []model.WorkerObservation) []model.InstanceID {
	in := maintain.Input{
		Now: model.TimestampOf(now), Instances: instances, Down: map[model.InstanceID]bool{}, Cordoned: m.cordonedSince,
		Serving: func(t model.TaskRef) bool { return m.scheduler.Serving(now, t) },
		StopLimit: func(t model.TaskRef) (int, int) {
			w, ok := s.Workloads.Get(t.Workload)
			if !ok || !w.Has(t) {
				return 0, 0 // it has ended meanwhile
			}
			return w.Steps[t.Step].Count, w.Steps[t.Step].Missable
		},
	}
	for _, u := range s.Upkeeps.All() {
		if !u.Complete() {
			in.Upkeeps = append(in.Upkeeps, u)
		}
	}
	for id, order := range m.orders {
		in.Down[id] = order.upkeep != 0
	}
	for id, last := range s.Orders.All() {
		// The log does not say whether the order of an earlier leader was for upkeep.
		if last.Term != m.term && m.minAge(now, last) < m.settings.UpkeepTime+returnSlack {
			in.Down[id] = true
		}
	}
	d := maintain.Decide(in)
	for _, run := range d.Stop {
		m.scheduler.StopRun(run)
	}
	for _, begin := range d.Begin {
		if m.orders[begin.Instance] == nil {
			u, _ := s.Upkeeps.Get(begin.Number)
			m.addOrder(now, begin.Instance, m.upkeepOrder(s, begin.Instance, u))
		}
	}
	return d.Cordon
}

// cordon stops new runs on instances that are being emptied or have an order. It
// is called in the same pass as the decision, so that no run is started in between.
func (m *Machine) cordon(now model.Timestamp, emptied []model.InstanceID) {
	next, cordoned := map[model.InstanceID]model.Timestamp{}, map[model.InstanceID]bool{}
	for _, id := range emptied {
		since, ok := m.cordonedSince[id]
		if !ok {
			since = now
		}
		next[id], cordoned[id] = since, true
	}
	for id := range m.orders {
		cordoned[id] = true
	}
	m.cordonedSince = next
	m.scheduler.SetCordons(cordoned)
}
