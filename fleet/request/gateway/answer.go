package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/outcome"
	"gentianhead/core/request/quarantine"
	"gentianhead/fleet/connection/engine"
	"gentianhead/fleet/process/boottime"
)

// forwardWhole forwards the answer of a plain service once it is complete.
func forwardWhole(x *exchange, response *http.Response) *outcome.Problem {
	body, err := engine.ReadBody(response)
	if err != nil {
		return problemFromError(err)
	}
	x.answer(response.StatusCode, response.Header, body)
	return nil
}

// forwardChat forwards the answer to a chat once it is complete.
func (g *Gateway) forwardChat(ctx context.Context, x *exchange, response *http.Response) *outcome.Problem {
	if response.StatusCode != http.StatusOK {
		return forwardWhole(x, response)
	}
	body, header, err := g.options.Engine.ReadChat(ctx, response)
	if err != nil {
		return problemFromError(err)
	}
	x.answer(http.StatusOK, header, body)
	return nil
}

func (x *exchange) answer(status int, header http.Header, body []byte) {
	copyAnswerHeader(x.w.Header(), header)
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body)
}

// forwardStream forwards each event as it arrives. An incomplete stream ends
// with an error event and an aborted connection, without the closing event, so
// that callers can't mistake it for a complete one.
func (g *Gateway) forwardStream(ctx context.Context, x *exchange, response *http.Response) *outcome.Problem {
	stream := g.options.Engine.NewStream(response)
	defer stream.Close(ctx)
	data, err := stream.Next(ctx)
	if err != nil {
		return problemFromError(err)
	}
	copyAnswerHeader(x.w.Header(), response.Header)
	x.w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(x.w)
	begunAt := boottime.Now()
	for err == nil {
		if boottime.Now()-begunAt >= quarantine.SurvivalTime {
			g.recordServed(x)
		}
		if !x.writeEvent("data: ", data) || flusher.Flush() != nil {
			x.abortProblem = callerDisconnected
			return nil
		}
		data, err = stream.Next(ctx)
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	problem := withStopCause(ctx, problemFromError(err))
	if problem == callerDisconnected {
		x.abortProblem = callerDisconnected
		return nil
	}
	g.options.Log.Warn("Stream ended early.", "request", x.id, "code", problem.Code, "error", err)
	x.writeEvent("event: error\ndata: ", encodeProblem(x.id, problem))
	_ = flusher.Flush()
	x.abortProblem = problem
	return nil
}

// writeEvent writes one event of a stream and reports whether it succeeded.
func (x *exchange) writeEvent(prefix string, data []byte) bool {
	x.event = append(x.event[:0], prefix...)
	x.event = append(x.event, data...)
	x.event = append(x.event, '\n', '\n')
	_, err := x.w.Write(x.event)
	return err == nil
}

// forwardedHeaders are the headers of an endpoint's answer that are forwarded to
// the caller. Hop-by-hop headers must not be listed.
var forwardedHeaders = []string{
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
	for _, name := range forwardedHeaders {
		if values := from.Values(name); len(values) > 0 {
			to[name] = values
		}
	}
}
