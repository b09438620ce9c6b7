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

// drainTimeout bounds the wait for the end of a body after its last event; a
// connection whose body has ended can be used again.
const drainTimeout = 50 * time.Millisecond

// Stream reads a streamed answer. It carries out what the answer core decides:
// foreign and repeated events are left out, and a stream that breaks is resumed
// at the same engine. One goroutine uses it.
type Stream struct {
	client   *Client
	target   target
	core     *answer.Core
	response *http.Response
	events   *eventReader
	isDone   bool
}

// NewStream reads the answer that Do returned. The caller closes the stream.
func (c *Client) NewStream(response *http.Response) *Stream {
	s := &Stream{client: c, target: targetOf(response)}
	s.core = answer.New(s.target.id)
	s.read(response)
	return s
}

// targetOf returns what the resume and cancel calls for an answer name.
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

// Next returns the data of the next event, valid until the call after. It
// returns io.EOF after the closing event of a whole answer, and ErrTruncated,
// ErrMismatched or the error of ctx when there will be no whole answer.
func (s *Stream) Next(ctx context.Context) ([]byte, error) {
	for !s.isDone {
		event, data := s.events.next()
		if _, isEnd := event.(answer.End); isEnd && ctx.Err() != nil {
			event = endOf(ctx)
		}
		decision := s.core.Step(event)
		switch decision.Action {
		case answer.ActionPass:
			s.isDone = event.(answer.Chunk).IsDone
			return data, nil
		case answer.ActionRead:
			discarded.Add(1)
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

// Close ends the reading. An engine whose answer was not read to its end is
// told to stop.
func (s *Stream) Close(ctx context.Context) {
	if s.isDone {
		s.drain()
		return
	}
	_ = s.response.Body.Close()
	s.client.cancel(ctx, s.target)
}

// drain reads the end of the body so that its connection can be used again.
// Anything but the end closes the connection.
func (s *Stream) drain() {
	timer := time.AfterFunc(drainTimeout, func() { _ = s.response.Body.Close() })
	defer timer.Stop()
	if event, _ := s.events.next(); event != (answer.End{}) {
		discarded.Add(1)
	}
	_ = s.response.Body.Close()
}

// ReadChat reads a chat's answer that is not streamed and closes it. The body
// has to carry the request's id; an answer that is not whole is asked for again.
func (c *Client) ReadChat(ctx context.Context, response *http.Response) ([]byte, http.Header, error) {
	t := targetOf(response)
	core := answer.New(t.id)
	for {
		body, event := readChat(response)
		if ctx.Err() != nil {
			event = endOf(ctx)
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

// readChat reads a body once and returns what it means to the answer core.
func readChat(response *http.Response) ([]byte, answer.Event) {
	body, err := ReadWhole(response)
	if err != nil {
		return nil, answer.End{IsBroken: true}
	}
	var head struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return nil, answer.End{IsBroken: true}
	}
	return body, answer.Whole{ID: head.ID}
}
