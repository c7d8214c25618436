package model

import (
	"iter"
	"unsafe"
)

// TaskList holds the progress of the tasks of a step. It is immutable. Tasks that no run was
// started of, and tasks that have succeeded in their first run, take hardly any memory.
type TaskList struct {
	list vector[Task]
	// active is the number of tasks with an active run, runs that of all active runs.
	active, runs int
	// failed is the number of tasks with failures.
	failed int
	// text is the length of all checkpoints, in bytes.
	text int
}

// SucceededTask is the progress of a task that has succeeded in its first run.
var SucceededTask = Task{Done: true, LastRun: 1}

// NewTaskList returns the progress of tasks of which no run was started.
func NewTaskList(length int) TaskList { return TaskList{list: vector[Task]{length: length}} }

// finishedTaskList returns the progress of tasks that have succeeded in their first run.
func finishedTaskList(length int) TaskList { return TaskList{list: allFinal[Task](length)} }

// Len returns the number of tasks.
func (t TaskList) Len() int { return t.list.length }

// At returns the progress of one task. Its active runs must not be modified.
func (t TaskList) At(i int) Task { return t.list.at(i, Task{}, SucceededTask) }

// With returns the list with another progress of one task.
func (t TaskList) With(i int, task Task) TaskList {
	old := t.At(i)
	t.list = t.list.with(i, task, Task{}, SucceededTask, Task.IsFinal)
	t.replaced(old, task)
	return t
}

// Restore sets the progress of a task in place. It is for a list that is being read and that
// nobody else has yet.
func (t *TaskList) Restore(i int, task Task) {
	old := t.At(i)
	t.list.put(i, task, Task{}, SucceededTask, Task.IsFinal)
	t.replaced(old, task)
}

// replaced brings the sums up to date after a task was replaced in the list.
func (t *TaskList) replaced(old, task Task) {
	t.runs += len(task.Active) - len(old.Active)
	t.text += len(task.Checkpoint) - len(old.Checkpoint)
	if old.Failures > 0 {
		t.failed--
	}
	if task.Failures > 0 {
		t.failed++
	}
	if len(old.Active) > 0 {
		t.active--
	}
	if len(task.Active) > 0 {
		t.active++
	}
}

// Active returns the number of tasks with an active run.
func (t TaskList) Active() int { return t.active }

// Runs returns the number of active runs.
func (t TaskList) Runs() int { return t.runs }

// Failed returns the number of tasks with failures.
func (t TaskList) Failed() int { return t.failed }

// HasCheckpoints reports whether any task has a checkpoint.
func (t TaskList) HasCheckpoints() bool { return t.text > 0 }

// All iterates over all tasks.
func (t TaskList) All() iter.Seq2[int, Task] {
	return t.list.values(0, noLeaf, Task{}, SucceededTask)
}

// NotDone iterates over the tasks from a position on that have not succeeded.
func (t TaskList) NotDone(from int) iter.Seq2[int, Task] {
	return t.filter(from, isFinalLeaf, func(task Task) bool { return !task.Done })
}

// Touched iterates over the tasks with progress.
func (t TaskList) Touched() iter.Seq2[int, Task] {
	return t.filter(0, isUntouchedLeaf, Task.HasProgress)
}

// Begun iterates over the tasks with progress. It leaves out most of those that have succeeded
// in their first run.
func (t TaskList) Begun() iter.Seq2[int, Task] {
	return t.filter(0, isUniformLeaf, Task.HasProgress)
}

// filter iterates over the tasks from a position on that the filter includes.
func (t TaskList) filter(from int, skip func([]Task) bool, include func(Task) bool) iter.Seq2[int, Task] {
	return func(yield func(int, Task) bool) {
		for i, task := range t.list.values(from, skip, Task{}, SucceededTask) {
			if include(task) && !yield(i, task) {
				return
			}
		}
	}
}

// bytes returns the memory that the list takes beyond its own fields.
func (t TaskList) bytes() int64 {
	return int64(t.list.stored)*int64(unsafe.Sizeof(Task{})) + int64(t.runs)*int64(unsafe.Sizeof(Run{})) + int64(t.text)
}

// IsFinal reports whether the task has succeeded in its first run and has left nothing else.
func (t Task) IsFinal() bool {
	return t.Done && t.LastRun == 1 && t.Failures == 0 && t.Checkpoint == "" && len(t.Active) == 0
}

// HasProgress reports whether a run of the task was started.
func (t Task) HasProgress() bool { return t.LastRun > 0 || t.Failures > 0 || t.Checkpoint != "" }
