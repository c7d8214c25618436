package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// slotTarget is a target that lists the slots of its running requests in its
// heartbeats and records how many requests it ran concurrently at most.
type slotTarget struct {
	mu         sync.Mutex
	running    map[string]bool
	maxRunning int
	started    int
	byEntry    map[string]int // requests started, by entry instance
	conns      int            // open connections
	maxConns   int            // the highest value of conns
	server     *httptest.Server
}

// newSlotTarget starts a target that calls run for each request.
func newSlotTarget(t testing.TB, run func(r *http.Request)) *slotTarget {
	w := &slotTarget{running: map[string]bool{}, byEntry: map[string]int{}}
	w.server = httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			return
		}
		slot := r.Header.Get("Lacewingturn-Slot")
		w.mu.Lock()
		w.running[slot] = true
		w.maxRunning = max(w.maxRunning, len(w.running))
		w.started++
		w.byEntry[strings.SplitN(slot, ".", 2)[0]]++
		w.mu.Unlock()
		run(r)
		w.mu.Lock()
		delete(w.running, slot)
		w.mu.Unlock()
	}))
	w.server.Config.ConnState = w.connState
	w.server.Start()
	t.Cleanup(w.server.Close)
	return w
}

func (w *slotTarget) connState(_ net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns++
		w.maxConns = max(w.maxConns, w.conns)
	case http.StateClosed, http.StateHijacked:
		w.conns--
	}
}

// startedBy returns how many requests of an entry instance have started.
func (w *slotTarget) startedBy(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.byEntry[id]
}

// counts returns the highest number of concurrent requests, and how many have started.
func (w *slotTarget) counts() (most, started int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxRunning, w.started
}

// sendHeartbeats sends heartbeats of the target to an entry instance every 200 ms
// until the test ends.
func (w *slotTarget) sendHeartbeats(t testing.TB, s *testEntry, id string) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for sequence := 1; ; sequence++ {
			w.mu.Lock()
			slots := make([]string, 0, len(w.running))
			for slot := range w.running {
				slots = append(slots, slot)
			}
			w.mu.Unlock()
			body, _ := json.Marshal(map[string]any{"generation": 1, "sequence": sequence, "running": slots})
			resp, err := s.server.Client().Post(s.server.URL+"/targets/"+id+"/heartbeat", "application/json", strings.NewReader(string(body)))
			if err == nil {
				resp.Body.Close()
			}
			select {
			case <-time.After(200 * time.Millisecond):
			case <-done:
				return
			}
		}
	}()
}

