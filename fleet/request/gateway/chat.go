package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"gentianhead/core/request/outcome"
	"gentianhead/core/request/placement"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/engine"
)

// bytesPerToken estimates the tokens of a prompt from its length.
const bytesPerToken = 4

// chatRequest is the part of a chat request that the router reads.
type chatRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// chat serves POST /v1/chat/completions.
func (g *Gateway) chat(ctx context.Context, x *exchange) *outcome.Problem {
	var request chatRequest
	if err := json.Unmarshal(x.body, &request); err != nil {
		return notRun(http.StatusBadRequest, outcome.CodeBadRequest, "the body is not a chat request in JSON").Problem
	}
	if _, known := x.state.Config.Get(resource.KindModel, request.Model); !known {
		return notRun(http.StatusNotFound, outcome.CodeUnknownModel, "no model has this name").Problem
	}
	picked, err := x.state.Picker.Pick(placement.PickInfo{
		Chat:         x.chat,
		Model:        request.Model,
		Account:      x.account,
		PromptTokens: len(x.body) / bytesPerToken,
	})
	if err != nil {
		return notRun(http.StatusServiceUnavailable, outcome.CodeNoEndpoint, "no live endpoint serves the model").after(retryNoEndpoint)
	}
	defer picked.Done()
	response, err := g.send(ctx, x, picked, http.MethodPost, "/v1/chat/completions")
	if err != nil {
		return failure(err)
	}
	if request.Stream && response.StatusCode == http.StatusOK {
		return g.passStream(x, response)
	}
	return passWhole(x, response)
}

// send sends the exchange's body to the endpoint that was picked.
func (g *Gateway) send(ctx context.Context, x *exchange, picked placement.PickResult, method, path string) (*http.Response, error) {
	ctx, span := g.tracer.Start(ctx, "endpoint "+picked.Endpoint, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", picked.Endpoint), attribute.String("request.id", x.id)))
	defer span.End()
	header := http.Header{}
	header.Set("Content-Type", x.r.Header.Get("Content-Type"))
	response, err := g.options.Engine.Do(ctx, engine.Request{
		Method: method,
		URL:    picked.URL + path,
		Header: header,
		Body:   x.body,
		ID:     x.id,
	})
	if err != nil {
		span.RecordError(err)
	}
	return response, err
}

// passWhole hands on an answer only once all of it has arrived.
func passWhole(x *exchange, response *http.Response) *outcome.Problem {
	body, err := engine.ReadWhole(response)
	if err != nil {
		return failure(err)
	}
	copyAnswerHeader(x.w, response, x.id)
	x.w.WriteHeader(response.StatusCode)
	_, _ = x.w.Write(body)
	return nil
}

// passStream hands on each event as it arrives. A stream that breaks off ends
// with an error event and without the closing event, so that no caller takes it
// for whole.
func (g *Gateway) passStream(x *exchange, response *http.Response) *outcome.Problem {
	defer response.Body.Close()
	stream := engine.NewStream(response.Body, x.id)
	data, err := stream.Next()
	if err != nil {
		return failure(err)
	}
	copyAnswerHeader(x.w, response, x.id)
	x.w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(x.w)
	for err == nil {
		if !writeEvent(x.w, "data: ", data) || flusher.Flush() != nil {
			return nil
		}
		data, err = stream.Next()
	}
	if !errors.Is(err, io.EOF) {
		g.options.Log.Warn("Stream broke off.", "request", x.id, "error", err)
		writeEvent(x.w, "event: error\ndata: ", encodeProblem(x.id, failure(err)))
	}
	return nil
}

func writeEvent(w io.Writer, prefix string, data []byte) bool {
	event := make([]byte, 0, len(prefix)+len(data)+2)
	event = append(event, prefix...)
	event = append(event, data...)
	event = append(event, '\n', '\n')
	_, err := w.Write(event)
	return err == nil
}
