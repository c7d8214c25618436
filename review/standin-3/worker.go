package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	answerTimeout = time.Second
	beatInterval  = 1500 * time.Millisecond
	afterFailure  = 100 * time.Millisecond
	afterEnd      = 50 * time.Millisecond
	longestLease  = 6 * time.Second
	capacityMilli = 16000
)

// worker is one life of a worker on a machine. It follows PROTOCOL.md, "Running tasks" and
// "Service discovery".
type worker struct {
	id       string
	machine  string
	service  string
	kind     string
	rack     string
	address  string
	controls []string
	record   *record
	// stopTime is how long a stop takes; the run is listed meanwhile.
	stopTime time.Duration
	// stopping is called when a stop order for a run that is at work arrives, and stopped when
	// the run has ended by it.
	stopping, stopped func(w *worker, name string)

	mu       sync.Mutex
	born     time.Time
	sequence int64
	token    uint64
	lease    time.Time
	running  map[string]*task
	highest  map[string]int
	ends     []taskEnd
	lastEnd  int64
	answered int // heartbeats answered with 200
	held     int // of these, with a lease
	started  int
	wake     chan struct{}
	client   *http.Client
	heartTo  string
	next     int
	// reach maps the control addresses to those at which the worker reaches them; nil for the
	// same ones.
	reach map[string]string
	// allows checks the ticket of a start; nil where the queue has no advice.
	allows func(ticket string) bool
	used   int64 // thousandths of a core that runs take
	loaded bool  // the serving tasks are under load
}

type task struct {
	run     int
	begun   time.Time
	runTime time.Duration
	cores   int64
	kind    string    // empty, serve or fill; the last two last
	percent int       // at which a task that fills may work
	stopAt  time.Time // when the stop that was ordered is done; zero if none was
}

// Kinds of tasks.
const (
	serve = "serve"
	fill  = "fill"
)

// startup is how long a task that lasts takes until it is at work.
const startup = 300 * time.Millisecond

type taskEnd struct {
	position int64
	name     string
	run      int
	how      string
}

type orders struct {
	HoldMs        int64   `json:"hold_ms"`
	AckCursor     int64   `json:"ack_cursor"`
	FencingToken  uint64  `json:"fencing_token"`
	StartTasks    [][]any `json:"start_tasks"`
	StopTasks     [][]any `json:"stop_tasks"`
	RetryAfterMs  int64   `json:"retry_after_ms"`
	HeartbeatAddr string  `json:"heartbeat_addr"`
	Rate          [][]any `json:"rate"`
}

func newWorker(id, machine, service, kind, rack, address string, controls []string, reach map[string]string, r *record) *worker {
	return &worker{
		id: id, machine: machine, service: service, kind: kind, rack: rack, address: address, controls: controls, record: r, born: time.Now(),
		running: map[string]*task{}, highest: map[string]int{}, wake: make(chan struct{}, 1),
		reach: reach,
		client: &http.Client{Timeout: answerTimeout, CheckRedirect: func(r *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return http.ErrUseLastResponse
			}
			if path, ok := reach[r.URL.Host]; ok {
				r.URL.Host = path
			}
			return nil
		}},
	}
}

// run sends heartbeats until ctx ends, which ends everything on the worker.
func (w *worker) run(ctx context.Context) {
	w.record.add("worker %s begins on machine %s", w.id, w.machine)
	defer w.client.CloseIdleConnections()
	go w.watch(ctx)
	for ctx.Err() == nil {
		wait := w.beat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-w.wake:
			time.Sleep(afterEnd)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, t := range w.running {
		w.record.add("task %s run %d ends with worker %s", name, t.run, w.id)
	}
	w.record.add("worker %s ends", w.id)
}

// watch ends tasks whose time or lease is over.
func (w *worker) watch(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		now := time.Now()
		for name, t := range w.running {
			switch {
			case now.After(w.lease):
				w.end(name, t.run, "lapsed")
			case !t.stopAt.IsZero() && now.After(t.stopAt):
				if w.stopped != nil && t.kind == serve {
					w.stopped(w, name)
				}
				w.end(name, t.run, "stopped")
			case t.kind == "" && now.After(t.begun.Add(t.runTime)):
				w.end(name, t.run, "done")
			}
		}
		w.mu.Unlock()
	}
}

// end records the end of a run. The worker is locked.
func (w *worker) end(name string, run int, how string) {
	if t := w.running[name]; t != nil && t.run == run {
		if t.kind != fill {
			w.used -= t.cores
		}
		delete(w.running, name)
	}
	w.lastEnd++
	w.highest[name] = max(w.highest[name], run)
	w.ends = append(w.ends, taskEnd{w.lastEnd, name, run, how})
	w.record.add("task %s run %d on %s: %s", name, run, w.id, how)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// beat sends one heartbeat and returns the time until the next one.
func (w *worker) beat(ctx context.Context) time.Duration {
	w.mu.Lock()
	body, target := w.body(), w.target()
	w.mu.Unlock()
	sent := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+target+"/lacewingturn/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return afterFailure
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(req)
	if err != nil {
		return w.failed()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 4<<20))
	var o orders
	if err != nil || resp.StatusCode/100 != 2 || json.Unmarshal(data, &o) != nil || time.Since(sent) > answerTimeout || ctx.Err() != nil {
		return w.failed()
	}
	return w.obey(sent, o)
}

func (w *worker) failed() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heartTo = ""
	w.next++
	return afterFailure
}

// target returns the address of the next heartbeat. The worker is locked.
func (w *worker) target() string {
	to := w.heartTo
	if to == "" {
		to = w.controls[w.next%len(w.controls)]
	}
	if path, ok := w.reach[to]; ok {
		return path
	}
	return to
}

