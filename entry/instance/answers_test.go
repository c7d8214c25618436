package instance

import (
	"bytes"
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

// rawTarget announces a target and calls serve for each of its connections,
// numbered from 1.
func (s *testEntry) rawTarget(t testing.TB, id string, serve func(n int, c net.Conn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(n, c)
		}
	}()
	s.join(t, id, l.Addr().String())
	return l
}

// readRequest reads at least to the end of the headers of one request. It returns
// an empty string if the connection fails before.
func readRequest(c net.Conn) string {
	var all []byte
	buf := make([]byte, 4096)
	for !bytes.Contains(all, []byte("\r\n\r\n")) {
		n, err := c.Read(buf)
		if err != nil {
			return ""
		}
		all = append(all, buf[:n]...)
	}
	return string(all)
}

// Guards against a truncated answer that reaches the caller as a complete one, for
// each way in which an answer can end early: within the body of known length,
// within a chunk, without a length, and within the headers.
func TestTruncatedAnswerIsNotPassedOn(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"no end":  "HTTP/1.1 200 OK\r\n\r\npart",
		"header":  "HTTP/1.1 200 OK\r\nContent-Le",
	} {
		t.Run(name, func(t *testing.T) {
			s := startEntry(t, newControl(config(), instances(1)...), "e1", nil)
			s.rawTarget(t, "t1", func(_ int, c net.Conn) {
				readRequest(c)
				_, _ = io.WriteString(c, answer)
				c.Close()
			})
			r := s.call(t, http.MethodGet, "/", "")
			assert.Equal(t, r.status, 502)
			assert.Equal(t, r.result, "407")
			assert.Equal(t, r.outcome, "unknown")
			assert.Assert(t, !strings.Contains(r.body, "part"))
		})
	}
}

// Guards against a truncated answer that looks complete to the caller because it is
// longer than the buffer, so that its first part was sent before the target broke
// the connection.
func TestTruncatedStreamAbortsTheCaller(t *testing.T) {
	for name, head := range map[string]string{
		"length":  fmt.Sprintf("Content-Length: %d\r\n\r\n", 3<<20),
		"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", 3<<20),
	} {
		t.Run(name, func(t *testing.T) {
			s := startEntry(t, newControl(config(), instances(1)...), "e1", nil)
			s.rawTarget(t, "t1", func(_ int, c net.Conn) {
				readRequest(c)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
				_, _ = c.Write(make([]byte, 2<<20))
				c.Close()
			})
			resp, err := s.server.Client().Get(s.server.URL + "/services/orders/")
			assert.NilError(t, err)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// Guards against answers that are truncated or corrupted when their size is at or
// near the buffer limit of 1 MiB.
func TestWholeAnswerOfEverySize(t *testing.T) {
	s := startEntry(t, newControl(config(), instances(1)...), "e1", nil)
	s.target(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		var n int
		_, _ = fmt.Sscan(r.URL.Query().Get("n"), &n)
		if r.URL.Query().Has("chunked") {
			w.(http.Flusher).Flush()
		}
		_, _ = w.Write(bytes.Repeat([]byte{byte('a' + n%26)}, n))
	})
	for _, n := range []int{0, 1, 1<<20 - 1, 1 << 20, 1<<20 + 1, 5 << 20} {
		for _, mode := range []string{"", "&chunked"} {
			r := s.call(t, http.MethodGet, fmt.Sprintf("/?n=%d%s", n, mode), "")
			assert.Equal(t, r.outcome, "done")
			assert.Assert(t, r.body == strings.Repeat(string(rune('a'+n%26)), n), "%d bytes of %d", len(r.body), n)
		}
	}
}

// Guards against a caller that receives the answer to another request when answers
// arrive after their deadline and interleaved with others.
func TestLateAnswersReachNobodyElse(t *testing.T) {
	s := startEntry(t, newControl(config(), instances(2)...), "e1", nil)
	for _, id := range []string{"t1", "t2"} {
		s.target(t, id, func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "7") {
				time.Sleep(80 * time.Millisecond)
			}
			_, _ = io.WriteString(w, r.URL.Path)
		})
	}
	var wg sync.WaitGroup
	var late atomic.Int32
	for i := range 200 {
		wg.Go(func() {
			path := fmt.Sprintf("/r%d", i)
			r := s.call(t, http.MethodGet, path, "", "Lacewingturn-Timeout-Ms", "60", "Lacewingturn-Caller", path)
			if r.outcome != "done" {
				late.Add(1)
				return
			}
			assert.Check(t, r.body == path, "%s got %s", path, r.body)
		})
	}
	wg.Wait()
	assert.Assert(t, late.Load() >= 20, "only %d requests missed their deadline", late.Load())
}
