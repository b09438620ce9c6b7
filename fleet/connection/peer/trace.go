package peer

import (
	"context"
	"strconv"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"gentianhead/fleet/connection/frame"
	"gentianhead/fleet/process/telemetry"
)

// encodeTrace returns the trace context of ctx in its frame encoding, or nil if
// the trace is not sampled.
func encodeTrace(ctx context.Context) []byte {
	span := trace.SpanContextFromContext(ctx)
	if !span.IsSampled() {
		return nil
	}
	traceID, spanID := span.TraceID(), span.SpanID()
	encoded := append(traceID[:], spanID[:]...)
	return append(encoded, byte(span.TraceFlags()))
}

// startServerSpan starts the span of a call as a child of the caller's.
func startServerSpan(call frame.Frame) trace.Span {
	if len(call.Trace) != frame.TraceBytes {
		return trace.SpanFromContext(context.Background())
	}
	parent := trace.NewSpanContext(trace.SpanContextConfig{
		TraceID:    trace.TraceID(call.Trace[:16]),
		SpanID:     trace.SpanID(call.Trace[16:24]),
		TraceFlags: trace.TraceFlags(call.Trace[24]),
		Remote:     true,
	})
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), parent)
	_, span := otel.Tracer(telemetry.TracerName).Start(ctx, "peer answer", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("peer.type", typeName(call.Type))))
	return span
}

func typeName(callType frame.Type) string {
	return strconv.Itoa(int(callType))
}
