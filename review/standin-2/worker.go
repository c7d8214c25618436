package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of a worker, from PROTOCOL.md and the settings.
const (
	answerTimeout  = time.Second
	maxAnswerBytes = 4 << 20 // "at most 4 MiB"
	maxFinished    = 500
	holdMax        = 6 * time.Second
	heartbeatPause = 1500 * time.Millisecond
	endPause       = 50 * time.Millisecond
	failedPause    = 50 * time.Millisecond // until the next node is called
)

// Capacity of a worker, as on the small sites.
const (
	workerCPU = 16000
	workerMem = 65536
)

// worker runs tasks as PROTOCOL.md says. The spec of a task begins with its run time in
// milliseconds, 0 for a task that lasts.
type worker struct {
	site    *site
	ledger  *ledger
	id      string
	machine string
	zone    string
	rack    string
	born    int64
	client  *http.Client

	mu        sync.Mutex // guards the fields below
	running   map[string]*taskRun
	used      int64          // thousandths of a core
	highest   map[string]int // highest run that was stopped or has ended, by task
	finished  []ending
	lastEnd   int64
	fence     uint64
	sequence  int64
	target    string // address of the next heartbeat; empty for any
	leaseEnd  time.Time
	acked     int // heartbeats
	tooLarge  int // answers of more than maxAnswerBytes
	lapsed    int // runs that ended with the lease
	nextBeat  time.Time
	cutUntil  time.Time      // no heartbeat and no answer passes until then
	startedBy map[string]int // starts by job
	specs     map[string]int // starts by spec
}

type taskRun struct {
	number int
	cpu    int64
	begun  time.Time
	length time.Duration // 0 for a task that lasts
}

type ending struct {
	position int64
	task     string
	number   int
	how      string
	lapsed   bool // the lease has lapsed since the end, so that an acknowledgement means nothing
}

// sizes tells the workers what the tasks of a job take, because orders do not.
type sizes struct {
	mu  sync.Mutex
	cpu map[string]int64 // by job
}

func (s *sizes) set(job string, cpu int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cpu[job] = cpu
}

func (s *sizes) of(task string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cpu[strings.SplitN(task, ".", 2)[0]]
}

func newWorker(s *site, l *ledger, n int) *worker {
	return &worker{
		site: s, ledger: l, id: fmt.Sprintf("i-%04d", n), machine: fmt.Sprintf("m-%04d", n), zone: fmt.Sprintf("z%d", n%3+1), rack: fmt.Sprintf("r1-%d", n/4),
		born: time.Now().UnixMilli(), client: &http.Client{CheckRedirect: followTwice},
		running: map[string]*taskRun{}, highest: map[string]int{}, startedBy: map[string]int{}, specs: map[string]int{},
	}
}

func (w *worker) labels() []string { return []string{"a", w.rack} }

func (w *worker) capacity() map[string]any {
	return map[string]any{"cpu_millis": workerCPU, "mem_mb": workerMem, "gpus": 0}
}

// run sends heartbeats until ctx ends.
func (w *worker) run(ctx context.Context, known *sizes) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.mu.Lock()
			w.endRuns(now)
			due := !now.Before(w.nextBeat)
			w.mu.Unlock()
			if due {
				w.beat(ctx, known)
			}
		}
	}
}

// endRuns ends the runs whose time or lease is over.
func (w *worker) endRuns(now time.Time) {
	if !now.Before(w.leaseEnd) {
		for i := range w.finished {
			w.finished[i].lapsed = true
		}
	}
	for task, r := range w.running {
		switch {
		case !now.Before(w.leaseEnd):
			w.lapsed++
			w.site.rec.add(w.id, "lapsed "+task, r.number)
			w.end(now, task, r.number, "lapsed")
		case r.length > 0 && now.Sub(r.begun) >= r.length:
			w.end(now, task, r.number, "done")
		}
	}
}

func (w *worker) end(now time.Time, task string, number int, how string) {
	if r := w.running[task]; r != nil && r.number == number {
		delete(w.running, task)
		w.used -= r.cpu
		w.ledger.ends(task, number, how)
	}
	w.highest[task] = max(w.highest[task], number)
	w.lastEnd++
	w.finished = append(w.finished, ending{position: w.lastEnd, task: task, number: number, how: how})
	if at := now.Add(endPause); at.Before(w.nextBeat) {
		w.nextBeat = at
	}
}

