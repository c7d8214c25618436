package reconcile

import (
	"slices"

	"lacewingturn.example/core/model"
)

// observer collects the leader's observations of the fleet since it became leader.
type observer struct {
	since      model.Timestamp
	operations map[model.OperationID]model.OperationReport
	instances  map[model.InstanceID]model.InstanceObservation
	running    map[model.InstanceID]int // running requests listed in the last heartbeats of the targets on the instance
	reports    map[model.EntryID]entryReport
}

// entryReport is the last report of one entry instance.
type entryReport struct {
	at       model.Timestamp
	inFlight map[model.InstanceID]int
}

func newObserver(since model.Timestamp) *observer {
	return &observer{
		since: since, operations: map[model.OperationID]model.OperationReport{},
		instances: map[model.InstanceID]model.InstanceObservation{}, running: map[model.InstanceID]int{},
		reports: map[model.EntryID]entryReport{},
	}
}

// addReport applies the report of an entry instance. inService lists the instances in
// service that have a target owned by that entry instance.
func (ob *observer) addReport(now model.Timestamp, r EntryReport, inService []model.InstanceID) {
	counts := map[model.InstanceID]int{}
	for _, i := range r.OutOfService {
		counts[i.Instance] = i.InFlight
		if i.HasHeartbeat {
			ob.running[i.Instance] = i.Running
			ob.markSeen(i.Instance, now.Add(-i.HeartbeatAge))
		}
	}
	ob.reports[r.Entry] = entryReport{at: now, inFlight: counts}
	for _, id := range inService {
		if !slices.Contains(r.Silent, id) {
			ob.markSeen(id, now)
			delete(ob.running, id)
		}
	}
}

// markSeen records a heartbeat of the instance at the given time.
func (ob *observer) markSeen(id model.InstanceID, at model.Timestamp) {
	o := ob.instances[id]
	o.LastSeen = max(o.LastSeen, at)
	ob.instances[id] = o
}

// markQueried records that the platform is queried about the instance.
func (ob *observer) markQueried(now model.Timestamp, id model.InstanceID) {
	o := ob.instances[id]
	o.QueriedAt = now
	ob.instances[id] = o
}

// recordAnswer records the platform's answer about the instance.
func (ob *observer) recordAnswer(now model.Timestamp, id model.InstanceID, up bool) {
	o := ob.instances[id]
	if up {
		o.UpAt = now
	} else {
		o.DownAt = now
	}
	ob.instances[id] = o
}

// observations combines the reports. The counts of requests in flight are as old as
// the oldest last report of all entry instances, because each of them may send
// requests.
func (ob *observer) observations(state model.State, now model.Timestamp) model.Observations {
	out := model.Observations{
		LeaderSince: ob.since, Instances: make(map[model.InstanceID]model.InstanceObservation, state.Instances.Len()),
		Operations: make(map[model.OperationID]model.OperationReport, len(ob.operations)),
	}
	for id, r := range ob.operations {
		out.Operations[id] = r
	}
	reported := now
	inFlight := map[model.InstanceID]int{}
	for id := range state.Entries.All() {
		r := ob.reports[id] // zero, and thus the oldest, if the entry instance has not reported yet
		reported = min(reported, r.at)
		for instance, n := range r.inFlight {
			inFlight[instance] += n
		}
	}
	for id := range state.Instances.All() {
		o := ob.instances[id]
		o.ReportedAt = reported
		o.InFlight = max(inFlight[id], ob.running[id])
		out.Instances[id] = o
	}
	return out
}
