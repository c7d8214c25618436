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

func (s *site) health(id string) string {
	for _, t := range s.Source.View().Targets {
		if string(t.ID) == id {
			return t.Health
		}
	}
	return ""
}

// serveOK answers every request on a connection at once.
func serveOK(c net.Conn) {
	defer c.Close()
	for readRequest(c) != "" {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// Guards against a working target that is treated as dead because one of its
// open connections went silent for ever.
func TestSilentConnectionDoesNotEjectTarget(t *testing.T) {
	t.Parallel()
	s := startEntry(t, newControl(config(), machines(3)...), "e1", nil)
	var silent atomic.Bool
	first := make(chan struct{})
	s.rawTarget(t, "t1", func(n int, c net.Conn) {
		if n > 1 {
			serveOK(c)
			return
		}
		readRequest(c)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		silent.Store(true)
		<-first
		c.Close()
	})
	t.Cleanup(func() { close(first) })
	assert.Equal(t, s.call(t, http.MethodGet, "/", "").body, "ok")
	assert.Assert(t, silent.Load())
	r := s.call(t, http.MethodGet, "/", "", "Lacewingturn-Timeout-Ms", "400")
	assert.Assert(t, r.outcome == "done" || r.result == "408", r.body)
	s.until(t, func() bool { return s.health("t1") == "healthy" })
	for range 5 {
		assert.Equal(t, s.call(t, http.MethodGet, "/", "").body, "ok")
	}
}

// Guards against a target that accepts and never answers, one that fails
// everything fast and one that refuses connections: each must lose its work to
// the others, and the floor must hold.
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
			s := startEntry(t, newControl(cfg, machines(4)...), "e1", nil)
			s.rawTarget(t, "t1", func(_ int, conn net.Conn) { c.serve(conn) })
			for i := 2; i <= 4; i++ {
				s.target(t, fmt.Sprintf("t%d", i), func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
			}
			stop := s.load(t, 24)
			s.until(t, func() bool { return strings.HasPrefix(s.health("t1"), "ejected") })
			stop()
			assert.Equal(t, s.health("t1"), c.health)
			for range 20 {
				r := s.call(t, http.MethodGet, "/", "")
				assert.Equal(t, r.body, "ok")
			}
		})
	}
}

func serveStatus(c net.Conn, status string) {
	defer c.Close()
	for readRequest(c) != "" {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status)
	}
}

// Guards against a caller that waits for a target that does not answer although
// another could, and against an idempotent request that is not repeated.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	cfg := config()
	cfg.Limits.RetryShare = 1
	s := startEntry(t, newControl(cfg, machines(2)...), "e1", nil)
	s.target(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Lacewingturn-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	s.target(t, "t2", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Method) })
	for i := range 6 {
		assert.Equal(t, s.call(t, http.MethodGet, "/", "").body, "GET")
		// Also a charge, because the target states that it did not run it.
		r := s.call(t, http.MethodPost, "/charge", "", "Idempotency-Key", keyAt(time.Now(), i))
		assert.Equal(t, r.body, "POST")
	}
}

// Guards against retries that multiply the load when every target fails.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	t.Parallel()
	s := startEntry(t, newControl(config(), machines(2)...), "e1", nil)
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
	assert.Assert(t, seen.Load() <= 110, "%d requests sent for 100 with a share of 0.1", seen.Load())
}

// Guards against work that is sent after its deadline, a deadline that the
// target is not told, and a queue without a bound.
func TestDeadlinesAndBoundedQueues(t *testing.T) {
	t.Parallel()
	s := startEntry(t, newControl(config(), machines(1)...), "e1", nil)
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
	s.until(t, func() bool { return started.Load() == 8 })
	assert.Assert(t, len(<-timeouts) == 4, "about 3000 ms")
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
	s.until(t, func() bool { return refused.Load()+expired.Load() == 6 })
	assert.Equal(t, refused.Load(), int32(2), "the limit is 4 for each caller")
	assert.Equal(t, started.Load(), int32(8))
	release()
	wg.Wait()
	assert.Equal(t, s.call(t, http.MethodGet, "/", "").outcome, "done")
	assert.Equal(t, started.Load(), int32(9), "expired work is not sent")
}
