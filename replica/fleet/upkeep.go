package fleet

import (
	"time"

	"lacewingturn.example/core/command/maintain"
	"lacewingturn.example/core/model"
)

// maintain carries out orders for upkeep and returns the instances that are emptied for it.
func (m *Machine) maintain(now time.Time, s model.State, instances []model.ObservedInstance) []model.InstanceID {
	in := maintain.Input{
		Now: model.At(now), Instances: instances, Down: map[model.InstanceID]bool{}, Cordoned: m.cordonedSince,
		Present: func(t model.TaskRef) bool { return m.scheduler.Present(now, t) },
		Allowed: func(t model.TaskRef) (int, int) {
			w, _ := s.Workloads.Get(t.Workload)
			return w.Steps[t.Step].Count, w.Steps[t.Step].Missable
		},
	}
	for _, u := range s.Upkeeps.All() {
		if !u.Complete() {
			in.Upkeeps = append(in.Upkeeps, u)
		}
	}
	for id, t := range m.orders {
		in.Down[id] = t.upkeep != 0
	}
	for id, last := range s.Orders.All() {
		// The order of an earlier leader may have been for upkeep.
		if last.Term != m.term && in.Now.Sub(last.At) < m.settings.UpkeepTime+returnSlack {
			in.Down[id] = true
		}
	}
	d := maintain.Decide(in)
	for _, run := range d.Stop {
		m.scheduler.StopRun(run)
	}
	for _, u := range d.Begin {
		if m.orders[u.Instance] == nil {
			m.addOrder(now, u.Instance, &activeOrder{upkeep: u.Number})
		}
	}
	return d.Cordon
}

// cordon keeps new runs from instances that are being emptied or have been
// given an order, in the same look as that was decided.
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
