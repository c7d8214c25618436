package main

import (
	"strings"
	"sync"
	"time"
)

// runs holds what workers have run.
type runs struct {
	rec   *record
	mu    sync.Mutex
	tasks map[string]*task
	// speculative names the jobs whose tasks may run in copies.
	speculative map[string]bool
	// apart is the largest number of tasks of one step of a job that may run on one worker.
	apart map[string]int
	// onWorker holds the active runs by worker and step.
	onWorker map[string]map[string]int
	// quietFrom is the time from which no disruption is near; zero while one may be.
	quietFrom time.Time
	// failed holds the numbers of the runs of a job that have ended failed.
	failed map[string]map[int]bool
}

type task struct {
	active  map[string]int // run number by worker
	began   time.Time      // start of the last run
	noted   bool           // an end done was taken note of
	starts  int
	done    bool
	lastEnd time.Time
}

func newRuns(rec *record) *runs {
	return &runs{rec: rec, tasks: map[string]*task{}, speculative: map[string]bool{}, apart: map[string]int{}, onWorker: map[string]map[string]int{}, failed: map[string]map[int]bool{}}
}

func (r *runs) task(name string) *task {
	if r.tasks[name] == nil {
		r.tasks[name] = &task{active: map[string]int{}}
	}
	return r.tasks[name]
}

func jobOf(name string) string { id, _, _ := strings.Cut(name, "."); return id }

// stepOf returns the name of the step of a task, with the occurrence.
func stepOf(name string) string { return name[:strings.LastIndexByte(name, '.')] }

func (r *runs) started(worker, name string, number int, saved string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.log("worker %s: starts %s run %d, checkpoint %q", worker, name, number, saved)
	t := r.task(name)
	if !r.speculative[jobOf(name)] {
		for other, n := range t.active {
			r.rec.breach("TWICE: %s run %d starts on %s while run %d is active on %s", name, number, worker, n, other)
		}
		if t.noted {
			r.rec.breach("TWICE: %s run %d starts on %s after an end 'done' was taken note of", name, number, worker)
		}
	}
	if r.onWorker[worker] == nil {
		r.onWorker[worker] = map[string]int{}
	}
	r.onWorker[worker][stepOf(name)]++
	if limit := r.apart[jobOf(name)]; limit > 0 && r.onWorker[worker][stepOf(name)] > limit {
		r.rec.breach("ROUTE: %s run %d starts on %s, which then runs %d tasks of the step, with an anti_affinity of %d", name, number, worker, r.onWorker[worker][stepOf(name)], limit)
	}
	t.active[worker], t.began = number, time.Now()
	t.starts++
}

func (r *runs) ended(worker, name string, number int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.log("worker %s: %s run %d ends: %s", worker, name, number, how)
	t := r.task(name)
	delete(t.active, worker)
	r.onWorker[worker][stepOf(name)]--
	t.done = t.done || how == "done"
	if how == "failed" {
		if r.failed[jobOf(name)] == nil {
			r.failed[jobOf(name)] = map[int]bool{}
		}
		r.failed[jobOf(name)][number] = true
	}
	if how == "alone" && !r.quietFrom.IsZero() && t.began.After(r.quietFrom) {
		r.rec.breach("GANG: %s run %d on %s ends alone; it began %s after the last disruption had ended", name, number, worker, t.began.Sub(r.quietFrom).Round(time.Millisecond)+contactTime)
	}
	t.lastEnd = time.Now()
}

func (r *runs) noted(worker, name string, number int, how string, lapsed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.log("worker %s: end of %s run %d (%s) is taken note of, lease lapsed %t", worker, name, number, how, lapsed)
	if how == "done" && !lapsed {
		r.task(name).noted = true
	}
}

// active returns the number of active runs whose names begin with the prefix.
func (r *runs) active(prefix string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for name, t := range r.tasks {
		if strings.HasPrefix(name, prefix) {
			n += len(t.active)
		}
	}
	return n
}

// doneTasks returns the number of tasks with an end done whose names begin with the prefix.
func (r *runs) doneTasks(prefix string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for name, t := range r.tasks {
		if strings.HasPrefix(name, prefix) && t.done {
			n++
		}
	}
	return n
}

// failedRuns returns the numbers of the runs of a job's gang that have ended failed.
func (r *runs) failedRuns(id string) map[int]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed[id]
}
