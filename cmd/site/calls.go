package site

import (
	"bufio"
	"context"
	"embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"lacewingturn.example/core/result"
	"lacewingturn.example/node/wait"
)

//go:embed workload.jsonl
var workloadFile embed.FS

// call is one request of the recorded workload.
type call struct {
	AtMs   int64  `json:"at_ms"`
	ID     string `json:"id"`
	Caller string `json:"caller"`
	// Service and Path select the target and the work. Once marks a non-idempotent
	// request, which has an idempotency key.
	Service string `json:"service"`
	Path    string `json:"path"`
	RunMs   int    `json:"run_ms"`
	Once    bool   `json:"once,omitempty"`
	// Resend sends the request again with the same key to another entry instance after
	// the first reply.
	Resend bool `json:"resend,omitempty"`
}

// reply is the outcome of a call as its caller observes it.
type reply struct {
	call     call
	key      string
	target   string
	status   int
	code     result.Code
	outcome  string
	complete bool   // the body is the complete answer to this request
	resent   *reply // the reply to the resend, or nil
	err      error
}

func readWorkload() ([]call, error) {
	f, err := workloadFile.Open("workload.jsonl")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer f.Close()
	var out []call
	scanner := bufio.NewScanner(f)
	for n := 1; scanner.Scan(); n++ {
		var c call
		if err := json.Unmarshal(scanner.Bytes(), &c); err != nil {
			return nil, trace.BadParameter("line %d of workload.jsonl cannot be decoded: %v", n, err)
		}
		out = append(out, c)
	}
	return out, trace.Wrap(scanner.Err())
}

// caller sends requests to the entry instances in turn, as through a load balancer.
type caller struct {
	urls   []string
	client *http.Client
	newKey func() string
}

// play sends every call at its recorded time and waits for all replies. Calls that
// are not sent before ctx ends have an empty reply.
func (c *caller) play(ctx context.Context, calls []call) []reply {
	replies := make([]reply, len(calls))
	begin := time.Now()
	var wg sync.WaitGroup
	for i, next := range calls {
		wg.Go(func() {
			if wait.Sleep(ctx, time.Until(begin.Add(time.Duration(next.AtMs)*time.Millisecond))) != nil {
				return
			}
			replies[i] = c.sendWithResend(ctx, i, next)
		})
	}
	wg.Wait()
	return replies
}

// steadyInterval is the time between two requests of a steady load.
const steadyInterval = 10 * time.Millisecond

// playSteady sends a call every steadyInterval until ended is closed, but at least
// minCalls calls, and waits for all replies.
func (c *caller) playSteady(ctx context.Context, ended <-chan struct{}, minCalls int, next func(i int) call) []reply {
	var wg sync.WaitGroup
	replies := make(chan reply)
	var out []reply
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		for r := range replies {
			out = append(out, r)
		}
	}()
	ticker := time.NewTicker(steadyInterval)
	defer ticker.Stop()
	for i := 0; ctx.Err() == nil && (i < minCalls || !isClosed(ended)); i++ {
		wg.Go(func() { replies <- c.sendWithResend(ctx, i, next(i)) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	wg.Wait()
	close(replies)
	<-collected
	return out
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// sendWithResend sends call number i and, if it has Resend set, sends it again to the
// next entry instance.
func (c *caller) sendWithResend(ctx context.Context, i int, next call) reply {
	key := ""
	if next.Once {
		key = c.newKey()
	}
	r := c.send(ctx, c.urls[i%len(c.urls)], next, key)
	if next.Resend {
		again := c.send(ctx, c.urls[(i+1)%len(c.urls)], next, key)
		r.resent = &again
	}
	return r
}

func (c *caller) send(ctx context.Context, base string, next call, key string) reply {
	r := reply{call: next, key: key}
	method := http.MethodGet
	if next.Once {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, base+"/services/"+next.Service+next.Path, strings.NewReader(next.ID))
	if err != nil {
		r.err = err
		return r
	}
	req.Header.Set("Lacewingturn-Caller", next.Caller)
	req.Header.Set(HeaderRunMs, strconv.Itoa(next.RunMs))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.err, r.status, r.outcome = err, resp.StatusCode, resp.Header.Get("Lacewingturn-Outcome")
	if code, err := strconv.Atoi(resp.Header.Get("Lacewingturn-Result")); err == nil {
		r.code = result.Code(code)
	}
	r.target, _, _ = strings.Cut(string(body), " ")
	r.complete = resp.StatusCode == http.StatusOK && strings.HasSuffix(string(body), fmt.Sprintf("did %s %s %s", method, next.Path, next.ID))
	return r
}
