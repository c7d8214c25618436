package reconcile

import (
	"slices"

	"lacewingturn.example/core/model"
)

// sight is what the leader sees of the fleet since it became leader.
type observer struct {
	since      model.Timestamp
	operations map[model.OperationID]model.OperationReport
	instances  map[model.InstanceID]model.Observed
	running    map[model.InstanceID]int // as targets said last
	reports    map[model.EntryID]entryReport
}

type entryReport struct {
	at       model.Timestamp
	inFlight map[model.InstanceID]int
}

func newObserver(since model.Timestamp) *observer {
	return &observer{
		since: since, operations: map[model.OperationID]model.OperationReport{},
		instances: map[model.InstanceID]model.Observed{}, running: map[model.InstanceID]int{},
		reports: map[model.EntryID]entryReport{},
	}
}

// report takes what an entry instance sees. inService lists the instances in
// service of which it owns a target.
func (s *observer) addReport(now model.Timestamp, r EntryReport, inService []model.InstanceID) {
	counts := map[model.InstanceID]int{}
	for _, i := range r.OutOfService {
		counts[i.Instance] = i.InFlight
		if i.Heard {
			s.running[i.Instance] = i.Running
			s.markSeen(i.Instance, now.Add(-i.HeardAge))
		}
	}
	s.reports[r.Entry] = entryReport{at: now, inFlight: counts}
	for _, id := range inService {
		if !slices.Contains(r.Silent, id) {
			s.markSeen(id, now)
			delete(s.running, id)
		}
	}
}

func (s *observer) markSeen(id model.InstanceID, at model.Timestamp) {
	o := s.instances[id]
	o.LastSeen = max(o.LastSeen, at)
	s.instances[id] = o
}

func (s *observer) markQueried(now model.Timestamp, id model.InstanceID) {
	o := s.instances[id]
	o.QueriedAt = now
	s.instances[id] = o
}

func (s *observer) recordAnswer(now model.Timestamp, id model.InstanceID, up bool) {
	o := s.instances[id]
	if up {
		o.UpAt = now
	} else {
		o.DownAt = now
	}
	s.instances[id] = o
}

// observations sums up the reports. A count of requests in flight is as old as
// the oldest report of an entry instance that may send requests.
func (s *observer) observations(state model.State, now model.Timestamp) model.Observations {
	out := model.Observations{
		LeaderSince: s.since, Instances: make(map[model.InstanceID]model.Observed, state.Instances.Len()),
		Operations: make(map[model.OperationID]model.OperationReport, len(s.operations)),
	}
	for id, r := range s.operations {
		out.Operations[id] = r
	}
	reported := now
	inFlight := map[model.InstanceID]int{}
	for id := range state.Entries.All() {
		r := s.reports[id] // a member that has not reported yet makes the count as old as can be
		reported = min(reported, r.at)
		for instance, n := range r.inFlight {
			inFlight[instance] += n
		}
	}
	for id := range state.Instances.All() {
		o := s.instances[id]
		o.ReportedAt = reported
		o.InFlight = max(inFlight[id], s.running[id])
		out.Instances[id] = o
	}
	return out
}
