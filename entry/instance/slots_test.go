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

// worker is a target that lists the requests it runs in its heartbeats and
// remembers the most it ran at a time.
type worker struct {
	mu      sync.Mutex
	running map[string]bool
	most    int
	started int
	by      map[string]int // requests started, by entry instance
	conns   int
	manyCon int // the most connections open at a time
	server  *httptest.Server
}

func newWorker(t testing.TB, run func(r *http.Request)) *worker {
	w := &worker{running: map[string]bool{}, by: map[string]int{}}
	w.server = httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			return
		}
		slot := r.Header.Get("Lacewingturn-Slot")
		w.mu.Lock()
		w.running[slot] = true
		w.most = max(w.most, len(w.running))
		w.started++
		w.by[strings.SplitN(slot, ".", 2)[0]]++
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

func (w *worker) connState(_ net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns++
		w.manyCon = max(w.manyCon, w.conns)
	case http.StateClosed, http.StateHijacked:
		w.conns--
	}
}

func (w *worker) startedBy(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.by[id]
}

func (w *worker) figures() (most, started int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most, w.started
}

// beatTo sends heartbeats until the test ends.
func (w *worker) beatTo(t testing.TB, s *site, id string) {
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

// load keeps n callers busy on a site until stopped, and counts answers by result.
func (s *site) load(t testing.TB, n int) (stop func() map[string]int) {
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

func site2(t testing.TB, config model.Config) (control *fakeControl, a, b *site) {
	control = newControl(config, machines(2)...)
	return control, startEntry(t, control, "e1", nil), startEntry(t, control, "e2", nil)
}

// Guards against more than 8 requests on a target that two entry instances
// share, and against slots that one of them cannot get.
func TestInstancesShareTheSlots(t *testing.T) {
	t.Parallel()
	_, a, b := site2(t, config())
	w := newWorker(t, func(*http.Request) { time.Sleep(10 * time.Millisecond) })
	a.join(t, "t1", w.server.Listener.Addr().String())
	w.beatTo(t, b, "t1")
	b.until(t, func() bool { return b.Source.View().Traffic.Targets.Has("t1") })
	stopA, stopB := a.load(t, 12), b.load(t, 12)
	a.until(t, func() bool { return w.startedBy("e1") > 100 && w.startedBy("e2") > 100 })
	countA := stopA()
	alone := w.startedBy("e2")
	b.until(t, func() bool { return w.startedBy("e2") > alone+100 })
	countB := stopB()
	most, started := w.figures()
	assert.Equal(t, most, 8)
	assert.Equal(t, countA["0"]+countB["0"], started)
	// 4 for each instance, one for each slot, and 8 for checks: 12 instances
	// together stay below 64.
	assert.Assert(t, w.manyCon <= 2*4+8+8, "%d connections", w.manyCon)
	t.Logf("%d connections at most", w.manyCon)
}

// Guards against slots that stay lost when an entry instance dies with requests
// in flight, and against their use while the target still runs those requests.
func TestSlotsOfDeadInstanceComeBack(t *testing.T) {
	t.Parallel()
	control, a, b := site2(t, config())
	blocked := make(chan struct{})
	release := sync.OnceFunc(func() { close(blocked) })
	w := newWorker(t, func(r *http.Request) {
		if r.URL.Path == "/long" {
			<-blocked
			return
		}
		time.Sleep(10 * time.Millisecond)
	})
	t.Cleanup(release)
	a.join(t, "t1", w.server.Listener.Addr().String())
	w.beatTo(t, b, "t1")
	for range 4 {
		go func() {
			req, _ := http.NewRequest(http.MethodGet, a.server.URL+"/services/orders/long", nil)
			req.Header.Set("Lacewingturn-Timeout-Ms", "60000") // no second attempt within the test
			if resp, err := a.server.Client().Do(req); err == nil {
				resp.Body.Close()
			}
		}()
	}
	a.until(t, func() bool { _, n := w.figures(); return n == 4 })
	a.kill()
	control.change(func(st *model.State) { st.Entries = st.Entries.Delete("e1") })
	stop := b.load(t, 12)
	// 4 of the dead instance and 4 others.
	b.until(t, func() bool { most, _ := w.figures(); return most == 8 })
	time.Sleep(time.Second)
	release()
	freed := w.startedBy("e2")
	b.until(t, func() bool { return w.startedBy("e2") > freed+100 && b.inUse() == 8 })
	stop()
	most, _ := w.figures()
	assert.Equal(t, most, 8)
}

// inUse returns the slots of the first target that the instance uses.
func (s *site) inUse() int { return s.Source.View().Targets[0].InUse }

// Guards against a slot that is used again while its abandoned request still
// runs, and against one that is lost after the request ended.
func TestAbandonedSlotIsKeptUntilTargetEndsIt(t *testing.T) {
	t.Parallel()
	s := startEntry(t, newControl(config(), machines(1)...), "e1", nil)
	blocked := make(chan struct{})
	release := sync.OnceFunc(func() { close(blocked) })
	w := newWorker(t, func(r *http.Request) {
		if r.URL.Path == "/long" {
			<-blocked
			return
		}
		time.Sleep(10 * time.Millisecond)
	})
	t.Cleanup(release)
	s.join(t, "t1", w.server.Listener.Addr().String())
	w.beatTo(t, s, "t1")
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			r := s.call(t, http.MethodPost, "/long", "", "Idempotency-Key", keyAt(time.Now(), i), "Lacewingturn-Timeout-Ms", "300", "Lacewingturn-Caller", fmt.Sprint(i))
			assert.Check(t, r.result == "408", r.body)
		})
	}
	wg.Wait()
	time.Sleep(2500 * time.Millisecond)
	// On a busy machine a request may time out before it is written.
	_, started := w.figures()
	assert.Assert(t, started > 0)
	assert.Equal(t, s.inUse(), started)
	release()
	s.until(t, func() bool { return s.inUse() == 0 })
}

