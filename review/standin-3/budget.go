package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// stopTime is how long a stop takes; stop_timeout_ms is 900.
const stopTime = 800 * time.Millisecond

// budgetKeeper counts the tasks of a step that lasts that were ended by a stop and do not work
// again.
type budgetKeeper struct {
	mu       sync.Mutex
	missable int
	record   *record
	away     map[string]bool // tasks that a stop has ended or is ending
	broken   string
	first    func(w *worker) // called with the first stop
	once     sync.Once
}

// stopping is called when the order to stop a task that is at work arrives.
func (b *budgetKeeper) stopping(w *worker, _ string) {
	if b.first != nil {
		b.once.Do(func() { go b.first(w) })
	}
}

// stopped is called when a stop has ended a task.
func (b *budgetKeeper) stopped(w *worker, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.away == nil {
		return
	}
	if others := len(b.away); others >= b.missable && b.broken == "" {
		b.broken = fmt.Sprintf("a stop ends task %s, which is at work on the sound worker %s, while %d other tasks of its step are away, ended by such orders; missable is %d", name, w.id, others, b.missable)
		b.record.add("BROKEN: AVAIL: %s", b.broken)
	}
	b.away[name] = true
}

// back notes the tasks that are at work again on a worker.
func (b *budgetKeeper) back(w *worker) {
	for _, name := range w.serving() {
		b.mu.Lock()
		delete(b.away, name)
		b.mu.Unlock()
	}
}

// budget: a wave empties two machines on which two tasks of a step with missable 1 last. When the
// first is told to stop, the process that leads gets SIGTERM.
func budget(s *scene) (int, error) {
	s.budget.record, s.budget.missable, s.budget.away = s.record, 1, map[string]bool{}
	s.handIn(fmt.Sprintf("%016x", rand.Uint64()), "1h 2000 "+serve, map[string]any{
		"count": 2, "cpu_millis": 2000, "mem_mb": 64, "estimate_ms": 1000, "long_running": true, "missable": 1, "anti_affinity": 1, "requirements": lonelyRack,
	})
	one, two := s.platform.workerOf("m-01"), s.platform.workerOf("m-02")
	atWork := func(w *worker, n int) bool { _, _, _, running := w.counts(); return running == n }
	if err := s.until(15*time.Second, "both tasks that last are at work", func() bool { return atWork(one, 1) && atWork(two, 1) }); err != nil {
		return notRun, err
	}
	time.Sleep(2 * contact)
	if s.trouble {
		s.budget.first = func(w *worker) {
			if m := s.site.byControl(w.leader()); m != nil {
				_ = s.site.terminateControl(m) // seen in the record
			}
		}
	}
	s.submit(1, 1000, 8*time.Second, "kind-1")
	if err := s.until(5*time.Second, "the first machine has another task", func() bool { return atWork(one, 2) }); err != nil {
		return notRun, err
	}
	s.submit(2, 1000, time.Second, "kind-2")
	if err := s.until(5*time.Second, "the second machine has two other tasks", func() bool { return atWork(two, 3) }); err != nil {
		return notRun, err
	}
	time.Sleep(600 * time.Millisecond)
	if err := s.startWave(2, 30*time.Second, "m-01", "m-02"); err != nil {
		return notRun, err
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.budget.back(s.platform.workerOf("m-01"))
		s.budget.back(s.platform.workerOf("m-02"))
	}
	status, body := s.call(http.MethodGet, s.pick(s.site.seeds()), "/lacewingturn/wave-get/1", nil)
	s.record.add("operator: the wave is answered with %d %s", status, strings.TrimSpace(string(body)))
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.budget.broken != "" {
		return broken, nil
	}
	return held, nil
}
