package server

import (
	"net/http"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"
)

// Guards against a trace context that is not propagated to the called process, and
// against spans for calls that are not part of a traced request.
func TestTraceCrossesProcesses(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
	s, err := Listen("127.0.0.1:0", TraceHandler(http.NotFoundHandler(), provider), nil)
	assert.NilError(t, err)
	s.Start()
	defer s.Close()
	client := TraceClient(NewClient(Dialer(nil)), provider)
	call := func(req *http.Request) {
		resp, err := client.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Address(), nil)
	assert.NilError(t, err)
	call(req)
	assert.Equal(t, len(spans.Ended()), 0)
	ctx, root := provider.Tracer("test").Start(t.Context(), "request")
	call(req.WithContext(ctx))
	root.End()
	assert.Equal(t, len(spans.Ended()), 3, "request, client and server")
	for _, span := range spans.Ended() {
		assert.Equal(t, span.SpanContext().TraceID(), root.SpanContext().TraceID())
	}
}
