package crowd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/cmd/internal/faults"
	"lacewingturn.example/node/server"
)

// scale is 1 in CI. The limits of the settings grow to those of a usual machine with a larger
// crowd.
var scale = flag.Int("crowd.scale", 1, "factor for the number of clients of each crowd; above 1 with the default limits of a machine")

func TestMain(m *testing.M) {
	code := m.Run()
	faults.RemoveBinary()
	os.Exit(code)
}

const (
	headBytes      = 1000 << 10 // of a head; a common default limit is 1 MiB
	emptyLineBytes = 2 << 20
	trailerBytes   = 2 << 20
	submission     = 256 << 10 // legal size of a workload
	report         = 4 << 20   // legal size of a heartbeat
	configuration  = 16 << 20  // legal size of a configuration
	piece          = 4 << 10
	largeChunk     = 64 << 10
	smallChunk     = 16
	// sendTimeout ends the writes of a client to a server that reads no more.
	sendTimeout = 30 * time.Second
)

// crowd is a number of connections that all send the same and then stay open.
type crowd struct {
	name        string
	connections int
	send        func(w io.Writer) error
}

// target is a listener of the system.
type target struct {
	name    string
	process func(s *site) *faults.Process
	address func(s *site) string
	crowds  []crowd
	// served are the ordinary requests that must be answered beside the crowd.
	served map[string]func(s *site) bool
}

// targets lists the listeners that clients reach, then those of the system itself.
var targets = []target{
	{
		name:    "entry",
		process: func(s *site) *faults.Process { return s.entry },
		address: func(s *site) string { return s.settings.Callers() },
		crowds:  crowds("POST /orders/00000000000000aa HTTP/1.1\r\nHost: jobs.example\r\n", submission, 640),
		served:  map[string]func(s *site) bool{"a submission": (*site).submitted, "the readiness check": (*site).ready},
	},
	{
		name:    "control-workers",
		process: func(s *site) *faults.Process { return s.control },
		address: func(s *site) string { return s.settings.ControlAddress() },
		crowds:  crowds("PUT /lacewingturn/instances/w2 HTTP/1.1\r\nHost: control\r\n", report, 48),
		served:  map[string]func(s *site) bool{"a heartbeat": (*site).heartbeat, "a read of the configuration": (*site).configured},
	},
	{
		name:    "control-operator",
		process: func(s *site) *faults.Process { return s.control },
		address: func(s *site) string { return s.settings.ControlAddress() },
		crowds:  crowds("PUT /lacewingturn/config HTTP/1.1\r\nHost: control\r\n", configuration, 12),
		served:  map[string]func(s *site) bool{"a heartbeat": (*site).heartbeat, "a read of the configuration": (*site).configured},
	},
	{
		name:    "readiness",
		process: func(s *site) *faults.Process { return s.entry },
		address: func(s *site) string { return s.settings.Readiness() },
		crowds:  crowds("GET /lacewingturn/readyz HTTP/1.1\r\nHost: entry\r\n", submission, 640),
		served:  map[string]func(s *site) bool{"a submission": (*site).submitted, "the readiness check": (*site).ready},
	},
	{
		name:    "internal",
		process: func(s *site) *faults.Process { return s.control },
		address: func(s *site) string { return s.settings.Internal() },
		crowds:  crowds("POST "+proposePath+" HTTP/1.1\r\nHost: control\r\nContent-Type: application/proto\r\n", report, 48),
		served:  map[string]func(s *site) bool{"a heartbeat": (*site).heartbeat, "a submission": (*site).submitted},
	},
}

// proposePath is the path of the call by which other processes commit commands.
const proposePath = "/lacewingturn.replica.v1.ReplicaCommandService/Propose"

// crowds returns the crowds for a request whose head begins with the text and whose body has
// the size. The bodies of a crowd together are as large as the memory of the machine.
func crowds(head string, size, connections int) []crowd {
	declared := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, size)
	whole := declared + strings.Repeat(" ", size-1)
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	return []crowd{
		{"heads over the limit", 200, func(w io.Writer) error { return sendHead(w, head, headBytes) }},
		{"heads without end", 200, func(w io.Writer) error { return sendHead(w, head, 4*headBytes) }},
		{"empty lines without end", 200, func(w io.Writer) error { return repeat(w, "\r\n", emptyLineBytes) }},
		{"whole bodies", connections, func(w io.Writer) error { return sendText(w, whole) }},
		{"bodies in pieces", connections, func(w io.Writer) error {
			if err := sendText(w, declared); err != nil {
				return err
			}
			if err := repeat(w, strings.Repeat(" ", piece), size-piece); err != nil {
				return err
			}
			return sendText(w, strings.Repeat(" ", piece-1))
		}},
		{"large chunks", connections, func(w io.Writer) error { return sendChunks(w, chunked, largeChunk, size) }},
		{"small chunks", connections, func(w io.Writer) error { return sendChunks(w, chunked, smallChunk, size) }},
		{"chunk extensions without end", 200, func(w io.Writer) error {
			if err := sendText(w, chunked+"10"); err != nil {
				return err
			}
			return repeat(w, ";extension=value", trailerBytes)
		}},
		{"trailers without end", 200, func(w io.Writer) error {
			if err := sendText(w, chunked+"0\r\n"); err != nil {
				return err
			}
			return repeat(w, "Trailer: value\r\n", trailerBytes)
		}},
	}
}