// load runs n concurrent callers until stop is called, which returns the number of
// answers by result.
func (s *testEntry) load(t testing.TB, n int) (stop func() map[string]int) {
	ctx, cancel := context.WithCancel(t.Context())
	counts := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			for ctx.Err() == nil {
				r := s.call(t, http.MethodGet, "/", "", "Lacewingturn-Caller", fmt.Sprint(i))
				mu.Lock()
				counts[r.result]++
				mu.Unlock()
				if r.result != "0" {
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	return func() map[string]int {
		cancel()
		wg.Wait()
		return counts
	}
}

// startTwo starts two entry instances that share a control state with two instances.
func startTwo(t testing.TB, config model.Config) (control *fakeControl, a, b *testEntry) {
	control = newControl(config, instances(2)...)
	return control, startEntry(t, control, "e1", nil), startEntry(t, control, "e2", nil)
}

// Guards against more than 8 concurrent requests on a target that two entry
// instances share, and against slots that only one of them can use.
func TestInstancesShareTheSlots(t *testing.T) {
	t.Parallel()
	_, a, b := startTwo(t, config())
	w := newSlotTarget(t, func(*http.Request) { time.Sleep(10 * time.Millisecond) })
	a.join(t, "t1", w.server.Listener.Addr().String())
	w.sendHeartbeats(t, b, "t1")
	b.waitUntil(t, func() bool { return b.Source.View().Traffic.Targets.Has("t1") })
	stopA, stopB := a.load(t, 12), b.load(t, 12)
	a.waitUntil(t, func() bool { return w.startedBy("e1") > 100 && w.startedBy("e2") > 100 })
	countA := stopA()
	alone := w.startedBy("e2")
	b.waitUntil(t, func() bool { return w.startedBy("e2") > alone+100 })
	countB := stopB()
	most, started := w.counts()
	assert.Equal(t, most, 8)
	assert.Equal(t, countA["0"]+countB["0"], started)
	// 4 for each entry instance, one for each slot, and 8 for health checks: this
	// keeps 12 entry instances together at 64 or fewer.
	assert.Assert(t, w.maxConns <= 2*4+8+8, "%d connections", w.maxConns)
	t.Logf("%d connections at most", w.maxConns)
}

// Guards against slots that are not released when an entry instance is killed with
// requests in flight, and against their reuse while the target still runs those
// requests.
func TestSlotsOfDeadInstanceComeBack(t *testing.T) {
	t.Parallel()
	control, a, b := startTwo(t, config())
	blocked := make(chan struct{})
	release := sync.OnceFunc(func() { close(blocked) })
	w := newSlotTarget(t, func(r *http.Request) {
		if r.URL.Path == "/long" {
			<-blocked
			return
		}
		time.Sleep(10 * time.Millisecond)
	})
	t.Cleanup(release)
	a.join(t, "t1", w.server.Listener.Addr().String())
	w.sendHeartbeats(t, b, "t1")
	for range 4 {
		go func() {
			req, _ := http.NewRequest(http.MethodGet, a.server.URL+"/services/orders/long", nil)
			req.Header.Set("Lacewingturn-Timeout-Ms", "60000") // no second attempt within the test
			if resp, err := a.server.Client().Do(req); err == nil {
				resp.Body.Close()
			}
		}()
	}
	a.waitUntil(t, func() bool { _, n := w.counts(); return n == 4 })
	a.kill()
	control.update(func(st *model.State) { st.Entries = st.Entries.Delete("e1") })
	stop := b.load(t, 12)
	// 4 requests of the killed instance and 4 of the other one.
	b.waitUntil(t, func() bool { most, _ := w.counts(); return most == 8 })
	time.Sleep(time.Second)
	release()
	freed := w.startedBy("e2")
	b.waitUntil(t, func() bool { return w.startedBy("e2") > freed+100 && b.inUse() == 8 })
	stop()
	most, _ := w.counts()
	assert.Equal(t, most, 8)
}

// inUse returns how many slots of the first target the instance uses.
func (s *testEntry) inUse() int { return s.Source.View().Targets[0].InUse }

// Guards against a slot that is used again while its request still runs on the
// target after the caller's deadline, and against a slot that is not released
// after that request has ended.
func TestAbandonedSlotIsKeptUntilTargetEndsIt(t *testing.T) {
	t.Parallel()
	s := startEntry(t, newControl(config(), instances(1)...), "e1", nil)
	blocked := make(chan struct{})
	release := sync.OnceFunc(func() { close(blocked) })
	w := newSlotTarget(t, func(r *http.Request) {
		if r.URL.Path == "/long" {
			<-blocked
			return
		}
		time.Sleep(10 * time.Millisecond)
	})
	t.Cleanup(release)
	s.join(t, "t1", w.server.Listener.Addr().String())
	w.sendHeartbeats(t, s, "t1")
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			r := s.call(t, http.MethodPost, "/long", "", "Idempotency-Key", keyAt(time.Now(), i), "Lacewingturn-Timeout-Ms", "2000", "Lacewingturn-Caller", fmt.Sprint(i))
			assert.Check(t, r.result == "408", r.body)
		})
	}
	wg.Wait()
	time.Sleep(2500 * time.Millisecond)
	_, started := w.counts()
	assert.Equal(t, started, 3)
	assert.Equal(t, s.inUse(), started)
	release()
	s.waitUntil(t, func() bool { return s.inUse() == 0 })
}

