package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/outcome"
	"gentianhead/fleet/connection/engine"
)

// passWhole hands on a plain service's answer once all of it has arrived.
func passWhole(x *exchange, response *http.Response) *outcome.Problem {
	body, err := engine.ReadWhole(response)
	if err != nil {
		return failure(err)
	}
	x.answer(response.StatusCode, response.Header, body)
	return nil
}

// passChat hands on a chat's answer once all of it has arrived.
func (g *Gateway) passChat(ctx context.Context, x *exchange, response *http.Response) *outcome.Problem {
	if response.StatusCode != http.StatusOK {
		return passWhole(x, response)
	}
	body, header, err := g.options.Engine.ReadChat(ctx, response)
	if err != nil {
		return failure(err)
	}
	x.answer(http.StatusOK, header, body)
	return nil
}

// answer writes a whole answer to the caller.
func (x *exchange) answer(status int, header http.Header, body []byte) {
	copyAnswerHeader(x.w.Header(), header)
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body)
}

// passStream hands on each event as it arrives. A stream that can't be made
// whole ends with an error event, without the closing event, and with a cut
// connection, so that no caller takes it for whole.
func (g *Gateway) passStream(ctx context.Context, x *exchange, response *http.Response) *outcome.Problem {
	stream := g.options.Engine.NewStream(response)
	defer stream.Close(ctx)
	data, err := stream.Next(ctx)
	if err != nil {
		return failure(err)
	}
	copyAnswerHeader(x.w.Header(), response.Header)
	x.w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(x.w)
	for err == nil {
		if !x.writeEvent("data: ", data) || flusher.Flush() != nil {
			x.cut = callerGone
			return nil
		}
		data, err = stream.Next(ctx)
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	problem := orStopping(ctx, failure(err))
	if problem == callerGone {
		x.cut = callerGone
		return nil
	}
	g.options.Log.Warn("Stream broke off.", "request", x.id, "code", problem.Code, "error", err)
	x.writeEvent("event: error\ndata: ", encodeProblem(x.id, problem))
	_ = flusher.Flush()
	x.cut = problem
	return nil
}

// writeEvent writes one event of a stream and reports whether that worked.
func (x *exchange) writeEvent(prefix string, data []byte) bool {
	x.event = append(x.event[:0], prefix...)
	x.event = append(x.event, data...)
	x.event = append(x.event, '\n', '\n')
	_, err := x.w.Write(x.event)
	return err == nil
}

// passedHeaders are the headers of an endpoint's answer that callers need.
// Headers that concern one hop are never among them.
var passedHeaders = []string{
	"Cache-Control",
	"Content-Disposition",
	"Content-Encoding",
	"Content-Language",
	"Content-Type",
	"Etag",
	"Last-Modified",
	"Location",
	"Retry-After",
	"X-Ratelimit-Limit-Requests",
	"X-Ratelimit-Remaining-Requests",
	"X-Ratelimit-Reset-Requests",
}

func copyAnswerHeader(to, from http.Header) {
	for _, name := range passedHeaders {
		if values := from.Values(name); len(values) > 0 {
			to[name] = values
		}
	}
}
