package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// spec tells a worker how a task behaves. Clients send it as the spec of a job.
type spec struct {
	Ms      int  `json:"ms"`
	CPU     int  `json:"cpu"`
	Lasting bool `json:"lasting"`
	// Advised is set for jobs of a queue with advice: a start needs a ticket.
	Advised bool `json:"advised"`
	// Gang is the number of members of the gang that the task belongs to; 0 for none.
	Gang int `json:"gang"`
}

func (p spec) String() string { data, _ := json.Marshal(p); return string(data) }

// greyTime is the time after which a grey worker fails a run.
const greyTime = 100 * time.Millisecond

// worker is one life of a machine. It behaves as the pages describe.
type worker struct {
	site    *site
	id      string
	machine string
	service string
	address string
	zone    string
	rack    string
	cpu     int
	born    int64
	slow    float64 // how many times as long tasks take
	// unguarded workers start what they are told to, whatever room is left.
	unguarded bool
	// grey workers fail all that they start.
	grey bool
	// deleteVia is the address that the DELETE is sent to; empty for the usual one.
	deleteVia string
	// beforeDelete is called before the DELETE is sent; nil for nothing.
	beforeDelete func()
	// cutUntil is the end of a partition of the machine; zero for none.
	cutUntil time.Time

	mu       sync.Mutex
	down     bool
	draining bool
	ackedAt  time.Time // when it was first acknowledged that the worker drains
	sequence int64
	running  map[string]*taskRun
	highest  map[string]int
	ends     [][]any
	nextEnd  int64
	fence    uint64
	lease    time.Time
	lapsed   bool // the lease has run out since the last end was listed
	leader   string
	due      time.Time
}

type taskRun struct {
	number  int
	spec    spec
	started time.Time
	endsAt  time.Time
	stopAt  time.Time // when a stop takes effect; zero if none was ordered
	// saved is the checkpoint that the start carried, and gang the gang of the run.
	saved string
	gang  *gang
}

type heartbeatAnswer struct {
	HeartbeatAddr string  `json:"heartbeat_addr"`
	HoldMs        int64   `json:"hold_ms"`
	AckCursor     int64   `json:"ack_cursor"`
	FencingToken  uint64  `json:"fencing_token"`
	StartTasks    [][]any `json:"start_tasks"`
	StopTasks     [][]any `json:"stop_tasks"`
	RetryAfterMs  int64   `json:"retry_after_ms"`
}

// startWorker starts a new life of a machine.
func (s *site) startWorker(id, machine, service string, number, cpu int) *worker {
	w := &worker{
		site: s, id: id, machine: machine, service: service, address: fmt.Sprintf("%s.%d:8080", s.network, firstWorker+number),
		zone: fmt.Sprintf("z%d", number%withDisk), rack: fmt.Sprintf("r-%d", number/4), cpu: cpu, born: time.Now().UnixMilli(), slow: 1,
		running: map[string]*taskRun{}, highest: map[string]int{}, unguarded: s.unguarded,
	}
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	s.rec.log("worker %s: starts on machine %s in %s, born %d", id, machine, service, w.born)
	go w.loop()
	go w.beat()
	return w
}

