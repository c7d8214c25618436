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

// HeaderRunMs is the request header that sets how long a stand-in target works on the
// request, in milliseconds.
const HeaderRunMs = "Run-Ms"

const heartbeatInterval = 500 * time.Millisecond

// Target simulates a target: an HTTP server that joins at an entry instance, sends
// heartbeats and works on each request for the time that HeaderRunMs gives. It counts
// the executions of each idempotency key, which shows double executions.
type Target struct {
	ID       model.TargetID
	Instance model.InstanceID
	Service  model.ServiceName
	// Entries returns the base URLs of the entry instances. Announcements go to them
	// in turn, as through a load balancer.
	Entries func() []string
	// Forwarded maps the listening address to the address to announce, for tests
	// with a proxy in front of the target. If it is nil, the target announces its
	// listening address.
	Forwarded func(address string) string

	generation uint64      // grows with each restart
	joined     joinMessage // the latest join message
	left       atomic.Bool // set once the target announces that it leaves

	server   *server.Server
	client   *http.Client
	running  atomic.Int64
	peak     atomic.Int64
	received atomic.Int64
	arrived  atomic.Int64 // Unix time in nanoseconds
	next     atomic.Int64 // counts announcements, to choose the entry instance in turn
	cancel   context.CancelFunc
	done     chan struct{} // closed when the heartbeats have ended

	mu       sync.Mutex // guards the fields below; a mutex is allowed here, because this is not control state
	runs     map[string]int
	slots    map[string]bool // tokens of the requests that run now
	sequence uint64
}

// Start listens on a free loopback address, joins and sends heartbeats in the
// background. It fails if no entry instance accepts the announcement.
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
	t.joined = joinMessage{
		Instance: t.Instance, Service: t.Service, Address: address, Generation: t.generation, Slots: 8, Connections: 64,
	}
	t.left.Store(false)
	if err := t.announce(ctx, "join", t.joined); err != nil {
		return err
	}
	heartbeatCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	t.cancel, t.done = cancel, make(chan struct{})
	go t.sendHeartbeats(heartbeatCtx)
	return nil
}

// AnnounceLeaving announces that the target leaves. The target goes on serving
// requests and sending heartbeats.
func (t *Target) AnnounceLeaving(ctx context.Context) error {
	t.left.Store(true)
	return t.announce(ctx, "leaving", leavingMessage{Generation: t.generation})
}

// Leave announces that the target leaves, waits for the requests in flight until ctx
// ends, and stops.
func (t *Target) Leave(ctx context.Context) error {
	err := t.AnnounceLeaving(ctx)
	t.cancel()
	<-t.done
	return trace.NewAggregate(err, t.server.Stop(ctx))
}

// Kill ends the target at once, without an announcement, and interrupts the requests in
// flight.
func (t *Target) Kill() {
	t.cancel()
	<-t.done
	t.server.Close()
}

// Executions returns how often the target executed each idempotency key.
func (t *Target) Executions() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.runs))
	for k, v := range t.runs {
		out[k] = v
	}
	return out
}

// Received returns the number of requests that have reached the target, in flight or
// finished.
func (t *Target) Received() int { return int(t.received.Load()) }

// Running returns the number of requests in flight.
func (t *Target) Running() int { return int(t.running.Load()) }

// LastArrival returns when the latest request arrived, or the Unix epoch if none has.
func (t *Target) LastArrival() time.Time { return time.Unix(0, t.arrived.Load()) }

// Peak returns the largest number of requests that were in flight at the same time.
func (t *Target) Peak() int { return int(t.peak.Load()) }

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	running := t.running.Add(1)
	defer t.running.Add(-1)
	t.received.Add(1)
	t.arrived.Store(time.Now().UnixNano())
	for old := t.peak.Load(); running > old && !t.peak.CompareAndSwap(old, running); old = t.peak.Load() {
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	defer t.recordExecution(r.Header.Get("Idempotency-Key"), r.Header.Get("Lacewingturn-Slot"))()
	if ms, err := strconv.Atoi(r.Header.Get(HeaderRunMs)); err == nil {
		timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer timer.Stop()
		<-timer.C
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s did %s %s %s", t.ID, r.Method, r.URL.Path, body)
}

// recordExecution counts an execution of the key and marks the slot as running until
// the returned function is called. key and slot may be empty.
func (t *Target) recordExecution(key, slot string) func() {
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

func (t *Target) sendHeartbeats(ctx context.Context) {
	defer close(t.done)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			err := t.announce(ctx, "heartbeat", t.nextHeartbeat())
			if trace.IsNotFound(err) && !t.left.Load() {
				_ = t.announce(ctx, "join", t.joined) // the entry instances have removed it as lost
			}
		}
	}
}

type joinMessage struct {
	Instance    model.InstanceID  `json:"instance"`
	Service     model.ServiceName `json:"service"`
	Address     string            `json:"address"`
	Generation  uint64            `json:"generation"`
	Slots       int               `json:"slots"`
	Connections int               `json:"connections"`
}

type heartbeatMessage struct {
	Generation uint64   `json:"generation"`
	Sequence   uint64   `json:"sequence"`
	Running    []string `json:"running"`
}

type leavingMessage struct {
	Generation uint64 `json:"generation"`
}

func (t *Target) nextHeartbeat() heartbeatMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	b := heartbeatMessage{Generation: t.generation, Sequence: t.sequence, Running: []string{}}
	for slot := range t.slots {
		b.Running = append(b.Running, slot)
	}
	return b
}

// announce posts a message of the kind join, heartbeat or leaving. It tries each entry
// instance at most once, starting with the next in turn, until one accepts it.
func (t *Target) announce(ctx context.Context, kind string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	entries := t.Entries()
	var last error
	for range entries {
		base := entries[int(t.next.Add(1))%len(entries)]
		if last = t.post(ctx, fmt.Sprintf("%s/targets/%s/%s", base, t.ID, kind), body); last == nil {
			return nil
		}
	}
	return trace.Wrap(last, "target %s: no entry instance accepted the %s message", t.ID, kind)
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
