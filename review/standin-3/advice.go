package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	decision = 100 * time.Millisecond // decision_ms of the queue
	period   = 10 * time.Millisecond  // period_ms of the queue
	validity = 3 * time.Second        // validity_ms of the queue, as in the examples of the pages
	// maxCalls is the number of waiting calls from which the service answers 429.
	maxCalls = 32
)

// advice is the policy service. It allows every worker to run every step, and handles one call
// at a time, because one machine calls at a time.
type advice struct {
	record  *record
	address string
	turn    sync.Mutex

	mu      sync.Mutex
	waiting int
	calls   int
	tickets map[string]time.Time // by ticket: until when it is valid
}

func newAdvice(r *record) (*advice, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &advice{record: r, address: l.Addr().String(), tickets: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /lacewingturn/advise", a.advise)
	go func() { _ = http.Serve(l, mux) }() // ends with the process
	return a, nil
}

func (a *advice) advise(w http.ResponseWriter, r *http.Request) {
	var body struct {
		StepID  string   `json:"step_id"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Workers) > 100 {
		refuse(w, http.StatusBadRequest, "unreadable")
		return
	}
	if !a.enter() {
		refuse(w, http.StatusTooManyRequests, "busy")
		return
	}
	a.turn.Lock()
	time.Sleep(decision + time.Duration(len(body.Workers))*period)
	a.turn.Unlock()
	answer(w, map[string]any{"approved": a.approve(body.StepID, body.Workers), "validity_ms": validity.Milliseconds()})
}

// enter takes a place among the waiting calls; false if there is none.
func (a *advice) enter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting >= maxCalls {
		return false
	}
	a.waiting++
	return true
}

// approve returns the rows of an answer.
func (a *advice) approve(step string, workers []string) [][]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
	a.calls++
	a.record.add("advice: call %d about step %s on %d workers", a.calls, step, len(workers))
	rows := [][]string{}
	for _, id := range workers {
		ticket := fmt.Sprintf("t-%d-%s", a.calls, id)
		a.tickets[ticket] = time.Now().Add(validity)
		rows = append(rows, []string{id, ticket})
	}
	return rows
}

// allows reports whether a ticket is valid.
func (a *advice) allows(ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.tickets[ticket])
}
