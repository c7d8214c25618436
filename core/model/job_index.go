package model

import (
	"fmt"
	"iter"
	"math/bits"
	"strings"

	"lacewingturn.example/core/table"
)

// JobIndex indexes the jobs for placement, so the cost of a placement does not
// depend on the number of queued and ended jobs.
type JobIndex struct {
	// Queue orders the queued jobs by QueueGroup and then by Sequence.
	Queue  table.Table[string, JobID]
	Active table.Table[string, Job]   // by worker and ID
	Ended  table.Table[string, JobID] // by time of the end
	Loads  table.Table[InstanceID, WorkerLoad]
	Teams  table.Table[TeamName, TeamLoad]
}

// QueueOwner returns the common prefix of the queue groups of the jobs with the
// same urgency, pool and team. Urgent jobs sort first.
func (j Job) QueueOwner() string {
	urgency := "1"
	if j.Urgent {
		urgency = "0"
	}
	return fmt.Sprintf("%s\x00%s\x00%s\x00", urgency, j.Pool, j.Team)
}

// QueueGroup returns the key of the group of jobs that placement treats alike:
// equal urgency, pool, team and class, equal declared accelerators, and declared
// processors and memory in the same power of two.
func (j Job) QueueGroup() string {
	return fmt.Sprintf("%s%s\x00%02d.%02d.%04d\x00", j.QueueOwner(), j.Class,
		bits.Len64(uint64(j.Declared.MilliCPU)), bits.Len64(uint64(j.Declared.MemoryMB)), j.Declared.Accelerators)
}

func (j Job) queueKey() string { return fmt.Sprintf("%s%020d", j.QueueGroup(), j.Sequence) }

// ActiveKey is the key of a leased job in JobIndex.Active.
func (j Job) ActiveKey() string { return WorkerPrefix(j.Lease.Worker) + string(j.ID) }

// WorkerPrefix returns the common prefix of the keys in JobIndex.Active of the
// jobs on a worker.
func WorkerPrefix(w InstanceID) string { return string(w) + "\x00" }

func (j Job) endedKey() string { return fmt.Sprintf("%020d\x00%s", j.EndedAt, j.ID) }

// Remove returns the index without the job. The job must be equal to the value
// that was added.
func (x JobIndex) Remove(j Job) JobIndex {
	switch {
	case j.Phase == JobQueued:
		x.Queue = x.Queue.Delete(j.queueKey())
	case j.Active():
		x.Active = x.Active.Delete(j.ActiveKey())
	case j.Phase.Final():
		x.Ended = x.Ended.Delete(j.endedKey())
	}
	return x.addLoad(j, -1)
}

// Add returns the index with the job.
func (x JobIndex) Add(j Job) JobIndex {
	switch {
	case j.Phase == JobQueued:
		x.Queue = x.Queue.Set(j.queueKey(), j.ID)
	case j.Active():
		x.Active = x.Active.Set(j.ActiveKey(), j)
	case j.Phase.Final():
		x.Ended = x.Ended.Set(j.endedKey(), j.ID)
	}
	return x.addLoad(j, 1)
}

// Replace returns the index with the active job old replaced by j. Lease, usage and
// action may differ; worker and phase must be the same.
func (x JobIndex) Replace(old, j Job) JobIndex {
	x.Active = x.Active.Set(j.ActiveKey(), j)
	if old.Reserved != j.Reserved {
		x = x.addLoad(old, -1).addLoad(j, 1)
	}
	return x
}

// addLoad adds the job n times to the loads of its worker and team; n is -1 for a
// job that is removed.
func (x JobIndex) addLoad(j Job, n int) JobIndex {
	if j.Phase.Final() {
		return x
	}
	team, _ := x.Teams.Get(j.Team)
	team.Team = j.Team
	if j.Phase == JobQueued {
		team.Queued += n
	} else {
		team.Active += n
		team.Reserved = team.Reserved.Add(j.Reserved.Times(n))
		load, _ := x.Loads.Get(j.Lease.Worker)
		load.Worker = j.Lease.Worker
		load.Jobs += n
		load.Reserved = load.Reserved.Add(j.Reserved.Times(n))
		x.Loads = setOrDelete(x.Loads, load.Worker, load, load.Jobs == 0)
	}
	x.Teams = setOrDelete(x.Teams, j.Team, team, team.Active == 0 && team.Queued == 0)
	return x
}

func setOrDelete[K InstanceID | TeamName, V any](t table.Table[K, V], k K, v V, empty bool) table.Table[K, V] {
	if empty {
		return t.Delete(k)
	}
	return t.Set(k, v)
}

// IndexJobs builds the index of a table of jobs. It is used after a snapshot was
// decoded.
func IndexJobs(jobs table.Table[JobID, Job]) JobIndex {
	var x JobIndex
	for _, j := range jobs.All() {
		x = x.Add(j)
	}
	return x
}

// Worker iterates over the active jobs of a worker, by JobIndex.Active key.
func (x JobIndex) Worker(w InstanceID) iter.Seq2[string, Job] {
	prefix := WorkerPrefix(w)
	return func(yield func(string, Job) bool) {
		for key, j := range x.Active.From(prefix) {
			if !strings.HasPrefix(key, prefix) || !yield(key, j) {
				return
			}
		}
	}
}
