package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

var cases = map[string]func(*site){
	"foreign-heartbeat": foreignHeartbeat,
	"renamed-route":     renamedRoute,
	"late-delete":       lateDelete,
	"copy-apart":        copyApart,
	"gang-checkpoint":   gangCheckpoint,
	"gang-failed":       gangFailed,
	"unreadable-id":     unreadableID,
	"cancelled-start":   cancelledStart,
}

const (
	host   = "pule25.example"
	prefix = "/puxa400/"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// begin starts a site with one queue for one service of n workers.
func (s *site) begin(n int) {
	s.start()
	s.publish(1, []fields{route("r-anu6wsj", host, prefix, "huvo11a", 3000)}, "huvo11a")
	for i := range n {
		s.platform.add(fmt.Sprintf("m-%04x", 0x0a3f+i), "huvo11a", 16000)
	}
}

// foreignHeartbeat: a heartbeat of another writer names a service that is in no
// configuration, and the machine of a worker.
func foreignHeartbeat(s *site) {
	s.begin(4)
	id, p := newID(), spec{Ms: 9000, CPU: 1000}
	s.submit(host, prefix+id, fields{"spec": p.String(), "phases": []fields{{"count": 4, "cpu_millis": p.CPU, "mem_mb": 64, "estimate_ms": p.Ms}}})
	s.wait("all tasks run", 15*time.Second, func() bool { return s.runs.active(id) == 4 })
	time.Sleep(time.Second)
	var victim *worker
	for _, w := range s.workers {
		if w.count() > 0 {
			victim = w
		}
	}
	if s.trouble {
		body := fields{
			"service": "zzq-other", "address": victim.address[:len(victim.address)-4] + "9090", "machine": victim.machine, "zone": victim.zone, "version": "v1", "slots": 1,
			"state": "ready", "cold_remaining_ms": 0, "capacity": fields{"cpu_millis": 100, "mem_mb": 64, "gpus": 0}, "labels": []string{"a", victim.rack},
			"born": time.Now().UnixMilli(), "sequence": 1, "clock_ms": 10, "running": [][]any{}, "finished": [][]any{},
		}
		for status := 0; status == 0 || status >= 500; time.Sleep(50 * time.Millisecond) {
			address := s.controls()[rand.IntN(machines)]
			status, _ = call(newClient(answerTimeout), http.MethodPut, "http://"+address+"/lacewingturn/instances/agent-1", "", body)
			s.rec.log("other writer: PUT /lacewingturn/instances/agent-1, service zzq-other, machine %s, to %s: %d", victim.machine, address, status)
		}
	}
	within(20*time.Second, func() bool { return s.state(host, prefix+id) == "completed" || !pause(500*time.Millisecond) })
	time.Sleep(2 * time.Second)
}

func pause(d time.Duration) bool { time.Sleep(d); return true }

// renamedRoute: a version gives the route of a queue another name, at the same host and
// prefix, while a job of the queue is at its first step.
func renamedRoute(s *site) {
	s.begin(4)
	id, p := newID(), spec{Ms: 3000, CPU: 1000}
	step := func(after ...int) fields {
		f := fields{"count": 2, "cpu_millis": p.CPU, "mem_mb": 64, "estimate_ms": p.Ms}
		if len(after) > 0 {
			f["after"] = after
		}
		return f
	}
	s.submit(host, prefix+id, fields{"spec": p.String(), "phases": []fields{step(), step(0)}})
	s.wait("the first step runs", 15*time.Second, func() bool { return s.runs.active(id) == 2 })
	name := "r-anu6wsj"
	if s.trouble {
		name = "r-k9m68k7"
	}
	s.publish(2, []fields{route(name, host, prefix, "huvo11a", 3100)}, "huvo11a")
	s.wait("the first step is done", 15*time.Second, func() bool { return s.runs.doneTasks(id+".0.0.") == 2 })
	stepDone := time.Now()
	// The traffic has ended; the job is asked for finish_s later. The second step takes 3 s.
	for time.Since(stepDone) < finishTime {
		time.Sleep(time.Second)
		s.state(host, prefix+id)
	}
	if state := s.state(host, prefix+id); state != "completed" {
		if within(3*time.Second, func() bool { return s.runs.active(id) > 0 }) {
			return
		}
		s.rec.breach("LOST: job %s is %s %s after its second step's turn has come; nothing of it has run for %s while 4 idle workers have 64 cores free", id, state, finishTime, time.Since(stepDone).Round(time.Second))
	}
}

// lateDelete: a worker leaves while its machine is cut off for 4 s. Its DELETE is held up
// and comes through with a retransmission after the cut; the worker has started again
// under its id meanwhile.
func lateDelete(s *site) {
	s.begin(16) // so that one worker is at most 0.065 of them
	m := s.platform.list[0]
	s.wait("the worker has a leader", 15*time.Second, func() bool { m.worker.mu.Lock(); defer m.worker.mu.Unlock(); return m.worker.leader != "" })
	const cut = 4 * time.Second
	// Retransmissions follow after 0.2, 0.6, 1.4, 3 and 6.2 s; the last is the first after the cut.
	const retransmitted = 6200 * time.Millisecond
	var until time.Time
	m.worker.mu.Lock()
	old, leader := m.worker, m.worker.leader
	m.worker.mu.Unlock()
	old.beforeDelete = func() {
		delay := time.Millisecond
		if s.trouble {
			delay, until = retransmitted, time.Now().Add(cut)
			s.rec.log("machine %s is cut off for %s", m.id, cut)
		}
		old.deleteVia = startProxy(s, fmt.Sprintf("%s.%d:0", s.network, platformIP+1), leader, delay)
	}
	old.drain(2500 * time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	s.platform.mu.Lock()
	m.worker = s.startWorker(old.id, m.id, m.pool, m.number, m.cpu)
	m.worker.mu.Lock()
	m.worker.cutUntil = until
	m.worker.mu.Unlock()
	s.platform.mu.Unlock()
	s.wait("the worker reports again", 15*time.Second, func() bool { m.worker.mu.Lock(); defer m.worker.mu.Unlock(); return m.worker.leader != "" })
	id, p := newID(), spec{Ms: 8000, CPU: 7000}
	s.submit(host, prefix+id, fields{"spec": p.String(), "phases": []fields{{"count": 4, "cpu_millis": p.CPU, "mem_mb": 64, "estimate_ms": p.Ms}}})
	s.wait("all tasks run", 15*time.Second, func() bool { return s.runs.active(id) == 4 })
	within(30*time.Second, func() bool { return s.state(host, prefix+id) == "completed" || !pause(500*time.Millisecond) })
}

// copyApart: a worker turns slow; a copy of its task ends elsewhere first, and another
// task of the step is started on the slow worker while the first still runs there.
func copyApart(s *site) {
	s.begin(5)
	s.wait("all workers have a leader", 15*time.Second, func() bool {
		for _, m := range s.platform.list {
			m.worker.mu.Lock()
			ready := m.worker.leader != ""
			m.worker.mu.Unlock()
			if !ready {
				return false
			}
		}
		return true
	})
	if s.trouble {
		w := s.platform.list[0].worker
		w.mu.Lock()
		w.slow = 6.5
		w.mu.Unlock()
		s.rec.log("worker %s turns slow: tasks take 6.5 times as long", w.id)
	}
	// Earlier work, from which the speed of the workers is measured.
	warm, p := newID(), spec{Ms: 900, CPU: 4000}
	s.submit(host, prefix+warm, fields{"spec": p.String(), "phases": []fields{{"count": 40, "cpu_millis": p.CPU, "mem_mb": 64, "estimate_ms": p.Ms}}})
	s.wait("the first job is done", 30*time.Second, func() bool { return s.runs.doneTasks(warm) == 40 })
	id, p := newID(), spec{Ms: 900, CPU: 1000}
	s.runs.mu.Lock()
	s.runs.speculative[id], s.runs.apart[id] = true, 1
	s.runs.mu.Unlock()
	s.submit(host, prefix+id, fields{"spec": p.String(), "phases": []fields{{"count": 24, "cpu_millis": p.CPU, "mem_mb": 64, "estimate_ms": p.Ms, "anti_affinity": 1, "speculative": true}}})
	within(40*time.Second, func() bool { return s.state(host, prefix+id) == "completed" || !pause(500*time.Millisecond) })
}

// cancelledStart: a job is cancelled right after its task has started, while other jobs
// wait for the room. The workers do not guard their capacity.
func cancelledStart(s *site) {
	s.unguarded = true
	s.begin(1)
	type job struct {
		id string
		p  spec
	}
	var jobs []job
	for i := range 4 {
		j := job{newID(), spec{Ms: 1500, CPU: 16000}}
		if i == 0 {
			j.p.Ms = 12000
		}
		jobs = append(jobs, j)
		s.submit(host, prefix+j.id, fields{"spec": j.p.String(), "phases": []fields{{"count": 1, "cpu_millis": j.p.CPU, "mem_mb": 64, "estimate_ms": j.p.Ms}}})
		if i == 0 {
			s.wait("the first job runs", 15*time.Second, func() bool { return s.runs.active(j.id) == 1 })
		}
	}
	if !s.trouble {
		time.Sleep(1500 * time.Millisecond) // the worker has listed the run meanwhile
	}
	address := s.frontend(s.nodes[rand.IntN(machines)])
	status, _ := call(newClient(3*time.Second), http.MethodDelete, "http://"+address+prefix+jobs[0].id, host, nil)
	s.rec.log("client: DELETE %s to %s: %d", jobs[0].id, address, status)
	for _, j := range jobs[1:] {
		within(20*time.Second, func() bool { return s.state(host, prefix+j.id) == "completed" || !pause(300*time.Millisecond) })
	}
}

// unreadableID: another writer sends heartbeats under an id whose bytes are no text.
func unreadableID(s *site) {
	s.begin(4)
	before, p := newID(), spec{Ms: 500, CPU: 1000}
	s.submit(host, prefix+before, fields{"spec": p.String(), "phases": []fields{{"count": 4, "cpu_millis": p.CPU, "mem_mb": 64, "estimate_ms": p.Ms}}})
	s.wait("a first job is completed", 15*time.Second, func() bool { return s.state(host, prefix+before) == "completed" || !pause(200*time.Millisecond) })
	done := make(chan struct{})
	defer close(done)
	if s.trouble {
		go s.writeUnreadableID(done)
		time.Sleep(time.Second)
	}
	id := newID()
	s.submit(host, prefix+id, fields{"spec": p.String(), "phases": []fields{{"count": 8, "cpu_millis": p.CPU, "mem_mb": 64, "estimate_ms": p.Ms}}})
	accepted := time.Now()
	// The traffic has ended; the job is asked for finish_s later.
	for time.Since(accepted) < finishTime {
		time.Sleep(time.Second)
		s.state(host, prefix+id)
	}
	if state := s.state(host, prefix+id); state != "completed" && !within(3*time.Second, func() bool { return s.runs.active(id) > 0 }) {
		s.rec.breach("LOST: job %s of 8 tasks with 1 core each is %s %s after it was accepted; nothing of it runs for 3 s while 4 idle workers have 64 cores free", id, state, time.Since(accepted).Round(time.Second))
	}
}

// writeUnreadableID sends heartbeats under the id FF FE until done is closed. Like those
// of a worker, the next one follows after retry_after_ms, else after heartbeat_ms.
func (s *site) writeUnreadableID(done <-chan struct{}) {
	client, address := newClient(answerTimeout), s.controls()[0]
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		body := fields{
			"service": "huvo11a", "address": s.network + ".190:8080", "machine": "m-ffff", "zone": "z0", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": fields{"cpu_millis": 4000, "mem_mb": 65536, "gpus": 0}, "labels": []string{"a", "r-9"}, "born": born, "sequence": sequence, "clock_ms": time.Now().UnixMilli() - born,
			"running": [][]any{}, "finished": [][]any{},
		}
		status, data := call(client, http.MethodPut, "http://"+address+"/lacewingturn/instances/%ff%fe", "", body)
		s.rec.log("other writer: PUT /lacewingturn/instances/%%ff%%fe to %s: %d", address, status)
		next, a := heartbeatMs*time.Millisecond, heartbeatAnswer{}
		switch {
		case status != 200:
			address = s.controls()[rand.IntN(machines)]
			next = 100 * time.Millisecond
		case json.Unmarshal(data, &a) == nil && a.RetryAfterMs > 0:
			next = time.Duration(a.RetryAfterMs) * time.Millisecond
		}
		select {
		case <-done:
			return
		case <-time.After(next):
		}
	}
}

// gangCheckpoint: a worker crashes under a gang that has checkpoints.
func gangCheckpoint(s *site) {
	s.begin(8)                                           // so that one worker is at most 0.14 of them
	id, p := newID(), spec{Ms: 4000, CPU: 9000, Gang: 4} // one member fits on a worker
	s.submit(host, prefix+id, fields{"spec": p.String(), "phases": []fields{{"count": p.Gang, "cpu_millis": p.CPU, "mem_mb": 64, "estimate_ms": p.Ms, "gang": true, "checkpointing": true}}})
	key := id + ".0.0 run 1"
	s.wait("the gang has worked for 2 s", 15*time.Second, func() bool { return s.gangs.doneNow(key) >= 2*time.Second })
	if s.trouble {
		for _, m := range s.platform.list {
			if m.worker.count() > 0 {
				m.worker.stop()
				time.Sleep(time.Second)
				s.platform.mu.Lock()
				s.platform.begin(m)
				s.platform.mu.Unlock()
				break
			}
		}
	}
	calm := time.Now() // the worker is back
	s.runs.mu.Lock()
	s.runs.quietFrom = calm.Add(contactTime)
	s.runs.mu.Unlock()
	within(40*time.Second, func() bool {
		return s.state(host, prefix+id) == "completed" || time.Since(calm) > 30*time.Second || !pause(500*time.Millisecond)
	})
	s.rec.log("client: job %s, whose gang works for %d ms, is %s %s after the worker came back", id, p.Ms, s.state(host, prefix+id), time.Since(calm).Round(time.Second))
}

// gangFailed: a worker fails all that it starts, and several members of a gang are placed
// on it.
func gangFailed(s *site) {
	s.begin(12) // so that one worker is at most 0.085 of them
	if s.trouble {
		w := s.platform.list[0].worker
		w.mu.Lock()
		w.grey = true
		w.mu.Unlock()
		s.rec.log("worker %s fails all that it starts", w.id)
	}
	time.Sleep(time.Second)
	id, p := newID(), spec{Ms: 1500, CPU: 4000, Gang: 4}
	s.submit(host, prefix+id, fields{"spec": p.String(), "phases": []fields{{"count": p.Gang, "cpu_millis": p.CPU, "mem_mb": 64, "estimate_ms": p.Ms, "gang": true}}})
	state := ""
	within(25*time.Second, func() bool {
		state = s.state(host, prefix+id)
		return state == "completed" || state == "failed" || !pause(300*time.Millisecond)
	})
	if failed := s.runs.failedRuns(id); state == "failed" && len(failed) < maxAttempts {
		s.rec.breach("LOST: job %s is shown as failed after %d failed run of its gang; max_attempts is %d", id, len(failed), maxAttempts)
	}
}
