package model

import (
	"fmt"
	"iter"
	"time"
)

// WorkloadID is chosen by the caller; 16 hexadecimal digits.
type WorkloadID string

// Workload is a set of steps that run on the workers of a queue. Steps are
// made of equal tasks; a task is run until one of its runs succeeds.
type Workload struct {
	ID    WorkloadID
	Queue QueueName
	// Payload is handed to each run.
	Payload string
	Steps   []Step
	// FirstDue and Interval place the rounds of a scheduled workload in time;
	// FirstDue is 0 if it is due at once.
	FirstDue Timestamp
	Interval time.Duration
	// Rounds holds the tasks of each repetition, by step.
	Rounds      []Round
	MaxFailures int
	AcceptedAt  Timestamp
}

// Step is a set of equal tasks.
type Step struct {
	Count int
	Need  Resources
	// Estimate is the caller's rough guess of the run time of a task.
	Estimate time.Duration
	// After lists the steps that must be complete before this one starts.
	After []int
	// Checkpointing is set if runs report checkpoints.
	Checkpointing bool
	// Gang is set if all tasks must run at the same time and end together.
	Gang bool
	// SameRack is set if the tasks run slowly on more than one rack.
	SameRack bool
	// Label must be among the worker's labels; empty if any worker will do.
	Label string
	// NearRack is where the data of the step is; empty if anywhere.
	NearRack string
	// MaxPerWorker bounds the tasks of the step on one worker; 0 if unlimited.
	MaxPerWorker int
	// Speculative allows copies of a task to run at the same time.
	Speculative bool
	// Lasting tasks run until the workload is cancelled.
	Lasting bool
	// Image names what the tasks run.
	Image string
	// TailTarget is the bound of the response times of a serving task; 0 if none.
	TailTarget time.Duration
	// Filler tasks use capacity that other tasks leave and reserve none.
	Filler bool
	// Missable is how many tasks of a lasting step may be away at the same time
	// by the system's own doing.
	Missable int
}

// Reserved returns what a run of the step takes from the capacity of a worker.
func (s Step) Reserved() Resources {
	if s.Filler {
		return Resources{MemoryMB: s.Need.MemoryMB, Accelerators: s.Need.Accelerators}
	}
	return s.Need
}

// Round is one repetition of the steps of a workload.
type Round struct{ Steps []StepState }

// StepState is the progress of a step in one round.
type StepState struct {
	// Done is the number of tasks that have succeeded.
	Done  int
	Tasks []Task
}

// Complete reports whether all tasks have succeeded.
func (s StepState) Complete() bool { return s.Done == len(s.Tasks) }

// Task is the progress of one task.
type Task struct {
	Done bool
	// LastRun is the number of the last run that was started; 0 if none.
	LastRun  int
	Failures int
	// Checkpoint is where the next run continues; empty for the beginning.
	Checkpoint string
	// Active lists the runs that may be alive.
	Active []Run
}

// Run is one execution of a task on a worker.
type Run struct {
	Number    int
	Worker    WorkerID
	StartedAt Timestamp
}

// WorkerID names one incarnation of a worker: the name that it gives itself and
// the time of its start. It is made by MakeWorkerID.
type WorkerID string

// MakeWorkerID returns the ID of the incarnation that started at the given time.
func MakeWorkerID(name string, startedAt Timestamp) WorkerID {
	return WorkerID(fmt.Sprintf("%s@%d", name, startedAt))
}

// TaskRef is the position of a task.
type TaskRef struct {
	Workload WorkloadID
	Round    int
	Step     int
	Index    int
}

// RunRef names one run.
type RunRef struct {
	Task   TaskRef
	Number int
}

// Assignment lists the runs that one worker should have.
type Assignment struct {
	Worker WorkerID
	Runs   []RunRef
}

// WorkloadPhase is the condition of a workload.
type WorkloadPhase uint8

// Phases of a workload. The last three are final.
const (
	WorkloadQueued WorkloadPhase = iota + 1
	WorkloadActive
	WorkloadCompleted
	WorkloadFailed
	WorkloadCancelled
)

func (p WorkloadPhase) String() string {
	return [...]string{"none", "queued", "active", "completed", "failed", "cancelled"}[min(int(p), 5)]
}

// FinishedWorkload is what is kept of a workload in a final phase.
type FinishedWorkload struct {
	ID      WorkloadID
	Queue   QueueName
	Phase   WorkloadPhase
	EndedAt Timestamp
	// Reason says why a workload has failed.
	Reason string
}

// Started reports whether a run of any task was ever started.
func (w Workload) Started() bool {
	for _, t := range w.Tasks() {
		if t.LastRun > 0 {
			return true
		}
	}
	return false
}

// Due returns when the round may start.
func (w Workload) Due(round int) Timestamp {
	if w.FirstDue == 0 {
		return w.AcceptedAt
	}
	return w.FirstDue.Add(time.Duration(round) * w.Interval)
}

// Task returns the task at the position; false if there is none.
func (w Workload) Task(ref TaskRef) (Task, bool) {
	if ref.Round < 0 || ref.Round >= len(w.Rounds) || ref.Step < 0 || ref.Step >= len(w.Steps) {
		return Task{}, false
	}
	tasks := w.Rounds[ref.Round].Steps[ref.Step].Tasks
	if ref.Index < 0 || ref.Index >= len(tasks) {
		return Task{}, false
	}
	return tasks[ref.Index], true
}

// Tasks iterates over all tasks with their positions.
func (w Workload) Tasks() iter.Seq2[TaskRef, Task] {
	return func(yield func(TaskRef, Task) bool) {
		for i, round := range w.Rounds {
			for j, step := range round.Steps {
				for k, task := range step.Tasks {
					if !yield(TaskRef{Workload: w.ID, Round: i, Step: j, Index: k}, task) {
						return
					}
				}
			}
		}
	}
}

// Has reports whether there is a task at the position.
func (w Workload) Has(ref TaskRef) bool {
	_, ok := w.Task(ref)
	return ok
}

// Open reports whether all earlier steps that the step waits for are complete.
func (w Workload) Open(round, step int) bool {
	for _, before := range w.Steps[step].After {
		if !w.Rounds[round].Steps[before].Complete() {
			return false
		}
	}
	return true
}
