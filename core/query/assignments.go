package query

import (
	"time"

	"lacewingturn.example/core/model"
)

// Assignment is a job that is assigned to a worker, with the current instruction.
type Assignment struct {
	Job   model.JobID
	Token uint64
	Class string
	// Size is the capacity of the worker that the lease reserves.
	Size model.Resources
	// DeclaredRun is the run time estimated by the operator; 0 if not given.
	DeclaredRun time.Duration
	Checkpoint  string // checkpoint to resume from; empty if none
	Asked       model.Asked
}

// AssignmentPoll is the answer to the poll of a worker. Jobs is set only if the
// assignments have changed since the index that the worker sent. Index is the
// index to send with the next poll.
type AssignmentPoll struct {
	Index   model.Index
	Changed bool
	Jobs    []Assignment
}

// Assignments returns the jobs that are assigned to a worker and the log index of
// their last change. The cost does not depend on the number of other jobs.
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
