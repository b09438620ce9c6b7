package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/balance"
	"gentianhead/core/request/breaker"
	"gentianhead/fleet/connection/sse"
)

// writeTimeout bounds the writing of an event to a caller that does not read.
const writeTimeout = 10 * time.Second

// passStream hands the events of a stream on as they come. Only whole events are
// handed on. The answer begins with the first event, so that a stream without one
// can still be sent elsewhere.
func (r *Relay) passStream(ctx context.Context, c *call, placement *balance.Placement, response *http.Response) result {
	controller := http.NewResponseController(c.w)
	events := sse.NewReader(response.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !c.isCommitted {
				r.beginStream(c, response)
			}
			return result{trust: breaker.Succeeded}
		}
		if err != nil {
			return r.streamBroke(ctx, c, err)
		}
		if sse.IsAfter(c.lastEvent, event.ID) {
			if !c.isCommitted {
				r.beginStream(c, response)
			}
			_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.w.Write(event.Raw); err != nil {
				return result{failure: fail(kindCallerGone, "the caller does not read").because(err), mayHaveRun: true, isFinal: true, trust: breaker.Neutral}
			}
			if event.ID != "" {
				c.lastEvent = event.ID
			}
			if !events.HasWhole() {
				if err := controller.Flush(); err != nil {
					return result{failure: fail(kindCallerGone, "the caller does not read").because(err), mayHaveRun: true, isFinal: true, trust: breaker.Neutral}
				}
			}
		}
		r.options.Balancer.begun(placement)
	}
}

// beginStream writes the head of the answer. A stream that goes on at another
// endpoint keeps the head of the first.
func (r *Relay) beginStream(c *call, response *http.Response) {
	c.commit()
	header := c.w.Header()
	for name, values := range r.options.Dialect.Reply(response.Header) {
		header[name] = values
	}
	c.w.WriteHeader(response.StatusCode)
}

// streamBroke judges a stream that ended before its end.
func (r *Relay) streamBroke(ctx context.Context, c *call, err error) result {
	broken := brokenOff(ctx, err)
	if c.isCommitted && c.lastEvent == "" {
		broken.isFinal = true
	}
	return broken
}
