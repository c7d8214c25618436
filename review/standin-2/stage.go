package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// stage is what a case has started.
type stage struct {
	ctx      context.Context
	rec      *record
	root     string
	trouble  bool // the disruption is played
	site     *site
	workers  []*worker
	known    *sizes
	ledger   *ledger
	operator *operator
	caller   *caller
	group    sync.WaitGroup
	stop     context.CancelFunc
}

// begin creates a site with machines that have a disk, the first three of which are the seeds,
// and workers. The machines and the workers are running and a configuration is in force.
func (st *stage) begin(machines, tolerated, workers int) error {
	var err error
	if st.site, err = newSite(st.rec, st.root, tolerated); err != nil {
		return err
	}
	st.known, st.ledger = &sizes{cpu: map[string]int64{}}, newLedger(st.rec)
	for n := range workers {
		st.workers = append(st.workers, newWorker(st.site, st.ledger, n+1))
	}
	c, err := newCloud(st.workers)
	if err != nil {
		return err
	}
	st.site.cloud = c.address()
	for n := range machines {
		m := st.site.add(n+1, true, true)
		if n < 3 {
			st.site.seeds = append(st.site.seeds, m.ip)
		}
	}
	for _, m := range st.site.list() {
		if err := m.start(); err != nil {
			return err
		}
	}
	var ctx context.Context
	ctx, st.stop = context.WithCancel(st.ctx)
	for _, w := range st.workers {
		st.group.Go(func() { w.run(ctx, st.known) })
	}
	st.operator, st.caller = newOperator(st.site), newCaller(st.site, firstQueue)
	if !st.operator.publish(1, 15*time.Second) {
		return errors.New("the first configuration was not acknowledged")
	}
	return st.sleep(3 * time.Second)
}

func (st *stage) close() {
	if st.stop != nil {
		st.stop()
	}
	if st.site != nil {
		st.site.stop()
	}
	st.group.Wait()
}

func (st *stage) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-st.ctx.Done():
		return errors.New("the time of the case is over")
	}
}

// submit hands a job in and tells the workers the size of its tasks. The run time comes first in
// the spec.
func (st *stage) submit(id, spec string, p phase) bool {
	st.known.set(id, p.CPUMillis)
	return st.caller.submit(id, spec, p)
}

// use is what the workers do at a moment.
type use struct {
	job      int   // tasks of the job that run
	started  int   // starts of tasks of the job so far
	cpu      int64 // thousandths of a core in use
	lapsed   int   // runs that have ended with their lease so far
	tooLarge int   // answers that are larger than a worker takes, so far
}

func (st *stage) use(job string) (u use) {
	for _, w := range st.workers {
		w.mu.Lock()
		for task, r := range w.running {
			u.cpu += r.cpu
			if len(task) > len(job) && task[:len(job)+1] == job+"." {
				u.job++
			}
		}
		u.started += w.startedBy[job]
		u.lapsed += w.lapsed
		u.tooLarge += w.tooLarge
		w.mu.Unlock()
	}
	return u
}

// watch looks at the job until it is completed or the time is over, and returns the longest time
// in which nothing of it ran although a task had not ended done, while less than half of the
// capacity was in use.
func (st *stage) watch(job string, tasks int, limit time.Duration) (idle time.Duration, state string, err error) {
	capacity := int64(len(st.workers)) * workerCPU
	since := time.Now()
	end, nextAsk, nextNote := time.Now().Add(limit), time.Now(), time.Now()
	for time.Now().Before(end) {
		if err := st.sleep(50 * time.Millisecond); err != nil {
			return idle, state, err
		}
		u, now := st.use(job), time.Now()
		if u.job > 0 || 2*u.cpu >= capacity || st.ledger.done(job) == tasks {
			since = now
		}
		idle = max(idle, now.Sub(since))
		if now.After(nextNote) {
			nextNote = now.Add(time.Second)
			st.rec.add("workers", "in use", fmt.Sprintf("%d tasks of the job, %d of %d millicores; %d starts of the job, %d lapsed, %d answers over 4 MiB; memory of the control processes in MB: %v", u.job, u.cpu, capacity, u.started, u.lapsed, u.tooLarge, st.memory()))
		}
		if now.After(nextAsk) {
			nextAsk = now.Add(2 * time.Second)
			if _, s := st.caller.state(job); s != "" {
				state = s
			}
			if state == "completed" {
				return idle, state, nil
			}
		}
	}
	return idle, state, nil
}

// memory returns the resident memory of the control processes in MB.
func (st *stage) memory() (out []int) {
	for _, m := range st.site.list() {
		out = append(out, m.control.Load().residentMB())
	}
	return out
}
