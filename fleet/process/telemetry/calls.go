package telemetry

import (
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

// TraceTransport returns a transport that records a span for each request in a
// trace and propagates the trace context to the server.
func TraceTransport(next http.RoundTripper) http.RoundTripper { return tracedTransport{next} }

type tracedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t tracedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx, span := StartClientSpan(request.Context(), "platform "+request.URL.Path)
	defer span.End()
	request = request.Clone(ctx)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	return t.next.RoundTrip(request)
}
