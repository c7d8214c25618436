package soak

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lacewingturn.example/platform/standin"
)

const (
	// leaveBound is how long after the acknowledgement of a leaving worker tasks
	// may start on it.
	leaveBound = 2 * time.Second
	// cancelBound is how long after an acknowledged cancellation tasks may start.
	cancelBound = 3 * time.Second
	// calm is how long there must have been no fault for a bound in time to hold.
	calm = 4 * time.Second
)

// ledger judges what the system does to jobs by what workers and callers see.
type ledger struct {
	mu        sync.Mutex // guards all; a test helper holds no control state
	jobs      map[string]*job
	broken    []string
	disturbed time.Time // when the last fault began or ended
	starts    int
}

// job is what callers and workers know of a job.
type job struct {
	standin.Job
	accepted    bool
	cancelSent  bool
	cancelledAt time.Time // when the cancellation was acknowledged
	refused     bool      // every submission was refused
	tasks       map[string]*task
}

type task struct {
	active  map[string]int // workers and the runs on them
	done    bool           // an end that was recorded
	ended   bool           // some run has ended as done
	failed  int            // ends that were recorded
	endedAt map[int]int    // starts seen when the run ended as done, by run
	starts  int
}

func newLedger() *ledger { return &ledger{jobs: map[string]*job{}} }

func (l *ledger) disturb() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbed = time.Now()
}

func (l *ledger) violate(rule, format string, args ...any) {
	l.broken = append(l.broken, time.Now().Format("15:04:05.000 ")+rule+": "+fmt.Sprintf(format, args...))
}

// submit notes a job before it is sent.
func (l *ledger) submit(j standin.Job) *job {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := &job{Job: j, tasks: map[string]*task{}}
	l.jobs[j.ID] = known
	return known
}

// settle notes the outcome of the submissions of a job.
func (l *ledger) settle(j *job, accepted, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j.accepted, j.refused = accepted, refused
	if refused && len(j.tasks) > 0 {
		l.violate("REFUSED", "job %s has run although it was refused", j.ID)
	}
}

func (l *ledger) cancelSent(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j.cancelSent = true
}

func (l *ledger) cancelled(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j.cancelledAt = time.Now()
}

// taskOf returns the job and the task with the name, and its step.
func (l *ledger) taskOf(name string) (*job, *task, int) {
	id, rest, _ := strings.Cut(name, ".")
	j := l.jobs[id]
	if j == nil {
		return nil, nil, 0
	}
	if j.tasks[name] == nil {
		j.tasks[name] = &task{active: map[string]int{}, endedAt: map[int]int{}}
	}
	parts := strings.Split(rest, ".")
	step, err := strconv.Atoi(parts[min(1, len(parts)-1)])
	if err != nil {
		l.violate("UNASKED", "task %s has no step", name)
	}
	return j, j.tasks[name], step
}

// Started implements standin.Observer.
func (l *ledger) Started(worker string, t standin.Task, payload string, leaving time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	j, known, step := l.taskOf(t.Name)
	if j == nil || payload != j.Payload() {
		l.violate("UNASKED", "%s was told to start %s, which nobody submitted like that", worker, t.Name)
		return
	}
	now := time.Now()
	switch {
	case j.refused:
		l.violate("REFUSED", "%s run %d of a refused job started on %s", t.Name, t.Run, worker)
	case len(known.active) > 0:
		l.violate("TWICE", "%s run %d started on %s beside %v", t.Name, t.Run, worker, known.active)
	case known.done:
		l.violate("TWICE", "%s run %d started on %s after its end was recorded", t.Name, t.Run, worker)
	case known.failed >= j.Queue.Attempts:
		l.violate("BUDGET", "%s run %d started on %s after %d failures", t.Name, t.Run, worker, known.failed)
	case step > 0 && !l.complete(j, step-1):
		l.violate("ORDER", "%s run %d started on %s before the step before was done", t.Name, t.Run, worker)
	case leaving > leaveBound && now.Sub(l.disturbed) > calm:
		l.violate("DRAIN", "%s run %d started on %s %s after it was known to leave", t.Name, t.Run, worker, leaving)
	case !j.cancelledAt.IsZero() && now.Sub(j.cancelledAt) > cancelBound && now.Sub(l.disturbed) > calm:
		l.violate("UNASKED", "%s run %d started on %s %s after its job was cancelled", t.Name, t.Run, worker, now.Sub(j.cancelledAt))
	}
	known.active[worker] = t.Run
	known.starts++
}

func (l *ledger) complete(j *job, step int) bool {
	for i := range j.Tasks {
		if t := j.tasks[j.TaskName(step, i)]; t == nil || !t.ended {
			return false
		}
	}
	return true
}

// Ended implements standin.Observer.
func (l *ledger) Ended(worker string, t standin.Task, how standin.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known, _ := l.taskOf(t.Name)
	if known == nil || how == standin.Refused {
		return
	}
	delete(known.active, worker)
	if how == standin.Done {
		known.ended = true
		known.endedAt[t.Run] = known.starts
	}
}

// Acknowledged implements standin.Observer.
func (l *ledger) Acknowledged(worker string, t standin.Task, how standin.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known, _ := l.taskOf(t.Name)
	switch {
	case known == nil:
	case how == standin.Failed:
		known.failed++
	case how == standin.Done:
		known.done = true
		if known.starts > known.endedAt[t.Run] {
			l.violate("TWICE", "%s was started again before the end of run %d on %s was recorded", t.Name, t.Run, worker)
		}
	}
}

// judge checks the state that a job has shown at the end.
func (l *ledger) judge(j *job, status int, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !j.accepted:
		if j.refused && state != "" {
			l.violate("REFUSED", "job %s is shown as %s although it was refused", j.ID, state)
		}
	case state == "":
		l.violate("LOST", "job %s has no state, only status %d", j.ID, status)
	case state == "canceled" && !j.cancelSent:
		l.violate("LOST", "job %s is shown as canceled without cause", j.ID)
	case state == "failed" && !j.spent():
		l.violate("LOST", "job %s is shown as failed without cause", j.ID)
	case state == "completed":
		for step := range j.Steps {
			if !l.complete(j, step) {
				l.violate("MIXED", "job %s is shown as completed, but step %d is not", j.ID, step)
			}
		}
	}
}

// spent reports whether some task has used up its failures.
func (j *job) spent() bool {
	for _, t := range j.tasks {
		if t.failed >= j.Queue.Attempts {
			return true
		}
	}
	return false
}

// report returns the broken rules.
func (l *ledger) report() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.broken)
}

// list returns all jobs.
func (l *ledger) list() (out []*job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		out = append(out, j)
	}
	return out
}
