package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"gentianhead/core/request/answer"
)

// drainTimeout bounds the wait for the end of a body after its last event. A
// connection can be reused only after the end of the body.
const drainTimeout = 50 * time.Millisecond

// Stream reads a streamed answer. It applies the decisions of the answer core:
// events of other answers and duplicates are dropped, and a broken stream is
// resumed at the same engine. It is not safe for concurrent use.
type Stream struct {
	client   *Client
	target   target
	core     *answer.Core
	response *http.Response
	events   *eventReader
	isDone   bool
}

// NewStream returns a stream of the answer that Do returned. The caller closes it.
func (c *Client) NewStream(response *http.Response) *Stream {
	s := &Stream{client: c, target: targetOf(response)}
	s.core = answer.New(s.target.id)
	s.read(response)
	return s
}

func targetOf(response *http.Response) target {
	header := response.Request.Header
	t := target{id: header.Get(HeaderRequestID), callerID: header.Get(HeaderCallerRequestID)}
	base, _, _ := strings.Cut(response.Request.URL.String(), "/v1/streams/")
	t.base = strings.TrimSuffix(base, ChatPath)
	return t
}

func (s *Stream) read(response *http.Response) {
	s.response = response
	s.events = newEventReader(response.Body)
}

// Next returns the data of the next event, valid until the next call. It returns
// io.EOF after the last event of a complete answer, and ErrTruncated,
// ErrMismatched or the error of ctx if the answer can't be completed.
func (s *Stream) Next(ctx context.Context) ([]byte, error) {
	for !s.isDone {
		event, data := s.events.next()
		if _, isEnd := event.(answer.End); isEnd && ctx.Err() != nil {
			event = contextEndEvent(ctx)
		}
		decision := s.core.Step(event)
		switch decision.Action {
		case answer.ActionForward:
			s.isDone = event.(answer.Chunk).IsDone
			return data, nil
		case answer.ActionRead:
			discardedEvents.Add(1)
		case answer.ActionResume:
			if err := s.resume(ctx, decision); err != nil {
				return nil, err
			}
		default:
			return nil, reasonError(decision.Reason)
		}
	}
	return nil, io.EOF
}

func (s *Stream) resume(ctx context.Context, decision answer.Decision) error {
	_ = s.response.Body.Close()
	response, decision := s.client.recover(ctx, s.core, s.target, decision)
	if response == nil {
		return reasonError(decision.Reason)
	}
	s.read(response)
	return nil
}

// Close closes the answer. If it was not read to its end, the engine is sent a
// cancel call.
func (s *Stream) Close(ctx context.Context) {
	if s.isDone {
		s.drain()
		return
	}
	_ = s.response.Body.Close()
	s.client.cancel(ctx, s.target)
}

// drain reads the end of the body so that the connection can be reused. Anything
// but the end, such as a further event, closes the connection.
func (s *Stream) drain() {
	timer := time.AfterFunc(drainTimeout, func() { _ = s.response.Body.Close() })
	defer timer.Stop()
	if event, _ := s.events.next(); event != (answer.End{}) {
		discardedEvents.Add(1)
	}
	_ = s.response.Body.Close()
}

// ReadChat reads a chat's non-streamed answer and closes it. The body must carry
// the request's id; an incomplete answer is requested again.
func (c *Client) ReadChat(ctx context.Context, response *http.Response) ([]byte, http.Header, error) {
	t := targetOf(response)
	core := answer.New(t.id)
	for {
		body, event := readChat(response)
		if ctx.Err() != nil {
			event = contextEndEvent(ctx)
		}
		decision := core.Step(event)
		if decision.Action == answer.ActionFinish {
			return body, response.Header, nil
		}
		if response, decision = c.recover(ctx, core, t, decision); response == nil {
			c.cancel(ctx, t)
			return nil, nil, reasonError(decision.Reason)
		}
	}
}

// readChat reads a body once and returns it with its event for the answer core.
func readChat(response *http.Response) ([]byte, answer.Event) {
	body, err := ReadBody(response)
	if err != nil {
		return nil, answer.End{IsBroken: true}
	}
	var identity struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(body, &identity); err != nil {
		return nil, answer.End{IsBroken: true}
	}
	return body, answer.FullBody{ID: identity.ID}
}
