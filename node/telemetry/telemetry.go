// Package telemetry creates the logger, the metrics registry and the tracer provider
// of a process.
package telemetry

import (
	"context"
	"io"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.37.0"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// LogSettings are the level and the format of the log.
type LogSettings struct {
	Level string // debug, info, warn, error
	JSON  bool   // one JSON object per line instead of console format
}

// NewLogger returns a logger that writes to w. It returns an error if the level is
// unknown.
func NewLogger(s LogSettings, w io.Writer) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.Level)
	if err != nil {
		return nil, trace.BadParameter("log level %q: %v", s.Level, err)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewConsoleEncoder(config)
	if s.JSON {
		encoder = zapcore.NewJSONEncoder(config)
	}
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), level)), nil
}

// NewRegistry returns a registry with the collectors of the Go runtime and of the
// process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Tracing is a tracer provider and the function that flushes and stops it.
type Tracing struct {
	Provider oteltrace.TracerProvider
	Shutdown func(context.Context) error
}

// NewTracing returns a provider that exports spans to an OTLP/HTTP endpoint under the
// given instance ID. If the endpoint is empty, it records nothing. It returns an
// error if the exporter cannot be created.
func NewTracing(ctx context.Context, endpoint, instance string) (Tracing, error) {
	if endpoint == "" {
		return Tracing{Provider: noop.NewTracerProvider(), Shutdown: func(context.Context) error { return nil }}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	if err != nil {
		return Tracing{}, trace.Wrap(err, "trace endpoint %s", endpoint)
	}
	attributes := resource.NewSchemaless(semconv.ServiceName("lacewingturn"), semconv.ServiceInstanceID(instance))
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(attributes))
	return Tracing{Provider: provider, Shutdown: provider.Shutdown}, nil
}
