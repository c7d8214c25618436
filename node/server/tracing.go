package server

import (
	"net/http"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Spans between processes belong to a request of a caller or operator: only
// calls made within a span are traced, so that renewals and the streams of
// replication cost nothing.

// TraceClient makes the client start a span for each call within a span and
// pass on the trace context.
func TraceClient(c *http.Client, p trace.TracerProvider) *http.Client {
	traced := *c
	traced.Transport = otelhttp.NewTransport(c.Transport, otelhttp.WithTracerProvider(p),
		otelhttp.WithPropagators(propagation.TraceContext{}),
		otelhttp.WithFilter(func(r *http.Request) bool { return trace.SpanContextFromContext(r.Context()).IsValid() }))
	return &traced
}

// TraceHandler makes the handler continue the trace of calls that carry one.
func TraceHandler(h http.Handler, p trace.TracerProvider) http.Handler {
	return otelhttp.NewHandler(h, "internal", otelhttp.WithTracerProvider(p),
		otelhttp.WithPropagators(propagation.TraceContext{}),
		otelhttp.WithSpanNameFormatter(func(_ string, r *http.Request) string { return r.URL.Path }),
		otelhttp.WithFilter(func(r *http.Request) bool { return r.Header.Get("Traceparent") != "" }))
}
