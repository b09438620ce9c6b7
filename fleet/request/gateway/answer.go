package gateway

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/outcome"
	"gentianhead/fleet/connection/engine"
)

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
