package server

import (
	"net/http"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Calls between processes are traced only as a part of a caller's or operator's
// request, that is, within a span. Renewals and replication streams are not traced,
// so tracing adds no cost to them.

// TraceClient returns a copy of the client that starts a span for each call made
// within a span and propagates the trace context. Other calls are not traced.
func TraceClient(c *http.Client, p trace.TracerProvider) *http.Client {
	traced := *c
	traced.Transport = otelhttp.NewTransport(c.Transport, otelhttp.WithTracerProvider(p),
		otelhttp.WithPropagators(propagation.TraceContext{}),
		otelhttp.WithFilter(func(r *http.Request) bool { return trace.SpanContextFromContext(r.Context()).IsValid() }))
	return &traced
}

// TraceHandler returns a handler that continues the trace of requests that carry a
// trace context. Other requests are not traced.
func TraceHandler(h http.Handler, p trace.TracerProvider) http.Handler {
	return otelhttp.NewHandler(h, "internal", otelhttp.WithTracerProvider(p),
		otelhttp.WithPropagators(propagation.TraceContext{}),
		otelhttp.WithSpanNameFormatter(func(_ string, r *http.Request) string { return r.URL.Path }),
		otelhttp.WithFilter(func(r *http.Request) bool { return r.Header.Get("Traceparent") != "" }))
}