// Guards against work for a leaving target after 3 s, on an entry instance that
// is told and on one that is cut off and must stop by its credits.
func TestLeavingTargetGetsNothingAfter3s(t *testing.T) {
	t.Parallel()
	_, a, b := site2(t, config())
	var last atomic.Int64
	w := newWorker(t, func(*http.Request) { last.Store(time.Now().UnixNano()) })
	a.join(t, "t1", w.server.Listener.Addr().String())
	b.until(t, func() bool { return b.Source.View().Traffic.Targets.Has("t1") })
	stopA, stopB := a.load(t, 4), b.load(t, 4)
	time.Sleep(300 * time.Millisecond)
	b.loseTouch()
	left := time.Now()
	status, body := a.announce(t, "t1", "leaving", `{"generation":1}`)
	assert.Equal(t, status, 200, body)
	time.Sleep(4 * time.Second)
	countA, countB := stopA(), stopB()
	assert.Assert(t, last.Load() > 0)
	after := time.Unix(0, last.Load()).Sub(left)
	assert.Assert(t, after < 3*time.Second, "last work %s after leaving", after)
	assert.Assert(t, countA["405"] > 0, "%v", countA)
	assert.Assert(t, countB["410"] > 0, "%v", countB)
}

// gauge returns the value of a metric without labels.
func (s *site) gauge(t testing.TB, name string) float64 {
	families, err := s.metrics.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if f.GetName() == name {
			return f.Metric[0].GetGauge().GetValue()
		}
	}
	return 0
}

// Guards against a graceful shutdown that cuts a request in flight or in the
// queue, or stays ready.
func TestStopCutsNothing(t *testing.T) {
	t.Parallel()
	s := startEntry(t, newControl(config(), machines(1)...), "e1", nil)
	w := newWorker(t, func(r *http.Request) { time.Sleep(200 * time.Millisecond) })
	s.join(t, "t1", w.server.Listener.Addr().String())
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			r := s.call(t, http.MethodGet, "/", "", "Lacewingturn-Caller", fmt.Sprint(i))
			assert.Check(t, r.result == "0", r.body)
		})
	}
	wg.Go(func() {
		r := s.call(t, http.MethodPost, "/charge", "", "Idempotency-Key", keyAt(time.Now(), 1))
		assert.Check(t, r.result == "0", r.body)
	})
	// All 13 are in before the shutdown begins; one that comes later is refused.
	s.until(t, func() bool { return s.gauge(t, "lacewingturn_entry_requests") == 13 })
	assert.NilError(t, s.Stop(t.Context()))
	wg.Wait()
	_, started := w.figures()
	assert.Equal(t, started, 13)
	r := s.call(t, http.MethodGet, "/", "")
	assert.Equal(t, r.result, "111", r.body)
	assert.Equal(t, r.outcome, "not-run")
	ok, _ := s.Source.View().Ready(time.Now())
	assert.Assert(t, !ok)
	c, found := s.control.claim(model.RequestID(keyAt(time.Now(), 1)), "anonymous")
	assert.Assert(t, !found || c.Phase == model.ClaimDone)
}
