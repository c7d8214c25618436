package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/server"
)

// HeaderRun tells a stand-in target how long to work, in milliseconds.
const HeaderRun = "Run-Ms"

// heartbeatEvery is the time between heartbeats of a stand-in target.
const heartbeatEvery = 500 * time.Millisecond

// Target is a stand-in for a target: a plain HTTP server that announces itself
// to the system and works for as long as a request asks. It counts how often
// each idempotency key was executed, so that double work is seen.
type Target struct {
	ID       model.TargetID
	Instance model.InstanceID
	Service  model.ServiceName
	// Entries gives the base URLs to announce to, as a balancer would.
	Entries func() []string
	// Forwarded returns the address to announce for the one that the target
	// listens on; nil announces the latter.
	Forwarded func(address string) string

	generation uint64 // grows with each restart
	joined     join   // the latest announcement
	left       atomic.Bool

	server  *server.Server
	client  *http.Client
	running atomic.Int64
	peak    atomic.Int64
	served  atomic.Int64
	arrived atomic.Int64 // Unix time in nanoseconds
	turn    atomic.Int64
	cancel  context.CancelFunc
	done    chan struct{}

	mu       sync.Mutex // guards the fields below; the stand-in is no control state
	runs     map[string]int
	slots    map[string]bool // tokens of the requests that run now
	sequence uint64
}

// Start serves on a loopback address and joins.
func (t *Target) Start(ctx context.Context) error {
	if t.runs == nil {
		t.runs, t.generation = map[string]int{}, 1
	}
	t.slots, t.sequence = map[string]bool{}, 0
	t.client = &http.Client{Timeout: 2 * time.Second}
	s, err := server.Listen("127.0.0.1:0", http.HandlerFunc(t.serve), nil)
	if err != nil {
		return err
	}
	t.server = s
	s.Start()
	address := s.Address()
	if t.Forwarded != nil {
		address = t.Forwarded(address)
	}
	t.joined = join{
		Instance: t.Instance, Service: t.Service, Address: address, Generation: t.generation, Slots: 8, Connections: 64,
	}
	t.left.Store(false)
	if err := t.announce(ctx, "join", t.joined); err != nil {
		return err
	}
	beat, cancel := context.WithCancel(context.WithoutCancel(ctx))
	t.cancel, t.done = cancel, make(chan struct{})
	go t.heartbeat(beat)
	return nil
}

// Leaving announces that the target leaves; it goes on serving.
func (t *Target) Leaving(ctx context.Context) error {
	t.left.Store(true)
	return t.announce(ctx, "leaving", leaving{Generation: t.generation})
}

// Leave announces that the target leaves, waits for what is in flight, and stops.
func (t *Target) Leave(ctx context.Context) error {
	err := t.Leaving(ctx)
	t.cancel()
	<-t.done
	return trace.NewAggregate(err, t.server.Stop(ctx))
}

// Kill ends the target without announcement.
func (t *Target) Kill() {
	t.cancel()
	<-t.done
	t.server.Kill()
}

// Runs returns how often each key was executed.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.runs))
	for k, v := range t.runs {
		out[k] = v
	}
	return out
}

// Served returns the number of requests that the target has taken.
func (t *Target) Served() int { return int(t.served.Load()) }

// Running returns the number of requests that run now.
func (t *Target) Running() int { return int(t.running.Load()) }

// LastArrival returns when the latest request arrived.
func (t *Target) LastArrival() time.Time { return time.Unix(0, t.arrived.Load()) }

// Peak returns the largest number of requests that ran at the same time.
func (t *Target) Peak() int { return int(t.peak.Load()) }

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	now := t.running.Add(1)
	defer t.running.Add(-1)
	t.served.Add(1)
	t.arrived.Store(time.Now().UnixNano())
	for old := t.peak.Load(); now > old && !t.peak.CompareAndSwap(old, now); old = t.peak.Load() {
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	defer t.begin(r.Header.Get("Idempotency-Key"), r.Header.Get("Lacewingturn-Slot"))()
	if ms, err := strconv.Atoi(r.Header.Get(HeaderRun)); err == nil {
		timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer timer.Stop()
		<-timer.C
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s did %s %s %s", t.ID, r.Method, r.URL.Path, body)
}

// begin counts the execution of a key and lists the slot until the returned
// function is called.
func (t *Target) begin(key, slot string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if key != "" {
		t.runs[key]++
	}
	if slot == "" {
		return func() {}
	}
	t.slots[slot] = true
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.slots, slot)
	}
}

func (t *Target) heartbeat(ctx context.Context) {
	defer close(t.done)
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			err := t.announce(ctx, "heartbeat", t.beat())
			if trace.IsNotFound(err) && !t.left.Load() {
				_ = t.announce(ctx, "join", t.joined) // it was considered lost
			}
		}
	}
}

type join struct {
	Instance    model.InstanceID  `json:"instance"`
	Service     model.ServiceName `json:"service"`
	Address     string            `json:"address"`
	Generation  uint64            `json:"generation"`
	Slots       int               `json:"slots"`
	Connections int               `json:"connections"`
}

type beat struct {
	Generation uint64   `json:"generation"`
	Sequence   uint64   `json:"sequence"`
	Running    []string `json:"running"`
}

type leaving struct {
	Generation uint64 `json:"generation"`
}

func (t *Target) beat() beat {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	b := beat{Generation: t.generation, Sequence: t.sequence, Running: []string{}}
	for slot := range t.slots {
		b.Running = append(b.Running, slot)
	}
	return b
}

// announce tries each entry instance once, beginning with the next in turn.
func (t *Target) announce(ctx context.Context, what string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	entries := t.Entries()
	var last error
	for range entries {
		base := entries[int(t.turn.Add(1))%len(entries)]
		if last = t.post(ctx, fmt.Sprintf("%s/targets/%s/%s", base, t.ID, what), body); last == nil {
			return nil
		}
	}
	return trace.Wrap(last, "target %s: %s", t.ID, what)
}

func (t *Target) post(ctx context.Context, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if resp.StatusCode == http.StatusNotFound {
		return trace.NotFound("%s", answer)
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", resp.Status, answer)
	}
	return nil
}
