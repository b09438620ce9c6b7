package gateway

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"gentianhead/core/request/outcome"
	"gentianhead/core/request/placement"
	"gentianhead/fleet/connection/engine"
)

// retryNoEndpoint is when to come back after no endpoint was live.
const retryNoEndpoint = 2 * time.Second

// endpointCall is what is asked of an endpoint beside the exchange's body.
type endpointCall struct {
	method string
	path   string
	// isResumable says that the answer can be asked for again.
	isResumable bool
}

// passFunc hands an endpoint's answer on to the caller. It returns a problem
// only while nothing was written to the caller.
type passFunc func(*http.Response) *outcome.Problem

// dispatch picks an endpoint for the exchange, sends the request there and
// hands the answer to pass.
func (g *Gateway) dispatch(ctx context.Context, x *exchange, info placement.PickInfo, call endpointCall, pass passFunc) *outcome.Problem {
	picked, err := x.state.Picker.Pick(info)
	if err != nil {
		return notRun(http.StatusServiceUnavailable, outcome.CodeNoEndpoint, "no live endpoint serves this").after(retryNoEndpoint)
	}
	defer picked.Done()
	response, err := g.send(ctx, x, picked, call)
	if err != nil {
		return failure(err)
	}
	return pass(response)
}

// send sends the exchange's body to the endpoint that was picked.
func (g *Gateway) send(ctx context.Context, x *exchange, picked placement.PickResult, call endpointCall) (*http.Response, error) {
	ctx, span := g.tracer.Start(ctx, "endpoint "+picked.Endpoint, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", picked.Endpoint), attribute.String("request.id", x.id)))
	defer span.End()
	header := http.Header{}
	header.Set("Content-Type", x.r.Header.Get("Content-Type"))
	response, err := g.options.Engine.Do(ctx, engine.Request{
		Method: call.method,
		URL:    picked.URL + call.path,
		Header: header,
		Body:   x.body,
		ID:     x.id,

		Resumable: call.isResumable,
	})
	if err != nil {
		span.RecordError(err)
	}
	return response, err
}
