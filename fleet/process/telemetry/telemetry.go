// Package telemetry provides logs, traces and metrics of a process.
package telemetry

import (
	"context"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// NewLogger returns a logger that writes text or JSON lines at level and above.
// An invalid level is treated as info.
func NewLogger(w io.Writer, level, format string) *slog.Logger {
	var threshold slog.Level
	if err := threshold.UnmarshalText([]byte(level)); err != nil {
		threshold = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: threshold}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

// ComponentLogger returns a logger for a component. It prefixes messages with the
// component's name, for filtering.
func ComponentLogger(logger *slog.Logger, name string) *slog.Logger {
	return slog.New(prefixHandler{Handler: logger.Handler(), prefix: name + ": "})
}

type prefixHandler struct {
	slog.Handler
	prefix string
}

// Handle implements slog.Handler.
func (h prefixHandler) Handle(ctx context.Context, record slog.Record) error {
	record.Message = h.prefix + record.Message
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixHandler{Handler: h.Handler.WithAttrs(attrs), prefix: h.prefix}
}

// WithGroup implements slog.Handler.
func (h prefixHandler) WithGroup(name string) slog.Handler {
	return prefixHandler{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}

// TracerName is the instrumentation scope of all spans.
const TracerName = "gentianhead"

// StartTracing exports spans to the OTLP/HTTP collector at endpoint, or nowhere if
// it is empty. W3C trace context is propagated in both cases. The returned
// function flushes the remaining spans and stops the export.
func StartTracing(ctx context.Context, endpoint, instance, zone string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if endpoint == "" {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	if err != nil {
		return nil, errors.Wrap(err, "traces")
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "gentianhead"),
			attribute.String("service.instance.id", instance),
			attribute.String("cloud.availability_zone", zone),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// StartClientSpan starts a client span if ctx belongs to a trace. Calls outside a
// trace, such as polls, get no span.
func StartClientSpan(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	if !oteltrace.SpanContextFromContext(ctx).IsValid() {
		return ctx, oteltrace.SpanFromContext(ctx)
	}
	return otel.Tracer(TracerName).Start(ctx, name,
		oteltrace.WithSpanKind(oteltrace.SpanKindClient), oteltrace.WithAttributes(attributes...))
}
