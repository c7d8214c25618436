package main

import (
	"strings"
	"sync"
	"time"
)

// ledger holds what workers have seen of each task, across all workers.
type ledger struct {
	rec *record

	mu    sync.Mutex
	tasks map[string]*history
	away  []outage
}

// history is what has happened to one task.
type history struct {
	active   map[int]string // workers by run
	done     int            // run that has ended done first; 0 if none
	noted    bool           // the end was taken note of
	started  int            // highest run that was started after the end; 0 if none
	twice    bool
	overlaps bool
}

// outage is the time for which a task did not run after its lease had lapsed.
type outage struct {
	task        string
	from, until time.Time // until is zero while the task does not run
}

func newLedger(rec *record) *ledger { return &ledger{rec: rec, tasks: map[string]*history{}} }

func (l *ledger) of(task string) *history {
	h := l.tasks[task]
	if h == nil {
		h = &history{active: map[int]string{}}
		l.tasks[task] = h
	}
	return h
}

func (l *ledger) starts(worker, task string, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.of(task)
	if len(h.active) > 0 {
		h.overlaps = true
		l.rec.add(worker, "TWICE: started "+task+" while another run of it is active", map[string]any{"run": run, "active": h.active})
	}
	h.active[run] = worker
	if h.done > 0 {
		h.started = run
		l.rec.add(worker, "started "+task+" although a run of it has ended done", map[string]any{"run": run, "done": h.done, "noted": h.noted})
		l.judge(h, task)
	}
	for i := range l.away {
		if l.away[i].task == task && l.away[i].until.IsZero() {
			l.away[i].until = time.Now()
		}
	}
}

func (l *ledger) ends(task string, run int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.of(task)
	delete(h.active, run)
	if how == "done" && h.done == 0 {
		h.done = run
	}
	if how == "lapsed" {
		l.away = append(l.away, outage{task: task, from: time.Now()})
	}
}

// notes records that the end of a run was acknowledged while the lease had not lapsed since.
func (l *ledger) notes(task string, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.of(task); h.done == run {
		h.noted = true
		l.judge(h, task)
	}
}

// judge checks the rule TWICE: "a start after a run has ended done, if that end is taken note of
// then or later".
func (l *ledger) judge(h *history, task string) {
	if h.noted && h.started > 0 && !h.twice {
		h.twice = true
		l.rec.add("ledger", "TWICE: "+task, map[string]int{"done": h.done, "started after it": h.started})
	}
}

// twice returns the number of tasks that break the rule TWICE.
func (l *ledger) twice() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.tasks {
		if h.twice || h.overlaps {
			n++
		}
	}
	return n
}

// done returns the number of tasks of the job that have ended done.
func (l *ledger) done(job string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task, h := range l.tasks {
		if h.done > 0 && strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

// mostAway returns the largest number of tasks of the job that were away at the same time because
// their leases had lapsed.
func (l *ledger) mostAway(job string) (most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.away {
		away := 0
		for _, other := range l.away {
			of := strings.HasPrefix(other.task, job+".")
			if of && !other.from.After(at.from) && (other.until.IsZero() || other.until.After(at.from)) {
				away++
			}
		}
		most = max(most, away)
	}
	return most
}

// longestOutage returns the longest time for which a task of the job did not run after its lease
// had lapsed.
func (l *ledger) longestOutage(job string) (longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.away {
		until := o.until
		if until.IsZero() {
			until = time.Now()
		}
		if strings.HasPrefix(o.task, job+".") {
			longest = max(longest, until.Sub(o.from))
		}
	}
	return longest
}
