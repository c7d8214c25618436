package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	gangTimeout   = 3 * time.Second
	checkpointGap = 500 * time.Millisecond // of work
	restoreTime   = 600 * time.Millisecond
)

// gangs holds the gangs of the runs, by step and run number.
type gangs struct {
	rec *record
	mu  sync.Mutex
	all map[string]*gang
}

// gang is one run of all tasks of a step. Its members work from the moment when all of
// them are present with the same checkpoint.
type gang struct {
	rec     *record
	name    string
	mu      sync.Mutex
	size    int
	present int
	saved   map[string]int // members by the checkpoint that their start carried
	work    time.Duration  // work of the step
	before  time.Duration  // work that the checkpoint stands for
	began   time.Time      // when the work began; zero if it has not
	ended   time.Duration  // work that was done when a member ended
	over    bool           // a member has ended
}

func (g *gangs) join(now time.Time, task string, r *taskRun) *gang {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := fmt.Sprintf("%s run %d", stepOf(task), r.number)
	if g.all[key] == nil {
		g.all[key] = &gang{rec: g.rec, name: key, size: r.spec.Gang, saved: map[string]int{}, work: time.Duration(r.spec.Ms) * time.Millisecond}
	}
	x := g.all[key]
	x.mu.Lock()
	defer x.mu.Unlock()
	x.present++
	x.saved[r.saved]++
	if x.present < x.size {
		return x
	}
	if len(x.saved) > 1 {
		g.rec.log("gang %s: all %d members are present with different checkpoints, by members: %v", key, x.size, x.saved)
		return x
	}
	x.began = now
	if r.saved != "" {
		var ms int
		_, _ = fmt.Sscanf(r.saved, "%08x", &ms)
		x.before, x.began = time.Duration(ms)*time.Millisecond, now.Add(restoreTime)
	}
	g.rec.log("gang %s: all %d members are present; work goes on from %s", key, x.size, x.before)
	return x
}

// done returns the work that is done. g.mu must be held.
func (g *gang) done(now time.Time) time.Duration {
	switch {
	case g.over:
		return g.ended
	case g.began.IsZero() || now.Before(g.began):
		return g.before
	}
	return g.before + now.Sub(g.began)
}

func (g *gang) percent(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(99, int(100*g.done(now)/g.work))
}

// checkpoint returns the newest checkpoint of a member: a new one comes with each
// checkpointGap of work, at the same work for all members.
func (g *gang) checkpoint(now time.Time, r *taskRun) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.done(now) / checkpointGap
	if g.began.IsZero() || n*checkpointGap <= g.before {
		return r.saved
	}
	return fmt.Sprintf("%08x", (n * checkpointGap).Milliseconds())
}

// outcome returns how the run of a member ends now; empty if it goes on.
func (g *gang) outcome(now time.Time, r *taskRun) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.over:
		if g.ended >= g.work {
			return "done"
		}
		return "broken"
	case g.began.IsZero():
		if now.Sub(r.started) > gangTimeout {
			return "alone"
		}
		return ""
	case g.done(now) >= g.work:
		return "done"
	}
	return ""
}

// left records that a member has ended. The others end with it if they work.
func (g *gang) left(now time.Time, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.over && !g.began.IsZero() {
		g.ended = g.done(now)
		g.over = true
	}
}

// doneNow returns the work that a working gang has done; 0 if it does not work.
func (g *gangs) doneNow(key string) time.Duration {
	g.mu.Lock()
	x := g.all[key]
	g.mu.Unlock()
	if x == nil {
		return 0
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.began.IsZero() {
		return 0
	}
	return x.done(time.Now())
}
