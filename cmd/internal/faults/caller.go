package faults

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lacewingturn.example/cmd/site"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
)

// callTimeout is the timeout of the caller. It is longer than serviceTimeout, so that
// the entry instance answers first.
const callTimeout = 15 * time.Second

// Call is one request of a caller. Its idempotency key is sent with every call.
type Call struct {
	Caller        string        // name of the caller; "counter" if empty
	Key           string        // idempotency key; targets count runs by key
	NonIdempotent bool          // sent as POST, else as GET
	ID            string        // body of the request, which the answer repeats
	RunTime       time.Duration // how long the target works on the request
}

// NewCall returns a call with a new idempotency key.
func NewCall(id string, nonIdempotent bool, runTime time.Duration) Call {
	return Call{Key: string(client.NewRequestID()), NonIdempotent: nonIdempotent, ID: id, RunTime: runTime}
}

// Reply is what the caller received. Without an answer only Err and Duration are set.
type Reply struct {
	Code     result.Code
	Outcome  string
	Body     string
	Complete bool // the body is the complete answer to this call
	Err      error
	Duration time.Duration
}

func (r Reply) String() string {
	return fmt.Sprintf("%s (%d) outcome %q body %q error %v after %s", r.Code, r.Code, r.Outcome, r.Body, r.Err, r.Duration.Round(time.Millisecond))
}

// NotRun reports whether the answer says that the work did not run.
func (r Reply) NotRun() bool { return r.Err == nil && r.Outcome == result.OutcomeNotRun.String() }

// Done reports whether the answer says that the work ran.
func (r Reply) Done() bool { return r.Err == nil && r.Outcome == result.OutcomeDone.String() }

// Send sends a call to an entry instance once, without retries.
func (s *Site) Send(ctx context.Context, client *http.Client, entry *Process, c Call) Reply {
	began := time.Now()
	r := s.send(ctx, client, entry, c)
	r.Duration = time.Since(began)
	return r
}

func (s *Site) send(ctx context.Context, client *http.Client, entry *Process, c Call) Reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	method := http.MethodGet
	if c.NonIdempotent {
		method = http.MethodPost
	}
	url := fmt.Sprintf("http://%s/services/%s/work", entry.Address, s.Config.Services[0].Name)
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(c.ID))
	if err != nil {
		return Reply{Err: err}
	}
	req.Header.Set("Lacewingturn-Caller", cmp.Or(c.Caller, "counter"))
	req.Header.Set(site.HeaderRunMs, strconv.FormatInt(c.RunTime.Milliseconds(), 10))
	req.Header.Set("Idempotency-Key", c.Key)
	req.GetBody = nil // keeps the transport from resending, which would hide an interrupted request
	resp, err := client.Do(req)
	if err != nil {
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r := Reply{Outcome: resp.Header.Get("Lacewingturn-Outcome"), Body: string(body), Err: err}
	if code, err := strconv.Atoi(resp.Header.Get("Lacewingturn-Result")); err == nil {
		r.Code = result.Code(code)
	}
	r.Complete = err == nil && resp.StatusCode == http.StatusOK && strings.HasSuffix(r.Body, fmt.Sprintf("did %s /work %s", method, c.ID))
	return r
}

// Runs returns how often the targets have run the call with the key.
func (s *Site) Runs(key string) (n int) {
	for _, t := range s.Targets {
		n += t.Executions()[key]
	}
	return n
}
