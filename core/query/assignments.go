package query

import (
	"time"

	"lacewingturn.example/core/model"
)

// Assignment is a job that a worker is asked to run.
type Assignment struct {
	Job   model.JobID
	Token uint64
	Class string
	// Size is what the lease reserves of the worker.
	Size model.Resources
	// DeclaredRun is the operator's estimate; 0 if not given.
	DeclaredRun time.Duration
	Checkpoint  string // to resume from; empty if none
	Asked       model.Asked
}

// Assigned answers the poll of a worker. Jobs is empty unless they have changed
// since the index that the worker knows; Index is what it knows after it.
type Assigned struct {
	Index   model.Index
	Changed bool
	Jobs    []Assignment
}

// Assignments returns the jobs that a worker is asked to run and the log index
// at which they last changed. The cost does not depend on the other jobs.
func Assignments(s model.State, worker model.InstanceID) ([]Assignment, model.Index) {
	change, _ := s.WorkerChanges.Get(worker)
	var out []Assignment
	for _, j := range s.JobIndex.Worker(worker) {
		out = append(out, Assignment{
			Job: j.ID, Token: j.Lease.Token, Class: j.Class, Size: j.Reserved, DeclaredRun: j.DeclaredRun, Checkpoint: j.Checkpoint, Asked: j.Asked(),
		})
	}
	return out, change.Index
}
