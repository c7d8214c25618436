package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// cutAfter is the time from the first start of the job on a worker until the worker is cut off.
	cutAfter = 20 * time.Millisecond
	// cutTime is below the lease of 3.5 s, so that the worker still holds it when it is back. The
	// site's node_cut of workers lasts 5.5 s.
	cutTime = 2300 * time.Millisecond
)

// shortTasks hands in scheduled jobs of many short tasks that are due at the same time. The tasks
// end before the next heartbeat of their worker. The disruption cuts that worker off from all
// machines; it runs on.
func shortTasks(st *stage) (int, error) {
	if err := st.begin(3, 1, 6); err != nil {
		return notRun, err
	}
	const jobs, tasks = 13, 300 // 15.6 cores together; each worker has 16
	due := time.Now().Add(3 * time.Second)
	ids := make([]string, jobs)
	for n := range ids {
		ids[n] = fmt.Sprintf("5c0e7a21d94b%04x", n)
		work := phase{Count: tasks, CPUMillis: 4, MemMB: 4, EstimateMs: 100}
		st.known.set(ids[n], work.CPUMillis)
		status := st.caller.try(http.MethodPost, ids[n], map[string]any{
			"spec": "100 short", "phases": []phase{work}, "repeat_count": 1, "start_at_ms": due.UnixMilli(), "interval_ms": 1000,
		})
		st.rec.add("client", "submitted "+ids[n], map[string]any{"status": status, "due_in_ms": time.Until(due).Milliseconds(), "phases": work})
		if status != http.StatusOK {
			return notRun, errors.New("a job was not accepted")
		}
	}
	if st.trouble {
		if err := st.cutFirst(); err != nil {
			return notRun, err
		}
	}
	if err := st.sleep(time.Until(due) + 15*time.Second); err != nil {
		return notRun, err
	}
	for _, id := range ids {
		st.caller.state(id)
	}
	st.rec.add("case", "tasks that break TWICE", st.ledger.twice())
	if st.ledger.twice() > 0 {
		return broken, nil
	}
	return held, nil
}

// cutFirst cuts off the first worker that starts a task.
func (st *stage) cutFirst() error {
	for {
		for _, w := range st.workers {
			w.mu.Lock()
			started := len(w.startedBy) > 0
			w.mu.Unlock()
			if !started {
				continue
			}
			if err := st.sleep(cutAfter); err != nil {
				return err
			}
			w.mu.Lock()
			w.cutUntil = time.Now().Add(cutTime)
			w.mu.Unlock()
			st.rec.add(w.id, "cut off, in ms", cutTime.Milliseconds())
			return nil
		}
		if err := st.sleep(5 * time.Millisecond); err != nil {
			return err
		}
	}
}