func sendText(w io.Writer, text string) error {
	_, err := io.WriteString(w, text)
	return err
}

// repeat writes the text until at least size bytes are written, several at a time.
func repeat(w io.Writer, text string, size int) error {
	text = strings.Repeat(text, max(1, piece/len(text)))
	for sent := 0; sent < size; sent += len(text) {
		if err := sendText(w, text); err != nil {
			return err
		}
	}
	return nil
}

// sendHead writes a head of at least size bytes that does not end.
func sendHead(w io.Writer, begin string, size int) error {
	if err := sendText(w, begin); err != nil {
		return err
	}
	return repeat(w, "X-Field: "+strings.Repeat("x", 1000)+"\r\n", size)
}

// sendChunks writes a head and chunks with size bytes together. The empty chunk that ends a
// body never comes.
func sendChunks(w io.Writer, head string, chunk, size int) error {
	if err := sendText(w, head); err != nil {
		return err
	}
	text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat(" ", chunk))
	for range size / max(chunk, piece) {
		if err := sendText(w, strings.Repeat(text, max(1, piece/chunk))); err != nil {
			return err
		}
	}
	return nil
}

// start opens all connections, sends on each of them and returns when every client has sent
// all that it could. The connections stay open until the test ends.
func (c crowd) start(t *testing.T, address string) {
	t.Helper()
	var sending sync.WaitGroup
	for range c.connections * *scale {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue // the server takes no more connections
		}
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.SetWriteDeadline(time.Now().Add(sendTimeout)))
		sending.Go(func() { _ = c.send(conn) }) // the server may refuse the request or close the connection
	}
	sending.Wait()
}

// check fails the test unless the process lives, has stayed within its limits and answers the
// ordinary requests.
func (l target) check(t *testing.T, s *site) {
	t.Helper()
	process := l.process(s)
	assert.Assert(t, process.Running(), "the process has ended:\n%s", process.Log())
	open := descriptors(t, process)
	for what, answered := range l.served {
		s.waitUntil(what+" is answered", func() bool { return answered(s) })
	}
	assert.Assert(t, process.Running(), "the process has ended:\n%s", process.Log())
	peak, err := process.PeakMemoryMB()
	assert.NilError(t, err)
	t.Logf("peak memory %d MB of %d, %d descriptors of %d", peak, s.settings.MemoryMB, open, s.settings.MaxFDs)
	assert.Check(t, peak < s.settings.MemoryMB, "the process took %d MB of %d", peak, s.settings.MemoryMB)
	assert.Check(t, open < s.settings.MaxFDs, "the process had %d descriptors of %d", open, s.settings.MaxFDs)
}

// Guards against clients that end a process, or keep it from serving others, with requests
// that they do not finish.
func TestCrowdOfUnfinishedRequests(t *testing.T) {
	for _, listener := range targets {
		for _, c := range listener.crowds {
			t.Run(listener.name+"/"+c.name, func(t *testing.T) {
				s := startSite(t)
				c.start(t, listener.address(s))
				listener.check(t, s)
			})
		}
	}
}

// streams is the number of requests in TestCrowdOfStreams.
const streams = 48

// Guards against the same with requests of HTTP/2 that share connections.
func TestCrowdOfStreams(t *testing.T) {
	s := startSite(t)
	ctx, cancel := context.WithCancel(t.Context())
	client := server.NewClient(server.Dialer(nil))
	var all, sending sync.WaitGroup
	defer all.Wait()
	defer cancel()
	for range streams * *scale {
		sending.Add(1)
		body := &unfinishedBody{left: report - 1, ctx: ctx, sent: sync.OnceFunc(sending.Done)}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.settings.Internal()+proposePath, body)
		assert.NilError(t, err)
		req.Header.Set("Content-Type", "application/proto")
		req.ContentLength = report
		all.Go(func() {
			defer body.sent()
			if resp, err := client.Do(req); err == nil { // the process may refuse the request
				_ = resp.Body.Close()
			}
		})
	}
	sending.Wait()
	targets[len(targets)-1].check(t, s)
}

// unfinishedBody is a body that blocks after its bytes until ctx ends.
type unfinishedBody struct {
	left int
	ctx  context.Context
	sent func()
}

func (b *unfinishedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.sent()
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	n := min(b.left, len(p))
	clear(p[:n])
	b.left -= n
	return n, nil
}

func (b *unfinishedBody) Close() error {
	b.sent()
	return nil
}