// beat sends one heartbeat and carries out the answer, if it arrives in time.
func (w *worker) beat(ctx context.Context, known *sizes) {
	controls := w.site.controls()
	if len(controls) == 0 {
		return
	}
	sent := time.Now()
	w.mu.Lock()
	w.sequence++
	target := w.target
	if target == "" {
		target = controls[rand.IntN(len(controls))]
	}
	body := w.heartbeat(sent)
	cut := w.cutUntil
	w.mu.Unlock()
	size, answer := 0, (*orders)(nil)
	if sent.Before(cut) {
		w.lose(ctx, cut.Sub(sent))
	} else {
		size, answer = w.send(ctx, target, body)
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer == nil || now.Sub(sent) > answerTimeout || size > maxAnswerBytes {
		if size > maxAnswerBytes {
			w.tooLarge++
			w.site.rec.add(w.id, "answer is not an acknowledgement", map[string]any{"bytes": size, "after_ms": now.Sub(sent).Milliseconds()})
		}
		w.target, w.nextBeat = "", now.Add(failedPause)
		return
	}
	w.acked++
	w.obey(sent, now, answer, known)
}

// lose waits for the answer to a heartbeat that does not arrive. Its bytes are lost with the
// connection, which the worker gives up after answerTimeout or when the cut ends.
func (w *worker) lose(ctx context.Context, rest time.Duration) {
	w.client.CloseIdleConnections()
	select {
	case <-ctx.Done():
	case <-time.After(min(rest, answerTimeout)):
	}
}

// orders is the answer to a heartbeat.
type orders struct {
	HeartbeatAddr string  `json:"heartbeat_addr"`
	HoldMs        int64   `json:"hold_ms"`
	AckCursor     int64   `json:"ack_cursor"`
	FencingToken  uint64  `json:"fencing_token"`
	StartTasks    [][]any `json:"start_tasks"`
	StopTasks     [][]any `json:"stop_tasks"`
	RetryAfterMs  int64   `json:"retry_after_ms"`
}

// send returns the size of the answer and its content, which is nil without a 200.
func (w *worker) send(ctx context.Context, target string, body []byte) (int, *orders) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+target+"/lacewingturn/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil || resp.StatusCode != http.StatusOK {
		return len(data), nil
	}
	if len(data) > maxAnswerBytes {
		return len(data), nil
	}
	var o orders
	if json.Unmarshal(data, &o) != nil {
		return len(data), nil
	}
	return len(data), &o
}

func (w *worker) heartbeat(now time.Time) []byte {
	running, finished := [][]any{}, [][]any{}
	for task, r := range w.running {
		percent := 100
		if r.length > 0 {
			percent = min(99, int(100*now.Sub(r.begun)/r.length))
		}
		running = append(running, []any{task, r.number, "", percent, 0})
	}
	for _, e := range w.finished[:min(len(w.finished), maxFinished)] {
		finished = append(finished, []any{e.position, e.task, e.number, e.how, ""})
	}
	data, _ := json.Marshal(map[string]any{ // never fails for these types
		"service": service, "address": w.machineAddress(), "machine": w.machine, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": w.capacity(), "labels": w.labels(), "clock_ms": now.UnixMilli() - w.born, "sequence": w.sequence, "born": w.born,
		"running": running, "finished": finished,
	})
	return data
}

func (w *worker) machineAddress() string {
	n, _ := strconv.Atoi(strings.TrimPrefix(w.id, "i-")) // the id was made from a number
	return fmt.Sprintf("127.0.88.%d:8080", n)
}

// obey carries out the orders in an answer.
func (w *worker) obey(sent, now time.Time, o *orders, known *sizes) {
	w.target = o.HeartbeatAddr
	w.nextBeat = now.Add(heartbeatPause)
	if o.RetryAfterMs > 0 {
		w.nextBeat = now.Add(time.Duration(o.RetryAfterMs) * time.Millisecond)
	}
	if o.FencingToken < w.fence {
		return
	}
	w.fence = o.FencingToken
	for len(w.finished) > 0 && w.finished[0].position <= o.AckCursor {
		if first := w.finished[0]; first.how == "done" && !first.lapsed {
			w.ledger.notes(first.task, first.number)
		}
		w.finished = w.finished[1:]
	}
	for _, row := range o.StopTasks {
		task, number := row[0].(string), int(row[1].(float64))
		if r := w.running[task]; r != nil && r.number == number {
			w.end(now, task, number, "stopped")
		}
		w.highest[task] = max(w.highest[task], number)
	}
	if o.HoldMs <= 0 {
		return
	}
	until := sent.Add(min(time.Duration(o.HoldMs)*time.Millisecond, holdMax))
	if until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
	for _, row := range o.StartTasks {
		w.start(now, row[0].(string), int(row[1].(float64)), row[2].(string), known)
	}
}

func (w *worker) start(now time.Time, task string, number int, spec string, known *sizes) {
	if r := w.running[task]; r != nil && r.number >= number {
		return
	}
	cpu := known.of(task)
	if number <= w.highest[task] || w.used+cpu > workerCPU {
		w.end(now, task, number, "refused")
		return
	}
	ms, _ := strconv.Atoi(strings.Fields(spec)[0]) // 0 for a task that lasts
	w.running[task] = &taskRun{number, cpu, now, time.Duration(ms) * time.Millisecond}
	w.ledger.starts(w.id, task, number)
	w.used += cpu
	job := strings.SplitN(task, ".", 2)[0]
	w.startedBy[job]++
	w.specs[spec]++
	if w.startedBy[job] <= 3 {
		w.site.rec.add(w.id, "started "+task, map[string]any{"run": number, "spec": spec[:min(len(spec), 32)]})
	}
}
