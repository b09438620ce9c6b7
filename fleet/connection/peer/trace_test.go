package peer

import (
	"log/slog"
	"net"
	"testing"

	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"gentianhead/fleet/connection/frame"
)

const typeTest frame.Type = 59

func TestPoolCallTraceContext(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter))
	otel.SetTracerProvider(provider)
	key := []byte("key of the test fleet")
	server := NewServer(key, slog.New(slog.DiscardHandler))
	server.Register(typeTest, Handle(func(n int) int { return n + 1 }))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Serve(listener)
	defer server.Close()
	defer listener.Close()
	pool := NewPool(key)
	defer pool.Close()

	var answer int
	assert.NilError(t, pool.Call(t.Context(), listener.Addr().String(), typeTest, 1, &answer))
	assert.Equal(t, answer, 2)
	assert.Equal(t, len(exporter.GetSpans()), 0, "a call outside a trace must have no span")

	ctx, parent := provider.Tracer("test").Start(t.Context(), "parent")
	assert.NilError(t, pool.Call(ctx, listener.Addr().String(), typeTest, 1, &answer))
	parent.End()
	// The server ends its span after it has sent the answer.
	server.Close()
	byName := make(map[string]tracetest.SpanStub)
	for _, span := range exporter.GetSpans() {
		byName[span.Name] = span
	}
	assert.Equal(t, byName["peer call"].Parent.SpanID(), parent.SpanContext().SpanID())
	assert.Equal(t, byName["peer answer"].Parent.SpanID(), byName["peer call"].SpanContext.SpanID())
	assert.Equal(t, byName["peer answer"].SpanContext.TraceID(), parent.SpanContext().TraceID())
}
