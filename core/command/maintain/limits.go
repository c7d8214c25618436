package maintain

import "lacewingturn.example/core/model"

// StopLimits decides which long-running tasks the system may stop. Everything that stops
// long-running tasks has to ask it, because the limit of a step holds for all reasons together.
// It looks at the tasks of a step once, so that a decision about a wide step costs no more for
// each of its runs.
type StopLimits struct {
	// Serving reports whether a long-running task serves. Between two calls of Stopped its
	// results must not change.
	Serving func(model.TaskRef) bool
	// away holds the number of tasks that do not serve, by step.
	away map[model.StepRef]int
}

// MayStop reports whether a task may be stopped: the number of the other tasks of its step that
// do not serve is below the step's limit. A limit of 0 counts as 1.
func (l *StopLimits) MayStop(task model.TaskRef, tasks, missable int) bool {
	others := l.awayOf(task, tasks)
	if !l.Serving(task) {
		others--
	}
	return others < max(missable, 1)
}

// Stopped records that the task is about to be stopped. It is called before Serving shows that.
func (l *StopLimits) Stopped(task model.TaskRef) {
	step := task.StepRef()
	if n, counted := l.away[step]; counted && l.Serving(task) {
		l.away[step] = n + 1
	}
}

// awayOf returns how many of the tasks of the step do not serve.
func (l *StopLimits) awayOf(task model.TaskRef, tasks int) int {
	step := task.StepRef()
	if n, counted := l.away[step]; counted {
		return n
	}
	n := 0
	for k := range tasks {
		task.Index = k
		if !l.Serving(task) {
			n++
		}
	}
	if l.away == nil {
		l.away = map[model.StepRef]int{}
	}
	l.away[step] = n
	return n
}