// loop ends the runs whose time, stop or lease is due.
func (w *worker) loop() {
	for ; ; time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		if w.down {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		for name, r := range w.running {
			if w.grey && now.Sub(r.started) > greyTime {
				w.end(name, "failed") // the worker's fault, also for members of a gang
				continue
			}
			if r.gang != nil {
				if how := r.gang.outcome(now, r); how != "" {
					w.end(name, how)
					continue
				}
			}
			switch {
			case now.After(w.lease):
				w.lapsed = true
				w.end(name, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.end(name, "stopped")
			case r.gang == nil && !r.spec.Lasting && now.After(r.endsAt):
				w.end(name, "done")
			}
		}
		if now.After(w.lease) {
			w.lapsed = true
		}
		w.mu.Unlock()
	}
}

// end ends a run and lists the end. w.mu must be held.
func (w *worker) end(name, how string) {
	r := w.running[name]
	delete(w.running, name)
	saved := ""
	if r.gang != nil {
		saved = r.gang.checkpoint(time.Now(), r)
		r.gang.left(time.Now(), how)
	}
	w.list(name, r.number, how, saved)
	w.site.runs.ended(w.id, name, r.number, how)
}

func (w *worker) list(name string, number int, how, saved string) {
	w.highest[name] = max(w.highest[name], number)
	w.nextEnd++
	w.ends = append(w.ends, []any{w.nextEnd, name, number, how, saved})
	if at := time.Now().Add(50 * time.Millisecond); at.Before(w.due) {
		w.due = at
	}
}

// stop ends the worker like a crash: what runs on it ends and is not listed.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	w.down = true
	for name, r := range w.running {
		if r.gang != nil {
			r.gang.left(time.Now(), "gone")
		}
		w.site.runs.ended(w.id, name, r.number, "gone with its worker")
	}
	w.running = map[string]*taskRun{}
	w.site.rec.log("worker %s: ends", w.id)
}

// beat sends heartbeats, one at a time.
func (w *worker) beat() {
	client := newClient(answerTimeout)
	for ; ; time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		if w.down {
			w.mu.Unlock()
			return
		}
		if time.Now().Before(w.due) {
			w.mu.Unlock()
			continue
		}
		body := w.heartbeat()
		address := w.leader
		if address == "" {
			address = w.site.controls()[rand.IntN(machines)]
		}
		cutFor := time.Until(w.cutUntil)
		w.mu.Unlock()
		sent := time.Now()
		if cutFor > 0 {
			time.Sleep(answerTimeout) // no answer
			w.mu.Lock()
			w.answer(sent, address, 0, nil)
			w.mu.Unlock()
			continue
		}
		status, data := call(client, http.MethodPut, "http://"+address+"/lacewingturn/instances/"+w.id, "", body)
		w.mu.Lock()
		w.answer(sent, address, status, data)
		w.mu.Unlock()
	}
}

func (w *worker) heartbeat() fields {
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	running, finished := [][]any{}, [][]any{}
	for name, r := range w.running {
		percent := 100
		if !r.spec.Lasting {
			percent = min(99, int(100*time.Since(r.started)/max(r.endsAt.Sub(r.started), 1)))
		} else if time.Since(r.started) < 500*time.Millisecond {
			percent = 50
		}
		saved := ""
		if r.gang != nil {
			saved, percent = r.gang.checkpoint(time.Now(), r), r.gang.percent(time.Now())
		}
		running = append(running, []any{name, r.number, saved, percent, r.spec.CPU})
	}
	finished = append(finished, w.ends[:min(len(w.ends), 500)]...)
	return fields{
		"service": w.service, "address": w.address, "machine": w.machine, "zone": w.zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": fields{"cpu_millis": w.cpu, "mem_mb": 65536, "gpus": 0}, "labels": []string{"a", w.rack},
		"born": w.born, "sequence": w.sequence, "clock_ms": time.Now().UnixMilli() - w.born, "running": running, "finished": finished,
	}
}

