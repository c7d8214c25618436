package instance

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"
)

// Guards against a part of the path without a span, and against a trace that ends
// at the entry instance because the target does not get its context.
func TestTraceContextReachesTarget(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	tracer := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test")
	s := startEntry(t, newControl(config(), instances(1)...), "e1", tracer)
	parent := make(chan string, 1)
	s.target(t, "t1", func(_ http.ResponseWriter, r *http.Request) { parent <- r.Header.Get("Traceparent") })
	const id = "4bf92f3577b34da6a3ce929d0e0e4736"
	s.call(t, http.MethodGet, "/", "", "Traceparent", "00-"+id+"-00f067aa0ba902b7-01")
	got := <-parent
	assert.Assert(t, strings.HasPrefix(got, "00-"+id+"-"), got)
	s.waitUntil(t, func() bool { return len(spans.Ended()) == 2 })
	names := map[string]bool{}
	for _, span := range spans.Ended() {
		names[span.Name()] = true
		assert.Equal(t, span.SpanContext().TraceID().String(), id)
	}
	assert.DeepEqual(t, names, map[string]bool{"entry.request": true, "entry.exchange": true})
}

// Guards against a claim whose spans are not in the trace of its request.
func TestClaimsAreInTheTraceOfTheRequest(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	tracer := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test")
	s := startEntry(t, newControl(config(), instances(1)...), "e1", tracer)
	s.target(t, "t1", echo)
	const id = "4bf92f3577b34da6a3ce929d0e0e4736"
	s.call(t, http.MethodPost, "/charge", "", "Idempotency-Key", keyAt(time.Now(), 1), "Traceparent", "00-"+id+"-00f067aa0ba902b7-01")
	s.waitUntil(t, func() bool { return len(spans.Ended()) >= 4 })
	names := map[string]bool{}
	for _, span := range spans.Ended() {
		names[span.Name()] = true
		assert.Equal(t, span.SpanContext().TraceID().String(), id)
	}
	assert.DeepEqual(t, names, map[string]bool{"entry.request": true, "entry.claim": true, "entry.propose": true, "entry.exchange": true})
}

// Guards against refused requests, claims and queue waits that no metric counts.
func TestMetricsCountResults(t *testing.T) {
	s := startEntry(t, newControl(config(), instances(1)...), "e1", nil)
	s.call(t, http.MethodGet, "/", "")
	s.target(t, "t1", echo)
	s.call(t, http.MethodGet, "/", "")
	s.call(t, http.MethodPost, "/charge", "", "Idempotency-Key", keyAt(time.Now(), 1))
	s.waitUntil(t, func() bool {
		n, err := testutil.GatherAndCount(s.metrics, "lacewingturn_entry_claims_total")
		return err == nil && n == 2
	})
	n, err := testutil.GatherAndCount(s.metrics, "lacewingturn_entry_results_total", "lacewingturn_entry_wait_seconds")
	assert.NilError(t, err)
	assert.Equal(t, n, 3)
}
