package command

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"lacewingturn.example/core/result"
)

var propagator = propagation.TraceContext{}

// exchange sends a request to a target once and reads the response up to MaxBody
// bytes. If the response is longer, its stream delivers the rest, and the slot
// stays in use until the stream ends.
func (g *Gateway) exchange(ctx context.Context, c *call, d destination) (response, sample) {
	started := time.Now()
	tp := g.pool.forTarget(d)
	if c.newConnection {
		tp.transport.CloseIdleConnections()
	}
	sent := &sending{credit: d.credit}
	resp, err := tp.transport.RoundTrip(outgoing(sent.trace(ctx), c, d))
	if err != nil {
		return sent.failure(ctx, err, time.Since(started))
	}
	res, s := readResponse(ctx, c, resp)
	s.run = time.Since(started)
	return res, s
}

// sending tracks how far a request got: without a connection, on a connection, or
// written to it.
type sending struct {
	credit *creditExpiry
	conn   *countedConn
}

// trace records the connection that the transport selects for the request. The
// transport calls GotConn before RoundTrip returns.
func (s *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*countedConn); ok {
			c.mark(s.credit)
			s.conn = c
		}
	}})
}

// failure classifies a transport error. It distinguishes requests that certainly
// did not run from those that may have run.
func (s *sending) failure(ctx context.Context, err error, run time.Duration) (response, sample) {
	switch {
	case errors.Is(err, errTooManyConnections):
		return refusal(result.New(result.Overloaded, "%v", err), overloadRetry), sample{sampleNoConnection, run}
	case errors.Is(err, errCreditExpired):
		return refusal(result.New(result.EntryStale, "%v", err), overloadRetry), sample{sampleNoConnection, run}
	case s.conn == nil && errors.Is(context.Cause(ctx), context.Canceled):
		return refusal(result.New(result.CallerDisconnected, "withdrawn before a connection was open"), 0), sample{sampleUnsent, run}
	case s.conn == nil && ctx.Err() != nil:
		return refusal(result.New(result.Deadline, "no connection to the target before the deadline"), 0), sample{sampleRefused, run}
	case s.conn == nil || s.conn.unwritten():
		return refusal(result.New(result.TargetRefused, "nothing was sent: %v", err), overloadRetry), sample{sampleRefused, run}
	case errors.Is(context.Cause(ctx), context.Canceled):
		return refusal(result.New(result.CallerDisconnected, "the caller closed its connection"), 0), sample{sampleCancelled, run}
	case ctx.Err() != nil:
		return refusal(result.New(result.TargetTimeout, "no answer from the target after %s", run.Round(time.Millisecond)), 0), sample{sampleSilent, run}
	}
	return refusal(result.New(result.TargetTruncated, "the connection broke before the answer: %v", err), 0), sample{sampleTruncated, run}
}

// outgoing builds the request to the target.
func outgoing(ctx context.Context, c *call, d destination) *http.Request {
	h := make(http.Header, len(c.header)+4)
	drop := connectionHeaders(c.header)
	for k, values := range c.header {
		if !hopByHop(k) && !drop[k] {
			h[k] = values
		}
	}
	// http.Transport retries a request by itself if it has this header in canonical
	// form, so it is sent in lower case. Header names are case-insensitive.
	if values, ok := h[HeaderKey]; ok {
		delete(h, HeaderKey)
		h[strings.ToLower(HeaderKey)] = values
	}
	if deadline, ok := ctx.Deadline(); ok {
		h[HeaderTimeout] = []string{strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10)}
	}
	h[HeaderSlot] = []string{d.slot}
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
	req := &http.Request{
		Method: c.method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h, Host: d.address,
		URL: &url.URL{Scheme: "http", Host: d.address, Path: c.path, RawPath: c.rawPath, RawQuery: c.query},
	}
	if len(c.body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(c.body)), int64(len(c.body))
	}
	return req.WithContext(ctx)
}

// connectionHeaders returns the hop-by-hop headers that the Connection header lists.
func connectionHeaders(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	drop := map[string]bool{}
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return drop
}

// readResponse reads a response, completely or up to MaxBody bytes. A response
// with neither a length nor a transfer encoding counts as truncated, because a
// broken connection would look like its end.
func readResponse(ctx context.Context, c *call, resp *http.Response) (response, sample) {
	if notRun(resp) {
		_ = resp.Body.Close()
		return refusal(result.New(result.TargetRefused, "the target answered %d and did not run the request", resp.StatusCode), overloadRetry), sample{kind: sampleRefused}
	}
	bodiless := c.method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if !bodiless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		_ = resp.Body.Close()
		return refusal(result.New(result.TargetTruncated, "the answer has neither a length nor a transfer encoding, so its end cannot be recognized"), 0), sample{kind: sampleTruncated}
	}
	body, err := readUpTo(resp, MaxBody)
	if err != nil {
		_ = resp.Body.Close()
		return classifyReadError(ctx, err)
	}
	res := response{outcome: result.OutcomeDone, status: resp.StatusCode, header: resp.Header, body: body}
	if len(body) > MaxBody {
		res.stream = &stream{rest: resp.Body, length: resp.ContentLength}
		return res, sample{kind: kindOf(resp)}
	}
	_ = resp.Body.Close()
	return res, sample{kind: kindOf(resp)}
}

// classifyReadError classifies a response whose body could not be read to its end.
func classifyReadError(ctx context.Context, err error) (response, sample) {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		return refusal(result.New(result.CallerDisconnected, "the caller closed its connection"), 0), sample{kind: sampleCancelled}
	case ctx.Err() != nil:
		return refusal(result.New(result.TargetTimeout, "the answer was not complete at the deadline"), 0), sample{kind: sampleSilent}
	}
	return refusal(result.New(result.TargetTruncated, "the answer ended early: %v", err), 0), sample{kind: sampleTruncated}
}

func kindOf(resp *http.Response) sampleKind {
	if resp.StatusCode >= http.StatusInternalServerError {
		return sampleFailed
	}
	return sampleDone
}

// notRun reports whether the response states that the target did not run the request.
func notRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == result.OutcomeNotRun.String()
}

// readUpTo reads the complete body, or limit+1 bytes if it is longer than limit.
func readUpTo(resp *http.Response, limit int) ([]byte, error) {
	n := resp.ContentLength
	if n >= 0 && n <= int64(limit) {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
}
