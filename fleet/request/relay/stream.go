package relay

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/balance"
	"gentianhead/core/request/breaker"
	"gentianhead/core/request/quarantine"
	"gentianhead/fleet/connection/sse"
	"gentianhead/fleet/process/boottime"
)

// writeTimeout is the time limit for one write to the caller.
const writeTimeout = 10 * time.Second

// forwardStream forwards the events of a stream as they arrive, and only complete
// ones. The response header is written with the first event, so that a request
// whose stream fails before it can still be retried. What is held for a slow caller is
// written before a result is returned, so that the position is that of the caller.
func (r *Relay) forwardStream(ctx context.Context, c *call, placement *balance.Placement, response *http.Response) result {
	stream := r.newEventStream(ctx, c, placement, response)
	defer stream.close()
	for {
		event, last := stream.handedOver, (*result)(nil)
		stream.handedOver = sse.Event{}
		if event.Raw == nil {
			event, last = stream.next()
		}
		if last == nil || last.failure == nil {
			r.writeStreamHeader(c, response)
		}
		if last == nil {
			last = stream.forward(event)
		}
		if last != nil {
			return *last
		}
	}
}

// next returns the next event for the caller, or the result if the response has ended. It
// advances the position of the call: the event will be written before a retry is decided.
func (s *eventStream) next() (sse.Event, *result) {
	r, c := s.relay, s.c
	for {
		event, err := s.events.Next()
		if errors.Is(err, io.EOF) && isUnframed(s.response) && c.progress.events == 0 {
			// Only its events could show that it is complete.
			err = errNoEvent
		}
		if errors.Is(err, io.EOF) && !s.isContinued {
			err = errNotContinued
		}
		if errors.Is(err, io.EOF) {
			return sse.Event{}, &result{breakerOutcome: breaker.Succeeded}
		}
		if err != nil {
			return sse.Event{}, r.streamErrorResult(s.ctx, c, err)
		}
		if event.IsFiller && (!c.isCommitted || !s.isContinued) {
			// It says nothing of whether an answer will come.
			continue
		}
		if !s.isContinued {
			if !c.position.mayContinueWith(event) {
				return sse.Event{}, r.streamErrorResult(s.ctx, c, errNotContinued)
			}
			s.isContinued = sse.IsAfter(c.position.lastID, event.ID)
		}
		r.recordEvent(c, event)
		if !s.hasEvent {
			s.hasEvent = true
			r.options.Balancer.recordFirstEvent(s.placement)
		}
		if sse.IsAfter(c.position.lastID, event.ID) {
			c.position.advance(event)
			return event, nil
		}
	}
}

// errNoEvent means that a stream with neither a length nor chunks ended without an event.
var errNoEvent = errors.New("the stream ended before its first event")

// errNotContinued means that a resumed stream doesn't begin with the event after the last one,
// or with events before that, or ends before it. Where a stream that was cut off after its
// last event has nothing left to send, that can't be told from a stream that lost the rest.
var errNotContinued = errors.New("the endpoint didn't continue the stream after its last event")

// isEventStream reports whether a response may be the rest of a stream.
func isEventStream(response *http.Response) bool {
	contentType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && contentType == "text/event-stream" && response.StatusCode == http.StatusOK
}

// streamPosition is how far a stream has been written to the caller, or is held and will be. The zero value is its
// beginning.
type streamPosition struct {
	// lastID is the ID of the last event with one, and last its number if it is numeric.
	lastID string
	last   int64
	// isNumeric is set if lastID is a number. steps counts the events whose number was one more
	// than that before; hasJump is set if another was not.
	isNumeric, hasJump bool
	steps              int
}

// advance records that an event is written, or will be.
func (p *streamPosition) advance(event sse.Event) {
	if event.ID == "" {
		return
	}
	number, err := strconv.ParseInt(event.ID, 10, 64)
	switch {
	case p.lastID == "":
	case err == nil && p.isNumeric && number == p.last+1:
		p.steps++
	default:
		p.hasJump = true
	}
	p.lastID, p.last, p.isNumeric = event.ID, number, err == nil
}

// mayContinueWith reports whether an event may be among the first of a resumed stream: one that
// was written before, or the next one. Numbers only have to increase, so it is known which
// number is next only if all of them were consecutive so far.
func (p *streamPosition) mayContinueWith(event sse.Event) bool {
	number, err := strconv.ParseInt(event.ID, 10, 64)
	isConsecutive := p.steps > 0 && !p.hasJump
	return err == nil && (!isConsecutive || number <= p.last+1)
}

// isUnframed reports whether a response has neither a length nor chunks and ends with its
// connection.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// recordEvent records that an event arrived.
func (r *Relay) recordEvent(c *call, event sse.Event) {
	if event.IsFiller {
		return
	}
	c.progress.events++
	now := boottime.Now()
	switch {
	case c.progress.firstEventAt == 0:
		c.progress.firstEventAt = now
	case now-c.progress.firstEventAt >= quarantine.SurvivalTime:
		r.recordServed(c)
	}
}

// writeStreamHeader writes the response header. A stream that is resumed at another
// endpoint keeps the header of the first.
func (r *Relay) writeStreamHeader(c *call, response *http.Response) {
	if c.isCommitted {
		return
	}
	r.markCommitted(c)
	header := c.w.Header()
	for name, values := range r.options.Dialect.ResponseHeader(response.Header) {
		header[name] = values
	}
	c.w.WriteHeader(response.StatusCode)
}

// streamErrorResult returns the result for a stream that failed. A stream whose event IDs
// are no numbers, or missing, can't be resumed once its response has begun.
func (r *Relay) streamErrorResult(ctx context.Context, c *call, err error) *result {
	broken := readErrorResult(ctx, err)
	if c.isCommitted && !c.position.isNumeric {
		broken.isFinal = true
	}
	if errors.Is(err, errNotContinued) {
		broken.isBroken = false
	}
	return &broken
}
