package server

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"lacewingturn.example/node/server/admission"
	"lacewingturn.example/node/wait"
)

const testMemory = 160 << 20

// serveGuarded serves a handler that reads JSON bodies of up to 16 MiB and responds with
// their length.
func serveGuarded(t *testing.T, memory int64, l admission.Limits) (*Server, *Guard, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.WarnLevel)
	g := NewGuard(NewBudget(memory, 600), prometheus.NewRegistry(), zap.New(core))
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadJSON(r, 16<<20)
		if err != nil {
			RefuseBody(w, r, err)
			return
		}
		if size := len(r.URL.Query().Get("large")); size > 0 {
			_, _ = w.Write(make([]byte, 32<<20)) // fails if the client does not read it
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	})
	s, err := ListenWith("127.0.0.1:0", handler, Options{Guard: g, Limits: &admission.Listener{Limits: l}, HTTP1Only: true})
	assert.NilError(t, err)
	s.Start()
	t.Cleanup(s.Close)
	return s, g, logs
}

// exchange sends a text on a new connection and returns the response.
func exchange(t *testing.T, s *Server, request string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	go func() { _, _ = io.WriteString(c, request) }() // fails if the server closes the connection
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	return resp
}

// waitGivenBack waits until the guard counts nothing but idle connections.
func waitGivenBack(t *testing.T, g *Guard) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); _ = wait.Sleep(t.Context(), 10*time.Millisecond) {
		done := false
		g.update(func(table *admission.Table, _ time.Time) {
			done = table.Unfinished() == 0 && table.Used() == int64(table.Connections())*admission.ConnectionBytes
		})
		if done {
			return
		}
	}
	t.Fatal("not all bytes were given back")
}

// Guards against a request at a limit that is refused, one beyond it that is served, and a
// refusal that does not reach the client.
func TestRefusals(t *testing.T) {
	limits := DefaultLimits()
	limits.HeadBytes, limits.BodyBytes = 16<<10, 256<<10
	s, g, _ := serveGuarded(t, testMemory, limits)
	head := func(size int) string {
		begin, end := "GET / HTTP/1.1\r\nHost: h\r\nX-Field: ", "\r\n\r\n"
		return begin + strings.Repeat("x", size-len(begin)-len(end)) + end
	}
	body := func(size int) string {
		return fmt.Sprintf("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat(" ", size))
	}
	chunks := func(size int) string {
		return "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat(" ", 1024)+"\r\n", size/1024) + "0\r\n\r\n"
	}
	for _, test := range []struct {
		name, request string
		status        int
	}{
		{"head at the limit", head(16 << 10), http.StatusOK},
		{"head over the limit", head(16<<10 + 1), http.StatusRequestHeaderFieldsTooLarge},
		{"head far over the limit", head(8 << 20), http.StatusRequestHeaderFieldsTooLarge},
		{"body at the limit", body(256 << 10), http.StatusOK},
		{"body over the limit", body(256<<10 + 1), http.StatusRequestEntityTooLarge},
		{"chunks at the limit", chunks(256 << 10), http.StatusOK},
		{"chunks over the limit", chunks(257 << 10), http.StatusRequestEntityTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, exchange(t, s, test.request).StatusCode, test.status)
		})
	}
	waitGivenBack(t, g)
}

// Guards against a legal large request that is refused in calm, against a body whose decoded
// form does not fit into memory, and against bytes that are not given back.
func TestLargeRequests(t *testing.T) {
	s, g, _ := serveGuarded(t, testMemory, DefaultLimits())
	put := func(body string) *http.Response {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+s.Address(), strings.NewReader(body))
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp
	}
	for range 3 {
		assert.Equal(t, put(strings.Repeat(" ", 16<<20)).StatusCode, http.StatusOK)
	}
	assert.Equal(t, put("["+strings.Repeat("{},", 1<<20)+"{}]").StatusCode, http.StatusRequestEntityTooLarge)
	waitGivenBack(t, g)
}

// Guards against a request that is accepted although the budget does not allow it, against
// a refusal without the time to come back, and against refusals that are not logged.
func TestNoRoom(t *testing.T) {
	s, _, logs := serveGuarded(t, 4<<20, DefaultLimits())
	resp := exchange(t, s, "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get("Retry-After"), "1")
	for end := time.Now().Add(10 * time.Second); logs.Len() == 0 && time.Now().Before(end); {
		_ = wait.Sleep(t.Context(), 10*time.Millisecond)
	}
	assert.Equal(t, logs.Len(), 1)
}

// Guards against clients that hold a request or a response for ever.
func TestSlowClientsAreClosed(t *testing.T) {
	limits := DefaultLimits()
	limits.HeadTime, limits.IdleTime, limits.LagTime, limits.MinRate = time.Second, time.Second, time.Second, 1<<20
	s, g, _ := serveGuarded(t, testMemory, limits)
	for _, request := range []string{
		"", "GET / HTTP/1.1\r\n", "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{", "GET /?large=1 HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		c, err := net.Dial("tcp", s.Address())
		assert.NilError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, request)
		assert.NilError(t, err)
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); _ = wait.Sleep(t.Context(), 10*time.Millisecond) {
		open := 0
		g.update(func(table *admission.Table, _ time.Time) { open = table.Connections() })
		if open == 0 {
			return
		}
	}
	t.Fatal("connections are still open")
}

// Guards against calls between processes that are refused or not given back with a guard, over
// TLS and over HTTP/2.
func TestGuardWithHTTP2(t *testing.T) {
	config, err := writeTLSFiles(t, t.TempDir()).Config()
	assert.NilError(t, err)
	t.Run("cleartext", func(t *testing.T) { sendOverHTTP2(t, nil) })
	t.Run("TLS", func(t *testing.T) { sendOverHTTP2(t, config) })
}

// sendOverHTTP2 sends large requests, the first of them on a new connection.
func sendOverHTTP2(t *testing.T, config *tls.Config) {
	g := NewGuard(NewBudget(testMemory, 600), prometheus.NewRegistry(), zap.NewNop())
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprint(w, r.Proto, " ", len(body))
	})
	s, err := ListenWith("127.0.0.1:0", handler, Options{TLS: config, Guard: g})
	assert.NilError(t, err)
	s.Start()
	defer s.Close()
	client := NewClient(Dialer(config))
	for range 20 {
		resp, err := client.Post("http://"+s.Address(), "application/proto", strings.NewReader(strings.Repeat(" ", 4<<20)))
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, string(body), "HTTP/2.0 4194304")
	}
	g.update(func(table *admission.Table, _ time.Time) {
		assert.Equal(t, table.Used(), int64(table.Connections())*admission.ConnectionBytes)
	})
}
