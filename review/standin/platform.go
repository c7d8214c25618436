package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// platform is the platform's interface for machines. It carries out moves and upkeep.
type platform struct {
	site    *site
	address string
	mu      sync.Mutex
	list    []*machine
	caps    map[int]int // of the waves, by number
	// answer decides what happens to an order before it is carried out and after; nil
	// carries it out and answers at once.
	answer func(kind, id string, carryOut func() int) int
	lives  int
	// tickets holds the end of the validity of each ticket of the policy service, by
	// the ticket, which names the step and the worker.
	tickets map[string]time.Time
	advice  sync.Mutex // one call at a time
	// adviceAddress is the address of the policy service.
	adviceAddress string
}

type machine struct {
	id     string
	pool   string
	state  string // up, moving, upkeep or down
	number int
	cpu    int
	worker *worker
	wave   int // number of the last wave whose upkeep it had or has
}

func startPlatform(s *site, address string) *platform {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail("%v", err)
	}
	p := &platform{site: s, address: l.Addr().String(), caps: map[int]int{}, tickets: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lacewingturn/machines", p.machines)
	mux.HandleFunc("POST /lacewingturn/machine-move", p.order("move"))
	mux.HandleFunc("POST /lacewingturn/machine-upkeep", p.order("upkeep"))
	mux.HandleFunc("POST /lacewingturn/advise", p.advise)
	go func() { _ = http.Serve(l, mux) }()
	p.adviceAddress = p.address
	return p
}

// add adds a machine that is up, with its worker.
func (p *platform) add(id, pool string, cpu int) *machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := &machine{id: id, pool: pool, state: "up", number: len(p.list), cpu: cpu}
	p.list = append(p.list, m)
	p.begin(m)
	return m
}

// begin starts a worker on a machine. p.mu must be held.
func (p *platform) begin(m *machine) {
	p.lives++
	m.worker = p.site.startWorker(fmt.Sprintf("i-%04x", 0x7f00+p.lives), m.id, m.pool, m.number, m.cpu)
	m.state = "up"
}

func (p *platform) machines(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []fields{}
	for _, m := range p.list {
		rows = append(rows, fields{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": fmt.Sprintf("z%d", m.number%withDisk), "labels": []string{"a", fmt.Sprintf("r-%d", m.number/4)},
			"capacity": fields{"cpu_millis": m.cpu, "mem_mb": 65536, "gpus": 0}, "id": m.worker.id,
		})
	}
	_ = json.NewEncoder(w).Encode(fields{"machines": rows, "next_token": ""})
}

func (p *platform) order(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o struct {
			Machine, Pool string
			Wave          int
		}
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		holder, token := r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token")
		p.site.rec.log("platform: %s of %s (pool %q, wave %d) from %s with token %s", kind, o.Machine, o.Pool, o.Wave, holder, token)
		carryOut := func() int { return p.carryOut(kind, o.Machine, o.Pool, o.Wave) }
		var status int
		if p.answer != nil {
			status = p.answer(kind, o.Machine, carryOut)
		} else {
			status = carryOut()
		}
		if status == 0 {
			<-r.Context().Done() // the answer is lost
			return
		}
		p.site.rec.log("platform: %s of %s from %s answered with %d", kind, o.Machine, holder, status)
		w.WriteHeader(status)
		if status == http.StatusConflict {
			_, _ = w.Write([]byte(`{"reason":"busy"}`))
		}
	}
}

// carryOut carries out an order and returns the status of the answer.
func (p *platform) carryOut(kind, id, pool string, wave int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	var m *machine
	for _, other := range p.list {
		if other.id == id {
			m = other
		}
	}
	switch {
	case m == nil:
		return http.StatusBadRequest
	case kind == "move" && m.pool == pool, kind == "upkeep" && m.wave >= wave:
		return http.StatusOK // already done
	case m.state != "up":
		return http.StatusConflict
	}
	duration := moveTime
	m.state = "moving"
	if kind == "upkeep" {
		duration, m.state, m.wave = upkeepTime, "upkeep", wave
		p.site.checkCap(p, m, wave)
	} else {
		m.pool = pool
	}
	m.worker.stop()
	p.site.rec.log("platform: %s of %s begins", kind, id)
	time.AfterFunc(duration, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.begin(m)
	})
	return http.StatusOK
}

// checkCap checks the rule LIMIT when an upkeep begins. p.mu must be held.
func (s *site) checkCap(p *platform, m *machine, wave int) {
	down := 0
	for _, other := range p.list {
		if other != m && other.wave == wave && other.state == "upkeep" {
			down++
		}
	}
	if limit := p.caps[wave]; limit > 0 && down >= limit {
		s.rec.breach("LIMIT: the upkeep of %s begins while %d machines of wave %d are down for theirs, with a cap of %d", m.id, down, wave, limit)
	}
}

// Figures of the advice of a queue in the configuration.
const (
	decisionMs = 60
	periodMs   = 2
	validityMs = 3000
)

// advise approves all workers but every fourth. It answers with rows of id and ticket.
func (p *platform) advise(w http.ResponseWriter, r *http.Request) {
	var o struct {
		StepID  string   `json:"step_id"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || len(o.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.advice.Lock()
	defer p.advice.Unlock()
	time.Sleep(decisionMs*time.Millisecond + time.Duration(len(o.Workers))*periodMs*time.Millisecond)
	approved := [][]string{}
	p.mu.Lock()
	for _, id := range o.Workers {
		if id[len(id)-1] == '4' {
			continue
		}
		ticket := fmt.Sprintf("t-%s-%s", o.StepID, id)
		p.tickets[ticket] = time.Now().Add(validityMs * time.Millisecond)
		approved = append(approved, []string{id, ticket})
	}
	p.mu.Unlock()
	p.site.rec.log("policy service: advise for %s, %d workers: %d approved", o.StepID, len(o.Workers), len(approved))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(fields{"approved": approved, "validity_ms": validityMs})
}

// ticketValid reports whether a ticket holds for a task on a worker.
func (p *platform) ticketValid(ticket, task, worker string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ticket == fmt.Sprintf("t-%s-%s", stepOf(task), worker) && time.Now().Before(p.tickets[ticket])
}
