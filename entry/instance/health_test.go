package instance

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// health returns the health of a target in the published view; empty if the
// target is not in it.
func (s *testEntry) health(id string) string {
	for _, t := range s.Source.View().Targets {
		if string(t.ID) == id {
			return t.Health
		}
	}
	return ""
}

// serveOK answers every request on a connection immediately with 200.
func serveOK(c net.Conn) {
	defer c.Close()
	for readRequest(c) != "" {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// Guards against the ejection of a working target because one of its persistent
// connections stops answering without being closed.
func TestSilentConnectionDoesNotEjectTarget(t *testing.T) {
	t.Parallel()
	s := startEntry(t, newControl(config(), instances(3)...), "e1", nil)
	var silent atomic.Bool
	first := make(chan struct{})
	s.rawTarget(t, "t1", func(n int, c net.Conn) {
		if n > 1 {
			serveOK(c)
			return
		}
		readRequest(c)
		silent.Store(true)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-first
		c.Close()
	})
	t.Cleanup(func() { close(first) })
	assert.Equal(t, s.call(t, http.MethodGet, "/", "").body, "ok")
	assert.Assert(t, silent.Load())
	r := s.call(t, http.MethodGet, "/", "", "Lacewingturn-Timeout-Ms", "2000")
	assert.Assert(t, r.outcome == "done" || r.result == "408", r.body)
	s.waitUntil(t, func() bool { return s.health("t1") == "healthy" })
	for range 5 {
		assert.Equal(t, s.call(t, http.MethodGet, "/", "").body, "ok")
	}
}

// Guards against requests that keep going to a bad target: one that accepts
// requests and does not answer, one that answers every request with an error, and
// one that closes its connections at once. Each must be ejected and its requests
// must go to the other three.
func TestBadTargetsLoseTheirWork(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		serve  func(net.Conn)
		health string
	}{
		"silent":  {func(c net.Conn) { readRequest(c); time.Sleep(5 * time.Second); c.Close() }, "ejected: silent"},
		"failing": {func(c net.Conn) { serveStatus(c, "500 Internal Server Error") }, "ejected: failing"},
		"broken":  {func(c net.Conn) { c.Close() }, "ejected: refusing"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := config()
			cfg.Limits.RetryShare = 1
			s := startEntry(t, newControl(cfg, instances(4)...), "e1", nil)
			s.rawTarget(t, "t1", func(_ int, conn net.Conn) { c.serve(conn) })
			for i := 2; i <= 4; i++ {
				s.target(t, fmt.Sprintf("t%d", i), func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
			}
			stop := s.load(t, 24)
			s.waitUntil(t, func() bool { return strings.HasPrefix(s.health("t1"), "ejected") })
			stop()
			assert.Equal(t, s.health("t1"), c.health)
			for range 20 {
				r := s.call(t, http.MethodGet, "/", "")
				assert.Equal(t, r.body, "ok")
			}
		})
	}
}

// serveStatus answers every request on a connection with the status and no body.
func serveStatus(c net.Conn, status string) {
	defer c.Close()
	for readRequest(c) != "" {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status)
	}
}

// Guards against an idempotent request that fails because the first target did not
// run it although another target could. A non-idempotent request is repeated too
// if the target states that it did not run it.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	cfg := config()
	cfg.Limits.RetryShare = 1
	s := startEntry(t, newControl(cfg, instances(2)...), "e1", nil)
	s.target(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Lacewingturn-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	s.target(t, "t2", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Method) })
	for i := range 6 {
		assert.Equal(t, s.call(t, http.MethodGet, "/", "").body, "GET")
		// A charge may be repeated because the target states that it did not run it.
		r := s.call(t, http.MethodPost, "/charge", "", "Idempotency-Key", keyAt(time.Now(), i))
		assert.Equal(t, r.body, "POST")
	}
}

// Guards against retries that multiply the load when every target refuses requests:
// the default share allows one retry for ten requests.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	t.Parallel()
	s := startEntry(t, newControl(config(), instances(2)...), "e1", nil)
	var seen atomic.Int32
	for _, id := range []string{"t1", "t2"} {
		s.target(t, id, func(w http.ResponseWriter, r *http.Request) {
			seen.Add(1)
			w.Header().Set("Lacewingturn-Outcome", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	for range 100 {
		r := s.call(t, http.MethodGet, "/", "", "Lacewingturn-Timeout-Ms", "500")
		assert.Equal(t, r.outcome, "not-run", r.body)
	}
	assert.Assert(t, seen.Load() <= 110, "%d attempts for 100 requests with a retry share of 0.1", seen.Load())
}

// Guards against a request that is sent to a target after its deadline, a target
// that does not get the remaining time in a header, and a queue without a bound.
// All 8 slots of the only target are blocked, so further requests wait.
func TestDeadlinesAndBoundedQueues(t *testing.T) {
	t.Parallel()
	s := startEntry(t, newControl(config(), instances(1)...), "e1", nil)
	blocked := make(chan struct{})
	release := sync.OnceFunc(func() { close(blocked) })
	var started atomic.Int32
	timeouts := make(chan string, 64)
	s.target(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		started.Add(1)
		timeouts <- r.Header.Get("Lacewingturn-Timeout-Ms")
		if r.Method == http.MethodPost {
			<-blocked
		}
	})
	t.Cleanup(release)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			s.call(t, http.MethodPost, "/charge", "", "Idempotency-Key", keyAt(time.Now(), i), "Lacewingturn-Caller", fmt.Sprint(i), "Lacewingturn-Timeout-Ms", "3000")
		})
	}
	s.waitUntil(t, func() bool { return started.Load() == 8 })
	assert.Assert(t, len(<-timeouts) == 4, "the timeout header must have four digits: slightly less than 3000 ms")
	var refused, expired atomic.Int32
	for range 6 {
		wg.Go(func() {
			r := s.call(t, http.MethodGet, "/", "", "Lacewingturn-Caller", "one", "Lacewingturn-Timeout-Ms", "150")
			assert.Check(t, r.outcome == "not-run", r.body)
			switch r.result {
			case "104":
				refused.Add(1)
				assert.Check(t, r.header.Get("Retry-After") != "")
			case "110":
				expired.Add(1)
			}
		})
	}
	s.waitUntil(t, func() bool { return refused.Load()+expired.Load() == 6 })
	assert.Equal(t, refused.Load(), int32(2), "the queue limit is 4 for each caller")
	assert.Equal(t, started.Load(), int32(8))
	release()
	wg.Wait()
	assert.Equal(t, s.call(t, http.MethodGet, "/", "").outcome, "done")
	assert.Equal(t, started.Load(), int32(9), "expired requests must not be sent")
}
