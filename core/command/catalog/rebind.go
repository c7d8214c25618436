package catalog

import (
	"lacewingturn.example/core/command/workload"
	"lacewingturn.example/core/model"
)

// rebind ties the workloads to the queues of the next catalog. A workload belongs to the
// queue at the address at which it was accepted, whatever its name. If the next catalog has
// no queue at this address, but moves the queue of that name to an address that was free
// before, the workload moves with it. Any other workload keeps its address: it waits until
// a catalog has a queue there again, and does not join another queue that gets its name.
func rebind(s *model.State, next *model.Catalog) {
	r := newRebinding(s.Catalog, next)
	changed := false
	for _, w := range s.Workloads.All() {
		if name, address, ok := r.queueOf(w); ok && (name != w.Queue || w.Address == nil || address != *w.Address) {
			w.Queue, w.Address = name, &address
			s.Workloads = s.Workloads.Set(w.ID, w)
			changed = true
		}
	}
	if changed {
		workload.CountStored(s)
	}
}

// rebinding holds the queues of two successive catalogs.
type rebinding struct {
	before   map[model.QueueName]model.QueueAddress
	occupied map[model.QueueAddress]bool // addresses of the catalog before
	after    map[model.QueueName]model.QueueAddress
	nameAt   map[model.QueueAddress]model.QueueName // in the next catalog
}

func newRebinding(old, next *model.Catalog) rebinding {
	r := rebinding{
		before: map[model.QueueName]model.QueueAddress{}, occupied: map[model.QueueAddress]bool{},
		after: map[model.QueueName]model.QueueAddress{}, nameAt: map[model.QueueAddress]model.QueueName{},
	}
	if old != nil {
		for _, q := range old.Queues {
			r.before[q.Name], r.occupied[q.Address()] = q.Address(), true
		}
	}
	for _, q := range next.Queues {
		r.after[q.Name], r.nameAt[q.Address()] = q.Address(), q.Name
	}
	return r
}

// queueOf returns the name and the address of the workload's queue in the next catalog. If
// that has no such queue, it returns those that identify the queue later; false if none do.
func (r rebinding) queueOf(w model.Workload) (model.QueueName, model.QueueAddress, bool) {
	before, existed := r.before[w.Queue]
	if w.Address == nil && !existed {
		return "", model.QueueAddress{}, false
	}
	address := before
	if w.Address != nil {
		address = *w.Address
	}
	if name, ok := r.nameAt[address]; ok {
		return name, address, true
	}
	if moved, ok := r.after[w.Queue]; ok && existed && before == address && !r.occupied[moved] {
		return w.Queue, moved, true
	}
	return w.Queue, address, true
}