// answer carries out the answer to a heartbeat. w.mu must be held.
func (w *worker) answer(sent time.Time, address string, status int, data []byte) {
	now := time.Now()
	var a heartbeatAnswer
	if w.down {
		return
	}
	if status != 200 || now.Sub(sent) > answerTimeout || json.Unmarshal(data, &a) != nil {
		w.site.rec.log("worker %s: heartbeat %d to %s: %d after %d ms", w.id, w.sequence, address, status, now.Sub(sent).Milliseconds())
		w.leader, w.due = "", now.Add(100*time.Millisecond)
		return
	}
	w.leader, w.due = a.HeartbeatAddr, now.Add(heartbeatMs*time.Millisecond)
	if a.RetryAfterMs > 0 {
		w.due = now.Add(time.Duration(a.RetryAfterMs) * time.Millisecond)
	}
	if w.draining && w.ackedAt.IsZero() {
		w.ackedAt = now
	}
	if a.FencingToken < w.fence {
		return
	}
	w.fence = a.FencingToken
	for len(w.ends) > 0 && w.ends[0][0].(int64) <= a.AckCursor {
		e := w.ends[0]
		w.site.runs.noted(w.id, e[1].(string), e[2].(int), e[3].(string), w.lapsed)
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 {
		w.lapsed = false
	}
	for _, row := range a.StopTasks {
		name, number := row[0].(string), int(row[1].(float64))
		w.highest[name] = max(w.highest[name], number)
		if r := w.running[name]; r != nil && r.number == number && r.stopAt.IsZero() {
			w.site.rec.log("worker %s: told to stop %s run %d", w.id, name, number)
			r.stopAt = now.Add(stopTimeout * 9 / 10)
		}
	}
	if a.HoldMs <= 0 {
		w.site.rec.log("worker %s: heartbeat %d answered without a lease", w.id, w.sequence)
		return
	}
	if until := sent.Add(min(time.Duration(a.HoldMs)*time.Millisecond, holdMax)); until.After(w.lease) {
		w.lease = until
	}
	for _, row := range a.StartTasks {
		ticket := ""
		if len(row) > 4 {
			ticket = row[4].(string)
		}
		w.start(now, row[0].(string), int(row[1].(float64)), row[2].(string), row[3].(string), ticket)
	}
}

// start starts a run or refuses it.
func (w *worker) start(now time.Time, name string, number int, text, saved, ticket string) {
	if r := w.running[name]; r != nil && r.number == number {
		return
	}
	var p spec
	used := 0
	for _, r := range w.running {
		used += r.spec.CPU
	}
	if json.Unmarshal([]byte(text), &p) != nil || number <= w.highest[name] || w.running[name] != nil || used+p.CPU > w.cpu && !w.unguarded || p.Advised && !w.site.platform.ticketValid(ticket, name, w.id) {
		w.list(name, number, "refused", "")
		w.site.rec.log("worker %s: refuses %s run %d", w.id, name, number)
		return
	}
	run := &taskRun{number: number, spec: p, started: now, endsAt: now.Add(time.Duration(float64(p.Ms)*w.slow) * time.Millisecond), saved: saved}
	w.running[name] = run
	w.highest[name] = number
	w.site.runs.started(w.id, name, number, saved)
	if p.Gang > 0 {
		run.gang = w.site.gangs.join(now, name, run)
	}
	if used+p.CPU > w.cpu {
		w.site.rec.breach("LIMIT: the start of %s run %d brings %s, which does not guard its capacity, to %d of %d cpu_millis", name, number, w.id, used+p.CPU, w.cpu)
	}
}

// runsTask reports whether the worker runs the task.
func (w *worker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// drain says that the worker leaves. After the acknowledgement and after, it sends its
// DELETE and ends.
func (w *worker) drain(after time.Duration) {
	w.mu.Lock()
	w.draining, w.due = true, time.Time{}
	w.mu.Unlock()
	for {
		w.mu.Lock()
		acked := w.ackedAt
		w.mu.Unlock()
		if !acked.IsZero() && time.Since(acked) > after {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if w.beforeDelete != nil {
		w.beforeDelete()
	}
	w.mu.Lock()
	address := w.leader
	if w.deleteVia != "" {
		address = w.deleteVia
	}
	w.mu.Unlock()
	sent := make(chan struct{})
	go func() {
		close(sent)
		status, _ := call(newClient(10*time.Second), http.MethodDelete, "http://"+address+"/lacewingturn/instances/"+w.id, "", nil)
		w.site.rec.log("worker %s: DELETE to %s answered with %d", w.id, address, status)
	}()
	<-sent
	w.site.rec.log("worker %s: DELETE sent to %s", w.id, address)
	w.stop()
}
