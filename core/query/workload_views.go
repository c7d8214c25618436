package query

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"lacewingturn.example/core/model"
)

// WorkloadEntry is one workload in the jobs view.
type WorkloadEntry struct {
	ID         string    `json:"id"`
	Queue      string    `json:"queue"`
	Pool       string    `json:"pool"`
	Phase      string    `json:"phase"`
	Tasks      int       `json:"tasks"` // in all rounds
	Done       int       `json:"done"`
	Running    int       `json:"running"`
	Failures   int       `json:"failures"`
	AcceptedAt time.Time `json:"accepted_at"`
	EndedAt    time.Time `json:"ended_at"`
	Reason     string    `json:"reason"`
}

// workloads returns the workloads, those that have not ended first. If id is not
// empty, it returns only the workload with that ID.
func workloads(s model.State, id model.WorkloadID) []WorkloadEntry {
	out := []WorkloadEntry{}
	for _, w := range s.Workloads.All() {
		if id == "" || w.ID == id {
			out = append(out, workloadEntry(s, w))
		}
	}
	for _, f := range s.Finished.All() {
		if id == "" || f.ID == id {
			q, _ := s.Catalog.Queue(f.Queue)
			out = append(out, WorkloadEntry{
				ID: string(f.ID), Queue: string(f.Queue), Pool: string(q.Pool), Phase: f.Phase.String(), EndedAt: utcTime(f.EndedAt), Reason: f.Reason,
			})
		}
	}
	return out
}

func workloadEntry(s model.State, w model.Workload) WorkloadEntry {
	q, _ := s.Catalog.QueueOf(w)
	e := WorkloadEntry{ID: string(w.ID), Queue: string(w.Queue), Pool: string(q.Pool), Phase: workloadPhase(w).String(), AcceptedAt: utcTime(w.AcceptedAt)}
	for _, step := range w.Steps {
		e.Tasks += step.Count * w.Rounds.Len()
	}
	e.Done = w.Rounds.Done()
	for _, round := range w.Rounds.Begun() {
		for _, step := range round.Steps() {
			e.Failures += step.GangProgress().FailedRuns
			e.Running += step.Tasks.Runs()
			for _, t := range step.Tasks.Begun() {
				e.Failures += t.Failures
			}
		}
	}
	return e
}

func workloadPhase(w model.Workload) model.WorkloadPhase {
	if w.Started() {
		return model.WorkloadActive
	}
	return model.WorkloadQueued
}

// WorkerPoolEntry is one pool of the catalog in the pools view.
type WorkerPoolEntry struct {
	Name    string   `json:"name"`
	Standby bool     `json:"standby"` // its instances are powered off
	Queues  []string `json:"queues"`
	Running string   `json:"running"` // capacity of the running tasks
	Waiting string   `json:"waiting"` // capacity of the tasks that are ready to run
}

// workerPools returns the pools of the catalog, or only the pool with the given name
// if it is not empty.
func workerPools(s model.State, name model.PoolName, now model.Timestamp) []WorkerPoolEntry {
	out := []WorkerPoolEntry{}
	if s.Catalog == nil {
		return out
	}
	demands := Demands(s, now, 0)
	for _, p := range s.Catalog.Pools {
		if name != "" && p.Name != name {
			continue
		}
		d := demands[p.Name]
		e := WorkerPoolEntry{Name: string(p.Name), Standby: p.Standby, Queues: []string{}, Running: Capacity(d.Running), Waiting: Capacity(d.Waiting)}
		for _, q := range s.Catalog.Queues {
			if q.Pool == p.Name {
				e.Queues = append(e.Queues, string(q.Name))
			}
		}
		out = append(out, e)
	}
	return out
}

// UpkeepEntry is one upkeep order in the waves view.
type UpkeepEntry struct {
	Number    int64     `json:"number"`
	Instances int       `json:"instances"`
	Begun     int       `json:"begun"`
	Open      []string  `json:"open"` // instances whose maintenance has not begun
	Limit     int       `json:"limit"`
	OrderedAt time.Time `json:"ordered_at"`
	DueAt     time.Time `json:"due_at"`
}

func upkeeps(s model.State) []UpkeepEntry {
	out := []UpkeepEntry{}
	for _, u := range s.Upkeeps.All() {
		e := UpkeepEntry{
			Number: int64(u.Number), Instances: len(u.Instances), Open: []string{}, Limit: u.Limit,
			OrderedAt: utcTime(u.OrderedAt), DueAt: utcTime(u.OrderedAt.Add(u.Duration)),
		}
		for _, i := range u.Instances {
			if i.Begun {
				e.Begun++
			} else {
				e.Open = append(e.Open, string(i.ID))
			}
		}
		out = append(out, e)
	}
	return out
}

// assignmentsOf returns the assignments of all incarnations of a worker, the latest
// incarnation last.
func assignmentsOf(s model.State, name string) []model.Assignment {
	var out []model.Assignment
	for id, a := range s.Assignments.All() {
		if string(id) == name || strings.HasPrefix(string(id), name+"@") {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b model.Assignment) int { return cmp.Compare(a.Worker, b.Worker) })
	return out
}