// Guards against requests that start on a target 3 s or more after it announced
// that it leaves: on an entry instance that receives the announcement, and on one
// that lost contact with the control state and must stop when its credits expire.
func TestLeavingTargetGetsNothingAfter3s(t *testing.T) {
	t.Parallel()
	_, a, b := startTwo(t, config())
	var last atomic.Int64
	w := newSlotTarget(t, func(*http.Request) { last.Store(time.Now().UnixNano()) })
	a.join(t, "t1", w.server.Listener.Addr().String())
	b.waitUntil(t, func() bool { return b.Source.View().Traffic.Targets.Has("t1") })
	stopA, stopB := a.load(t, 4), b.load(t, 4)
	time.Sleep(300 * time.Millisecond)
	b.disconnect()
	left := time.Now()
	status, body := a.announce(t, "t1", "leaving", `{"generation":1}`)
	assert.Equal(t, status, 200, body)
	time.Sleep(4 * time.Second)
	countA, countB := stopA(), stopB()
	assert.Assert(t, last.Load() > 0)
	after := time.Unix(0, last.Load()).Sub(left)
	assert.Assert(t, after < 3*time.Second, "last request started %s after the target announced that it leaves", after)
	assert.Assert(t, countA["405"] > 0, "%v", countA)
	assert.Assert(t, countB["410"] > 0, "%v", countB)
}

// gauge returns the value of a gauge without labels; 0 if it is not registered.
func (s *testEntry) gauge(t testing.TB, name string) float64 {
	families, err := s.metrics.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if f.GetName() == name {
			return f.Metric[0].GetGauge().GetValue()
		}
	}
	return 0
}

// Guards against a graceful shutdown that ends a request in flight or in the queue,
// loses the outcome of a charge, or leaves the instance ready.
func TestStopCutsNothing(t *testing.T) {
	t.Parallel()
	s := startEntry(t, newControl(config(), instances(1)...), "e1", nil)
	arrived := make(chan struct{})
	begin := sync.OnceFunc(func() { close(arrived) })
	w := newSlotTarget(t, func(*http.Request) {
		<-arrived
		time.Sleep(200 * time.Millisecond)
	})
	t.Cleanup(begin) // before the target is closed, which waits for its requests
	s.join(t, "t1", w.server.Listener.Addr().String())
	const timeoutMs = "30000" // no request may reach its deadline before the last one has arrived
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			r := s.call(t, http.MethodGet, "/", "", "Lacewingturn-Caller", fmt.Sprint(i), "Lacewingturn-Timeout-Ms", timeoutMs)
			assert.Check(t, r.result == "0", r.body)
		})
	}
	wg.Go(func() {
		r := s.call(t, http.MethodPost, "/charge", "", "Idempotency-Key", keyAt(time.Now(), 1), "Lacewingturn-Timeout-Ms", timeoutMs)
		assert.Check(t, r.result == "0", r.body)
	})
	// The shutdown begins when all 13 have arrived; it refuses later requests. None ends before.
	s.waitUntil(t, func() bool { return s.gauge(t, "lacewingturn_entry_requests") == 13 })
	begin()
	assert.NilError(t, s.Stop(t.Context()))
	wg.Wait()
	_, started := w.counts()
	assert.Equal(t, started, 13)
	r := s.call(t, http.MethodGet, "/", "")
	assert.Equal(t, r.result, "111", r.body)
	assert.Equal(t, r.outcome, "not-run")
	ok, _ := s.Source.View().Ready(time.Now())
	assert.Assert(t, !ok)
	c, found := s.control.claim(model.RequestID(keyAt(time.Now(), 1)), "anonymous")
	assert.Assert(t, !found || c.Phase == model.ClaimDone)
}
