package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	maintenance = 2 * time.Second
	service     = "intake"
)

// platform is the interface for machines: it lists them and carries out upkeep at once. It
// does not check fences, as the deployments with fencing_required false do not.
type platform struct {
	record *record
	// answerDelay is how long an answer to an order takes. The order is carried out before.
	answerDelay time.Duration
	// ordered is called, on a goroutine of its own, for each order that arrives.
	ordered func(holder, machine string)
	// allows checks the tickets of starts; nil where the queue has no advice.
	allows func(ticket string) bool
	// stopTime, stopping and stopped are those of the workers.
	stopTime          time.Duration
	stopping, stopped func(w *worker, name string)

	mu       sync.Mutex
	machines map[string]*server
	order    []string
	downMax  int
	broken   []string
	wave     int
	limit    int
	done     sync.WaitGroup
	server   *http.Server
	address  string
	ctx      context.Context
}

// server is a machine of the users with its present worker.
type server struct {
	id       string
	kind     string
	rack     string
	controls []string
	reach    map[string]string // see worker
	lives    int
	worker   *worker
	cancel   context.CancelFunc
	down     bool
	upkept   map[int]bool
}

func newPlatform(ctx context.Context, r *record) (*platform, error) {
	p := &platform{record: r, machines: map[string]*server{}, ctx: ctx}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lacewingturn/machines", p.list)
	mux.HandleFunc("POST /lacewingturn/machine-upkeep", p.upkeep)
	mux.HandleFunc("POST /lacewingturn/machine-move", func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, http.StatusConflict, "busy")
	})
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(l) }() // ends with Close
	return p, nil
}

// addMachine starts a machine and its first worker.
func (p *platform) addMachine(id, kind, rack string, controls []string, reach map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &server{id: id, kind: kind, rack: rack, controls: controls, reach: reach, upkept: map[int]bool{}}
	p.machines[id] = s
	p.order = append(p.order, id)
	p.startWorker(s)
}

// startWorker starts the next worker of a machine. The platform is locked.
func (p *platform) startWorker(s *server) {
	ctx, cancel := context.WithCancel(p.ctx)
	s.lives++
	w := newWorker(fmt.Sprintf("i-%s-%d", s.id, s.lives), s.id, service, s.kind, s.rack, fmt.Sprintf("127.0.0.1:%d", 8000+len(p.order)*20+s.lives), s.controls, s.reach, p.record)
	w.allows, w.stopTime, w.stopping, w.stopped = p.allows, p.stopTime, p.stopping, p.stopped
	s.worker, s.cancel = w, cancel
	p.done.Go(func() { w.run(ctx) })
}

// workerOf returns the present worker of a machine.
func (p *platform) workerOf(id string) *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machines[id].worker
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []map[string]any{}
	for _, id := range p.order {
		s := p.machines[id]
		state := "up"
		if s.down {
			state = "upkeep"
		}
		rows = append(rows, map[string]any{
			"machine": s.id, "pool": service, "state": state, "zone": "z1", "labels": []string{s.kind, s.rack}, "id": s.worker.id,
			"capacity": map[string]any{"cpu_millis": capacityMilli, "mem_mb": 65536, "gpus": 0},
		})
	}
	answer(w, map[string]any{"machines": rows, "next_token": ""})
}

// upkeep carries out an upkeep at once, or confirms one that is done.
func (p *platform) upkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		refuse(w, http.StatusBadRequest, "unreadable")
		return
	}
	holder, token := r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token")
	status, what := p.begin(body.Machine, body.Wave)
	p.record.add("platform: upkeep of %s for wave %d from %s with token %s: %s", body.Machine, body.Wave, holder, token, what)
	if p.ordered != nil {
		go p.ordered(holder, body.Machine)
	}
	time.Sleep(p.answerDelay)
	if status != http.StatusOK {
		refuse(w, status, "busy")
		return
	}
	answer(w, map[string]any{})
}

// begin begins an upkeep and notes whether more machines of the wave are down than its cap.
func (p *platform) begin(id string, wave int) (int, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.machines[id]
	switch {
	case s == nil:
		return http.StatusBadRequest, "400, no such machine"
	case s.upkept[wave]:
		return http.StatusOK, "200, done already"
	case s.down:
		return http.StatusConflict, "409, busy"
	}
	down := 0
	for _, o := range p.machines {
		if o.down {
			down++
		}
	}
	if p.limit > 0 && down >= p.limit {
		p.broken = append(p.broken, fmt.Sprintf("the upkeep of %s begins while %d machines of the wave are down for theirs; its cap is %d", id, down, p.limit))
		p.record.add("BROKEN: %s", p.broken[len(p.broken)-1])
	}
	s.down, s.upkept[wave] = true, true
	s.cancel()
	time.AfterFunc(maintenance, func() { p.back(s) })
	return http.StatusOK, "200, begins"
}

func (p *platform) back(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	s.down = false
	p.startWorker(s)
}

// violations returns how the cap was broken.
func (p *platform) violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.broken
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(`{"reason":` + strconv.Quote(reason) + `}`)) // as above
}