// body returns the next heartbeat. The worker is locked.
func (w *worker) body() []byte {
	w.sequence++
	running, finished := [][]any{}, [][]any{}
	for name, t := range w.running {
		running = append(running, []any{name, t.run, "", t.progress(), w.figure(t)})
	}
	for _, e := range w.ends {
		finished = append(finished, []any{e.position, e.name, e.run, e.how, ""})
	}
	data, _ := json.Marshal(map[string]any{ // holds nothing that cannot be encoded
		"service": w.service, "address": w.address, "machine": w.machine, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu_millis": capacityMilli, "mem_mb": 65536, "gpus": 0}, "labels": []string{w.kind, w.rack},
		"clock_ms": time.Since(w.born).Milliseconds(), "born": w.born.UnixMilli(), "sequence": w.sequence, "running": running, "finished": finished,
	})
	return data
}

// progress returns the percent of a run.
func (t *task) progress() int {
	if t.kind == "" {
		return min(99, int(100*time.Since(t.begun)/t.runTime))
	}
	return min(100, int(100*time.Since(t.begun)/startup))
}

// figure returns the fifth entry of a run. The worker is locked.
func (w *worker) figure(t *task) int {
	switch t.kind {
	case serve:
		return tail(w.loaded, w.fillerPercent())
	case fill:
		return int(t.cores) * t.percent / 100
	}
	return int(t.cores)
}

// fillerPercent returns the percent at which tasks that fill work. The worker is locked.
func (w *worker) fillerPercent() int {
	most := 0
	for _, t := range w.running {
		if t.kind == fill {
			most = max(most, t.percent)
		}
	}
	return most
}

// obey carries out an answer and returns the time until the next heartbeat.
func (w *worker) obey(sent time.Time, o orders) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heartTo = o.HeartbeatAddr
	w.answered++
	if o.FencingToken < w.token {
		return beatInterval
	}
	w.token = o.FencingToken
	for len(w.ends) > 0 && w.ends[0].position <= o.AckCursor {
		w.ends = w.ends[1:]
	}
	for _, row := range o.StopTasks {
		name, run := row[0].(string), int(row[1].(float64))
		w.highest[name] = max(w.highest[name], run)
		if t := w.running[name]; t != nil && t.run == run && t.stopAt.IsZero() {
			t.stopAt = time.Now().Add(w.stopTime)
			w.record.add("task %s run %d on %s is told to stop by token %d", name, run, w.id, o.FencingToken)
			if w.stopping != nil && t.kind == serve && t.progress() >= 100 {
				w.stopping(w, name)
			}
		}
	}
	if o.HoldMs > 0 {
		w.held++
		if until := sent.Add(min(time.Duration(o.HoldMs)*time.Millisecond, longestLease)); until.After(w.lease) {
			w.lease = until
		}
		for _, row := range o.StartTasks {
			ticket := ""
			if len(row) > 4 {
				ticket, _ = row[4].(string)
			}
			w.start(row[0].(string), int(row[1].(float64)), row[2].(string), ticket)
		}
	}
	for _, row := range o.Rate {
		if t := w.running[row[0].(string)]; t != nil && t.run == int(row[1].(float64)) {
			t.percent = int(row[2].(float64))
			w.record.add("task %s on %s may work at %d%%", row[0], w.id, t.percent)
		}
	}
	if o.RetryAfterMs > 0 {
		return time.Duration(o.RetryAfterMs) * time.Millisecond
	}
	return beatInterval
}

// start starts a run, or rejects it. The spec holds the run time and the thousandths of a core
// that the task takes. The worker is locked.
func (w *worker) start(name string, run int, spec, ticket string) {
	if t := w.running[name]; t != nil && t.run == run {
		return
	}
	var text, kind string
	var cores int64
	_, err := fmt.Sscan(spec, &text, &cores)
	_, _ = fmt.Sscan(spec, &text, &cores, &kind) // a task without a kind has none
	runTime, err2 := time.ParseDuration(text)
	barred := w.allows != nil && !w.allows(ticket)
	if err != nil || err2 != nil || barred || run <= w.highest[name] || w.running[name] != nil || kind != fill && w.used+cores > capacityMilli {
		w.end(name, run, "refused")
		return
	}
	w.running[name] = &task{run: run, begun: time.Now(), runTime: runTime, cores: cores, kind: kind, percent: 100}
	if kind != fill {
		w.used += cores
	}
	w.started++
	w.record.add("task %s run %d starts on %s (machine %s)", name, run, w.id, w.machine)
}

// counts returns how many heartbeats were answered, how many of them with a lease, how many
// runs were started, and how many are running.
func (w *worker) counts() (answered, held, started, running int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answered, w.held, w.started, len(w.running)
}

// serving returns the tasks that last, are at work and are not told to stop.
func (w *worker) serving() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for name, t := range w.running {
		if t.kind == serve && t.stopAt.IsZero() && t.progress() >= 100 {
			out = append(out, name)
		}
	}
	return out
}

// leader returns the address that the last answer named for heartbeats; empty if the last
// heartbeat had no answer.
func (w *worker) leader() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heartTo
}

func (w *worker) setLoaded(loaded bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loaded = loaded
}

// harm returns the tail of the serving task in milliseconds, and the percent at which tasks
// that fill work beside it.
func (w *worker) harm() (tailMs, percent int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	percent = w.fillerPercent()
	return tail(w.loaded, percent), percent
}

func (w *worker) String() string {
	answered, held, started, running := w.counts()
	return fmt.Sprintf("worker %s: %d heartbeats answered with 200, %d of them with hold_ms; %d tasks started, %d at work", w.id, answered, held, started, running)
}
