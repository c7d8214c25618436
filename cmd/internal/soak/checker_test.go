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
	// drainBound is how long after the acknowledgement that a worker leaves tasks
	// may still start on it.
	drainBound = 2 * time.Second
	// cancelBound is how long after an acknowledged cancellation tasks of the workload
	// may still start.
	cancelBound = 3 * time.Second
	// quietPeriod is how long no fault must have begun or ended for drainBound and
	// cancelBound to hold.
	quietPeriod = 4 * time.Second
)

// checker records what workers and callers observe of each workload and collects the
// violations of the system's guarantees.
type checker struct {
	mu         sync.Mutex // guards all fields; test helpers may use a mutex, because they hold no control state
	workloads  map[string]*workload
	violations []string
	lastFault  time.Time // when the last fault began or ended
	starts     int
}

// workload is what callers and workers have observed of a workload.
type workload struct {
	standin.Workload
	accepted    bool
	cancelSent  bool
	cancelledAt time.Time // when the cancellation was acknowledged; zero if it was not
	refused     bool      // every submission was refused
	tasks       map[string]*task
}

type task struct {
	active  map[string]int // number of the active run, by worker
	done    bool           // the system has acknowledged an end as done
	ended   bool           // a run has ended as done
	failed  int            // ends as failed that the system has acknowledged
	endedAt map[int]int    // starts observed when the run ended as done, by run number
	starts  int
}

func newChecker() *checker { return &checker{workloads: map[string]*workload{}} }

func (c *checker) recordFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFault = time.Now()
}

// addViolation adds a violation of a rule: REFUSED, TWICE, BUDGET, ORDER, DRAIN, UNASKED,
// LOST or MIXED. c.mu must be held.
func (c *checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+rule+": "+fmt.Sprintf(format, args...))
}

// recordWorkload records a workload before it is submitted.
func (c *checker) recordWorkload(w standin.Workload) *workload {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := &workload{Workload: w, tasks: map[string]*task{}}
	c.workloads[w.ID] = record
	return record
}

// recordSubmission records the outcome of all submissions of a workload.
func (c *checker) recordSubmission(w *workload, accepted, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.accepted, w.refused = accepted, refused
	if refused && len(w.tasks) > 0 {
		c.addViolation("REFUSED", "job %s has run although it was refused", w.ID)
	}
}

func (c *checker) recordCancelSent(w *workload) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.cancelSent = true
}

func (c *checker) recordCancelled(w *workload) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.cancelledAt = time.Now()
}

// taskOf returns the workload, the task and the step of the task with the name; a nil
// workload if no workload with its id was submitted.
func (c *checker) taskOf(name string) (*workload, *task, int) {
	id, rest, _ := strings.Cut(name, ".")
	w := c.workloads[id]
	if w == nil {
		return nil, nil, 0
	}
	if w.tasks[name] == nil {
		w.tasks[name] = &task{active: map[string]int{}, endedAt: map[int]int{}}
	}
	parts := strings.Split(rest, ".")
	step, err := strconv.Atoi(parts[min(1, len(parts)-1)])
	if err != nil {
		c.addViolation("UNASKED", "task %s has no step", name)
	}
	return w, w.tasks[name], step
}

// Started implements standin.Observer.
func (c *checker) Started(worker string, t standin.TaskRun, payload string, leaving time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	w, record, step := c.taskOf(t.Name)
	if w == nil || payload != w.Payload() {
		c.addViolation("UNASKED", "%s was told to start %s, which was not submitted with this payload", worker, t.Name)
		return
	}
	now := time.Now()
	switch {
	case w.refused:
		c.addViolation("REFUSED", "%s run %d of a refused job started on %s", t.Name, t.Run, worker)
	case len(record.active) > 0:
		c.addViolation("TWICE", "%s run %d started on %s while active on %v", t.Name, t.Run, worker, record.active)
	case record.done:
		c.addViolation("TWICE", "%s run %d started on %s after its end was recorded", t.Name, t.Run, worker)
	case record.failed >= w.Queue.Attempts:
		c.addViolation("BUDGET", "%s run %d started on %s after %d failures", t.Name, t.Run, worker, record.failed)
	case step > 0 && !c.stepDone(w, step-1):
		c.addViolation("ORDER", "%s run %d started on %s before the previous step was done", t.Name, t.Run, worker)
	case leaving > drainBound && now.Sub(c.lastFault) > quietPeriod:
		c.addViolation("DRAIN", "%s run %d started on %s, %s after it was acknowledged that the worker leaves", t.Name, t.Run, worker, leaving)
	case !w.cancelledAt.IsZero() && now.Sub(w.cancelledAt) > cancelBound && now.Sub(c.lastFault) > quietPeriod:
		c.addViolation("UNASKED", "%s run %d started on %s, %s after the cancellation of its job was acknowledged", t.Name, t.Run, worker, now.Sub(w.cancelledAt))
	}
	record.active[worker] = t.Run
	record.starts++
}

func (c *checker) stepDone(w *workload, step int) bool {
	for i := range w.Tasks {
		if t := w.tasks[w.TaskName(step, i)]; t == nil || !t.ended {
			return false
		}
	}
	return true
}

// Ended implements standin.Observer.
func (c *checker) Ended(worker string, t standin.TaskRun, how standin.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, record, _ := c.taskOf(t.Name)
	if record == nil || how == standin.Refused {
		return
	}
	delete(record.active, worker)
	if how == standin.Done {
		record.ended = true
		record.endedAt[t.Run] = record.starts
	}
}

// Acknowledged implements standin.Observer.
func (c *checker) Acknowledged(worker string, t standin.TaskRun, how standin.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, record, _ := c.taskOf(t.Name)
	switch {
	case record == nil:
	case how == standin.Failed:
		record.failed++
	case how == standin.Done:
		record.done = true
		if record.starts > record.endedAt[t.Run] {
			c.addViolation("TWICE", "%s was started again before the end of run %d on %s was recorded", t.Name, t.Run, worker)
		}
	}
}

// checkState checks the state that the system shows for a workload at the end.
func (c *checker) checkState(w *workload, status int, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !w.accepted:
		if w.refused && state != "" {
			c.addViolation("REFUSED", "job %s is shown as %s although it was refused", w.ID, state)
		}
	case state == "":
		c.addViolation("LOST", "job %s has no state, only status %d", w.ID, status)
	case state == "canceled" && !w.cancelSent:
		c.addViolation("LOST", "job %s is shown as canceled, but no cancellation was sent", w.ID)
	case state == "failed" && !w.attemptsUsed():
		c.addViolation("LOST", "job %s is shown as failed, but no task has used all its attempts", w.ID)
	case state == "completed":
		for step := range w.Steps {
			if !c.stepDone(w, step) {
				c.addViolation("MIXED", "job %s is shown as completed, but step %d is not", w.ID, step)
			}
		}
	}
}

// attemptsUsed reports whether a task of the workload has failed in all of its attempts.
func (w *workload) attemptsUsed() bool {
	for _, t := range w.tasks {
		if t.failed >= w.Queue.Attempts {
			return true
		}
	}
	return false
}

// report returns the violations.
func (c *checker) report() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// list returns all workloads.
func (c *checker) list() (out []*workload) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workloads {
		out = append(out, w)
	}
	return out
}
