package relay

import (
	"context"
	"io"
	"net/http"
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
// whose stream fails before it can still be retried.
func (r *Relay) forwardStream(ctx context.Context, c *call, placement *balance.Placement, response *http.Response) result {
	controller := http.NewResponseController(c.w)
	events := sse.NewReader(response.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && isUnframed(response) && c.progress.events == 0 {
			// Only its events could show that it is complete.
			err = errNoEvent
		}
		if errors.Is(err, io.EOF) {
			if !c.isCommitted {
				r.writeStreamHeader(c, response)
			}
			return result{breakerOutcome: breaker.Succeeded}
		}
		if err != nil {
			return r.streamErrorResult(ctx, c, err)
		}
		if event.IsFiller && !c.isCommitted {
			// It says nothing of whether an answer will come.
			continue
		}
		r.recordEvent(c, event)
		if sse.IsAfter(c.lastEventID, event.ID) {
			if !c.isCommitted {
				r.writeStreamHeader(c, response)
			}
			_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.w.Write(event.Raw); err != nil {
				return result{failure: newFailure(kindCallerGone, "writing to the caller failed").withCause(err), mayHaveRun: true, isFinal: true, breakerOutcome: breaker.Neutral}
			}
			if event.ID != "" {
				c.lastEventID = event.ID
			}
			if !events.HasBufferedEvent() {
				if err := controller.Flush(); err != nil {
					return result{failure: newFailure(kindCallerGone, "writing to the caller failed").withCause(err), mayHaveRun: true, isFinal: true, breakerOutcome: breaker.Neutral}
				}
			}
		}
		r.options.Balancer.recordFirstEvent(placement)
	}
}

// errNoEvent means that a stream with neither a length nor chunks ended without an event.
var errNoEvent = errors.New("the stream ended before its first event")

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
	r.markCommitted(c)
	header := c.w.Header()
	for name, values := range r.options.Dialect.ResponseHeader(response.Header) {
		header[name] = values
	}
	c.w.WriteHeader(response.StatusCode)
}

// streamErrorResult returns the result for a stream that failed. A stream without
// event IDs can't be resumed once its response has begun.
func (r *Relay) streamErrorResult(ctx context.Context, c *call, err error) result {
	broken := readErrorResult(ctx, err)
	if c.isCommitted && c.lastEventID == "" {
		broken.isFinal = true
	}
	return broken
}
