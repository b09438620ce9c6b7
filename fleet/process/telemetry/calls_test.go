package telemetry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"gentianhead/core/process/table"
	"gentianhead/platform"
)

func TestTraceTransportClientSpan(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter))
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	var seen, path string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen, path = r.Header.Get("Traceparent"), r.URL.Path
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	ctx, parent := provider.Tracer("test").Start(t.Context(), "parent")
	_, err := platform.NewStore(server.URL, TraceTransport).Table("t").Commit(ctx, table.Transaction{})
	assert.NilError(t, err)
	parent.End()
	spans := exporter.GetSpans()
	assert.Equal(t, spans[0].Name, "platform "+path)
	assert.Equal(t, spans[0].Parent.SpanID(), parent.SpanContext().SpanID())
	assert.Assert(t, strings.Contains(seen, spans[0].SpanContext.SpanID().String()), seen)
}
